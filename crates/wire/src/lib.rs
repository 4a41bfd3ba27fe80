//! # guavaspread wire
//!
//! The protocol between gateways and dispatchers: length-prefixed postcard
//! frames on QUIC streams with mutual TLS.
//!
//! | task | API |
//! |---|---|
//! | open an endpoint | [`Identity`], [`server_endpoint`], [`client_endpoint`] |
//! | send and receive frames | [`FrameSender`], [`FrameReceiver`] |
//! | run a request and receive its response | [`Ask::Run`], [`RunOrder`], [`RunEvent`] |
//!
//! The first frame of a stream is an [`Ask`]. The response to [`Ask::Run`] is a
//! sequence of [`RunEvent`]s that ends with [`RunEvent::Done`] or
//! [`RunEvent::Refused`]; a stream that ends without one of these is truncated.
//! Resetting the stream cancels the run.

mod error;
mod frame;
mod link;
mod message;

pub use error::{Category, Error, Result};
pub use frame::{FrameReceiver, FrameSender};
pub use link::{Identity, SERVER_NAME, client_endpoint, server_endpoint};
pub use message::{
    Ask, BackendReport, DigestEntry, ExchangeReply, LoadedAdapter, RefusalCount, RunEvent,
    RunOrder, SeenHead, StatusReply, TraceContext,
};
