//! Tests one request through the real binaries, from the caller to the engine and back.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use guavaspread_model::KeyHash;
use guavaspread_scenario::{Fleet, FleetSpec};
use guavaspread_standins::EngineEventKind;
use serde_json::json;

const KEY: &str = "key-of-kita-shigoto";

#[test]
fn streamed_completion_loads_the_adapter_and_arrives_complete() {
    let fleet = Fleet::start(&FleetSpec::default()).unwrap();
    let host = fleet.entry_host_name(0).unwrap();
    let changes = json!([
        {"create-organisation": {"organisation": "kita-shigoto"}},
        {"add-key": {"organisation": "kita-shigoto", "hash": KeyHash::of(KEY).to_string()}},
        {"register-adapter": {
            "organisation": "kita-shigoto", "adapter": "intake", "base": "base", "class": null,
        }},
        {"register-version": {"adapter": "kita-shigoto/intake@3"}},
    ]);
    let accepted = fleet.operator(&host).unwrap().submit_changes(&changes).unwrap();
    assert_eq!(accepted.status, 200, "{accepted:?}");

    let caller = fleet.caller(&host, KEY).unwrap();
    let reply = caller.stream("kita-shigoto/intake@3", "hello", 12).unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(reply.complete, "{reply:?}");
    assert_eq!(reply.tokens.len(), 12);
    assert_eq!(reply.tokens[0], "[kita-shigoto/intake@3] ");

    let unstreamed = caller.chat("kita-shigoto/intake@3", "hello", 12).unwrap();
    assert_eq!(unstreamed.text(), reply.tokens.concat());

    let log = fleet.engines.values().next().unwrap().log();
    let kinds: Vec<EngineEventKind> = log.iter().map(|event| event.kind).collect();
    use EngineEventKind::{End, Load, Start};
    assert_eq!(kinds, [Load, Start, End, Start, End]);
}
