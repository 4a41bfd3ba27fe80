//! Statuses of HTTP responses.

/// Returns whether a status is that of a final response (RFC 9110, section 15).
///
/// A client can't tell the class of any other status, so that a response with one is no answer.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
