//! Collection of a whole body into one buffer.

use bytes::BytesMut;
use http_body::Body;
use http_body_util::BodyExt;

use crate::body_budget::BodyShare;
use crate::prelude::*;

/// The error of a body that was not collected.
#[derive(Debug)]
pub(crate) enum CollectError<E> {
    /// The body is larger than the limit.
    TooLarge,
    /// The body broke off.
    Incomplete(E),
    /// The bodies of all requests take too much memory; this one was read and discarded.
    NoRoom,
}

impl<E: std::fmt::Display> std::fmt::Display for CollectError<E> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CollectError::TooLarge => f.write_str("the body exceeds the limit"),
            CollectError::NoRoom => f.write_str("there is no room for the body"),
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

/// Reads a body as [`collect`] does, within the memory of all bodies.
///
/// Without room, reads the rest of the body and discards it: the caller is sending it, and would
/// find its connection reset before it could read a refusal.
pub(crate) async fn collect_within<B>(
    mut body: B,
    bytes_max: usize,
    share: &mut BodyShare,
) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut collected = BytesMut::with_capacity(expected.min(bytes_max));
    let (mut received, mut has_room) = (0, true);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Incomplete)?.into_data() else { continue };
        received += data.len();
        if received > bytes_max {
            return Err(CollectError::TooLarge);
        }
        has_room = has_room && share.reserve(data.len());
        if has_room {
            collected.extend_from_slice(&data);
        } else {
            collected = BytesMut::new();
            share.release();
        }
    }
    if has_room { Ok(collected.freeze()) } else { Err(CollectError::NoRoom) }
}
