//! Collection of a whole body into one buffer.

use bytes::BytesMut;
use http_body::Body;
use http_body_util::BodyExt;

use crate::prelude::*;

/// The error of a body that was not collected.
#[derive(Debug)]
pub(crate) enum CollectError<E> {
    /// The body is larger than the limit.
    TooLarge,
    /// The body broke off.
    Incomplete(E),
}

impl<E: std::fmt::Display> std::fmt::Display for CollectError<E> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CollectError::TooLarge => f.write_str("the body exceeds the limit"),
            CollectError::Incomplete(e) => write!(f, "the body broke off: {e}"),
        }
    }
}

/// Reads a body of at most `bytes_max` bytes.
///
/// Copies each piece, because a piece of one byte keeps the whole read buffer that it arrived in.
pub(crate) async fn collect<B>(
    mut body: B,
    bytes_max: usize,
) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Incomplete)?.into_data() else { continue };
        if data.len() > bytes_max - collected.len() {
            return Err(CollectError::TooLarge);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
