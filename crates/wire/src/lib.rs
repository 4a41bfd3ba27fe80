//! # guavaspread wire
//!
//! The protocol between gateways and dispatchers: length-prefixed postcard
//! frames on QUIC streams with mutual TLS.
//!
//! | task | API |
//! |---|---|
//! | open an endpoint | [`Identity`], [`server_endpoint`], [`client_endpoint`] |
//! | send and receive frames | [`FrameSender`], [`FrameReceiver`] |
//! | run a request and receive its response | [`DispatcherRequest::Run`], [`RunCommand`], [`RunEvent`] |
//!
//! The first frame of a stream is a [`DispatcherRequest`]. The response to
//! [`DispatcherRequest::Run`] is a sequence of [`RunEvent`]s that ends with
//! [`RunEvent::Done`] or [`RunEvent::Refused`]; a stream that ends without one of
//! these is truncated. Resetting the stream cancels the run.

mod error;
mod frame;
mod link;
mod message;

pub use error::{Category, Error, Result};
pub use frame::{FrameReceiver, FrameSender};
pub use link::{Identity, SERVER_NAME, client_endpoint, server_endpoint};
pub use message::{
    BackendStatus, DispatcherRequest, EngineDigest, GossipReply, LoadedAdapter, ObservedHead,
    RefusalCount, RunCommand, RunEvent, StatusReply, TraceContext,
};
