//! Tests the responses to valid requests, invalid requests and interrupted connections.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use guavaspread_scenario::{
    Caller, DOPRAVNI_KEY, Fleet, FleetSpec, INTAKE_ADAPTER, KITA_KEY, declare_sample, read_json,
    read_stream,
};
use guavaspread_standins::{EngineEventKind, EngineSpec};
use serde_json::json;

fn fleet() -> (Fleet, Caller) {
    let engine = EngineSpec { token_ms: 2, ..EngineSpec::default() };
    let fleet = Fleet::start(&FleetSpec { engine, ..FleetSpec::default() }).unwrap();
    declare_sample(&fleet).unwrap();
    let caller = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    (fleet, caller)
}

/// Returns the number of requests that started at the engine.
fn started_count(fleet: &Fleet) -> usize {
    let engine = fleet.engines.values().next().unwrap();
    engine.log().iter().filter(|event| event.kind == EngineEventKind::Start).count()
}

#[test]
fn invalid_requests_are_rejected_without_reaching_the_engine() {
    let (fleet, caller) = fleet();
    let host = fleet.entry_host_name(0).unwrap();
    let chat = "/v1/chat/completions";

    let cases = [
        ("unknown version", caller.chat("kita-shigoto/intake@4", "x", 1).unwrap(), 404, 1201),
        ("unknown adapter", caller.chat("kita-shigoto/none@1", "x", 1).unwrap(), 404, 1201),
        ("no version", caller.chat("kita-shigoto/intake", "x", 1).unwrap(), 400, 1002),
        ("model that is not an adapter", caller.chat("gpt", "x", 1).unwrap(), 400, 1001),
        (
            "adapter of another organisation",
            caller.chat("dopravni-smeny/notices@1", "x", 1).unwrap(),
            403,
            1102,
        ),
        (
            "wrong key",
            fleet.caller(&host, "wrong").unwrap().chat(INTAKE_ADAPTER, "x", 1).unwrap(),
            401,
            1101,
        ),
        (
            "malformed",
            read_json(caller.post(chat).body("{\"model\":").send().unwrap()).unwrap(),
            400,
            1001,
        ),
        (
            "body over the limit",
            read_json(caller.post(chat).body(vec![b' '; 2 << 20]).send().unwrap()).unwrap(),
            413,
            1004,
        ),
        (
            "unknown class",
            read_json(
                caller
                    .post(chat)
                    .header("x-request-class", "nope")
                    .json(&json!({"model": INTAKE_ADAPTER, "messages": []}))
                    .send()
                    .unwrap(),
            )
            .unwrap(),
            404,
            1203,
        ),
        (
            "no idempotency key",
            read_json(
                caller
                    .post(chat)
                    .header("x-request-class", "confirm")
                    .json(&json!({"model": INTAKE_ADAPTER, "messages": []}))
                    .send()
                    .unwrap(),
            )
            .unwrap(),
            400,
            1003,
        ),
        (
            "undeclared service path",
            read_json(caller.get("/services/booking/drop").send().unwrap()).unwrap(),
            404,
            1204,
        ),
        ("unknown path", read_json(caller.get("/nothing").send().unwrap()).unwrap(), 404, 1204),
        (
            "caller as operator",
            read_json(caller.get("/operator/status").send().unwrap()).unwrap(),
            403,
            1103,
        ),
    ];
    for (name, reply, status, code) in cases {
        assert_eq!((reply.status, reply.code()), (status, code), "{name}: {reply:?}");
        assert_eq!(reply.ran(), "no", "{name}");
    }
    assert_eq!(started_count(&fleet), 0);

    let models: serde_json::Value = caller.get("/v1/models").send().unwrap().json().unwrap();
    let ids: Vec<&str> =
        models["data"].as_array().unwrap().iter().map(|m| m["id"].as_str().unwrap()).collect();
    assert!(ids.contains(&INTAKE_ADAPTER) && !ids.contains(&"dopravni-smeny/notices@1"), "{ids:?}");
    let other = fleet.caller(&host, DOPRAVNI_KEY).unwrap();
    assert_eq!(other.chat("dopravni-smeny/notices@1", "x", 2).unwrap().status, 200);
}

#[test]
fn slow_request_body_times_out_with_status_408() {
    let (fleet, _caller) = fleet();
    let host = fleet.entry_hosts.values().next().unwrap();
    let mut stream = TcpStream::connect(host.gateway).unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KITA_KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let mut answer = vec![0; 16];
    stream.read_exact(&mut answer).unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 408"), "{}", String::from_utf8_lossy(&answer));
}

#[test]
fn truncated_response_is_never_reported_as_complete() {
    let (_fleet, caller) = fleet();
    for fault in ["standin:stop-after=3", "standin:half-event=3"] {
        let body = json!({
            "model": INTAKE_ADAPTER, "messages": [], "max_tokens": 8, "stream": true, "user": fault,
        });
        let res = caller.post("/v1/chat/completions").json(&body).send().unwrap();
        let reply = read_stream(res).unwrap();
        assert!(!reply.complete, "{fault}: {reply:?}");
        assert!(reply.body["error"]["code"].is_string(), "{fault}: {reply:?}");
    }
    let body = json!({
        "model": INTAKE_ADAPTER, "messages": [], "max_tokens": 8, "user": "standin:crash=3",
    });
    let reply = read_json(caller.post("/v1/chat/completions").json(&body).send().unwrap()).unwrap();
    assert_ne!(reply.status, 200, "{reply:?}");
}

#[test]
fn caller_disconnect_cancels_the_request_at_the_engine() {
    let (fleet, caller) = fleet();
    let body =
        json!({"model": INTAKE_ADAPTER, "messages": [], "max_tokens": 3_000, "stream": true});
    let mut res = caller.post("/v1/chat/completions").json(&body).send().unwrap();
    let mut first = [0; 64];
    res.read_exact(&mut first).unwrap();
    drop(res);
    let engine = fleet.engines.values().next().unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    while !engine.log().iter().any(|event| event.kind == EngineEventKind::Cancel) {
        assert!(Instant::now() < deadline, "the request was not cancelled");
        sleep(Duration::from_millis(20));
    }
}
