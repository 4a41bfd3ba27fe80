//! # guavaspread engine
//!
//! Clients of backend servers: model engines, which load adapters and stream
//! responses, and services without a model.
//!
//! | task | API |
//! |---|---|
//! | call a backend server | [`Backend`] |
//! | call it over HTTP | [`HttpBackend`] |
//! | describe a request | [`RunRequest`] |
//! | read its response | [`RunStream`], [`Piece`] |
//!
//! Engines implement the OpenAI completions API and the usual extensions to load
//! and unload adapters, `/v1/load_lora_adapter` and `/v1/unload_lora_adapter`.
//! Commands to load and unload contain the owner's fencing number in the
//! `X-Fencing-Token` header.

mod backend;
mod error;
mod http;

pub use backend::{Backend, Piece, RunRequest, RunStream};
pub use error::{Category, Error, Result};
pub use http::HttpBackend;
