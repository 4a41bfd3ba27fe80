//! # guavaspread engine
//!
//! The border to backend servers: model engines that load adapters and stream
//! answers, and plain services.
//!
//! | to | reach for |
//! |---|---|
//! | speak to a backend server | [`Backend`] |
//! | reach it over HTTP | [`HttpBackend`] |
//! | describe a run | [`RunRequest`] |
//! | follow a run | [`RunStream`], [`Piece`] |
//!
//! Engines are spoken to with the OpenAI completions API and the adapter calls
//! that common engines add to it, `/v1/load_lora_adapter` and
//! `/v1/unload_lora_adapter`. Orders carry the owner's fencing number in the
//! `X-Fencing-Token` header.

mod backend;
mod error;
mod http;

pub use backend::{Backend, Piece, RunRequest, RunStream};
pub use error::{Category, Error, Result};
pub use http::HttpBackend;
