//! # guavaspread engine
//!
//! Clients of backend servers: model engines, which load adapters and stream
//! responses, and services without a model.
//!
//! | task | API |
//! |---|---|
//! | call a backend server | [`BackendClient`] |
//! | call it over HTTP | [`HttpBackendClient`] |
//! | describe a request | [`BackendRequest`] |
//! | read its response | [`ResponseStream`], [`ResponsePart`] |
//!
//! Engines implement the OpenAI completions API and the usual extensions to load
//! and unload adapters, `/v1/load_lora_adapter` and `/v1/unload_lora_adapter`.
//! Commands to load and unload contain the owner's fencing number in the
//! `X-Fencing-Token` header.

mod backend;
mod error;
mod http;

pub use backend::{BackendClient, BackendRequest, ResponsePart, ResponseStream};
pub use error::{Category, Error, Result};
pub use http::HttpBackendClient;
