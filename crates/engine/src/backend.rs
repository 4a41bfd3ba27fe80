//! A backend server as a trait.

use std::pin::Pin;

use async_trait::async_trait;
use bytes::Bytes;
use futures::Stream;
use guavaspread_model::AdapterVersion;

use crate::error::Result;

/// Describes one request to a backend server.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Identifies the request in the server's log.
    pub id: u128,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The `Content-Type` of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
    /// The longest silence allowed on the way, in milliseconds.
    pub silence_ms: u32,
    /// The W3C trace context, empty for none.
    pub traceparent: String,
}

/// Holds one piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The status and content type; always first.
    Head {
        /// The HTTP status.
        status: u16,
        /// The `Content-Type`.
        content_type: Option<String>,
    },
    /// The data of one event, or a part of a plain body.
    Data(Bytes),
    /// The answer is whole; always last. A stream that ends without it was cut.
    Done,
}

/// Streams the pieces of an answer; dropping it cancels the run.
pub type RunStream = Pin<Box<dyn Stream<Item = Result<Piece>>>>;

/// Speaks to one backend server.
#[async_trait(?Send)]
pub trait Backend {
    /// Loads an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the engine refuses, can't load it, or does not answer.
    async fn load(&self, adapter: &AdapterVersion, fence: u64) -> Result<()>;

    /// Unloads an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the engine refuses or does not answer.
    async fn unload(&self, adapter: &AdapterVersion, fence: u64) -> Result<()>;

    /// Lists the adapters that the engine holds.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    async fn loaded(&self) -> Result<Vec<AdapterVersion>>;

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses or does not answer.
    async fn run(&self, req: RunRequest) -> Result<RunStream>;
}
