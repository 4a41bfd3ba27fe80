//! # guavaspread wire
//!
//! The protocol between the system's own processes: postcard frames with a
//! length prefix, on QUIC streams under mutual TLS.
//!
//! | to | reach for |
//! |---|---|
//! | open an endpoint | [`Identity`], [`server_endpoint`], [`client_endpoint`] |
//! | send and receive frames | [`FrameSender`], [`FrameReceiver`] |
//! | order a run and follow it | [`Ask::Run`], [`RunOrder`], [`RunEvent`] |
//!
//! A stream starts with one [`Ask`]. A run is answered by [`RunEvent`]s, of which
//! the last is [`RunEvent::Done`] or [`RunEvent::Refused`]; a stream that ends
//! without one of these was cut. Resetting the stream cancels the run.

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
