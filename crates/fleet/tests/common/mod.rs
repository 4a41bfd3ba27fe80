//! Sample values that several tests use.

use guavaspread_fleet::{Server, ServerState};

/// Returns a ready server, the first incarnation with this id.
pub fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "drafter".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "north".into(),
        slots: 4,
        state: ServerState::Ready,
        started_at_ms: 1,
        software: None,
        models: Vec::new(),
    }
}
