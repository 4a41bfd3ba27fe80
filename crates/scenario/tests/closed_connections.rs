//! Guards against a request being refused as not run, or run a second time, after a server that had
//! begun it closed the connection, or failed with a status that promises that it did not run.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use guavaspread_model::{Host, HostKind, HostState, Name};
use guavaspread_scenario::{
    Fleet, FleetSpec, INTAKE_ADAPTER, KITA_KEY, Reply, declare_sample, read_json,
};
use guavaspread_standins::{EngineEventKind, Faults, free_address};
use serde_json::{Value, json};

const SERVER_COUNT: usize = 3;
const REQUEST_COUNT: usize = 20;
/// Failed requests whose retries exceed the retry budget.
const FAILED_REQUEST_COUNT: usize = 100;

/// How often each booking was begun, on all servers.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// Reads a request, counts its run, sends `response` and closes the connection.
fn serve(mut stream: TcpStream, runs: &Runs, response: &str) {
    let mut request = Vec::new();
    let mut buf = [0; 4_096];
    while let Ok(length) = stream.read(&mut buf) {
        request.extend_from_slice(&buf[..length]);
        let text = String::from_utf8_lossy(&request);
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        if let Ok(body) = serde_json::from_str::<Value>(body) {
            let booking = body["booking"].as_str().unwrap().to_owned();
            *runs.lock().unwrap().entry(booking).or_default() += 1;
            stream.write_all(response.as_bytes()).unwrap();
            return;
        }
        if length == 0 {
            return;
        }
    }
}

fn start_server(runs: Runs, response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            serve(stream.unwrap(), &runs, response);
        }
    });
    address
}

/// Lists servers of the booking service at these addresses.
fn add_servers(fleet: &mut Fleet, addresses: &[SocketAddr]) {
    for (index, address) in addresses.iter().enumerate() {
        fleet.hosts.push(Host {
            name: Name::new(&format!("sapporo-booking-{index}")).unwrap(),
            zone: Name::new("sapporo").unwrap(),
            address: *address,
            kind: HostKind::Service(Name::new("booking").unwrap()),
            state: HostState::Live,
        });
    }
    fleet.platform.set_hosts(fleet.hosts.clone());
}

#[test]
fn request_whose_server_closed_the_connection_runs_once_and_is_not_refused() {
    check_failed_runs("");
}

#[test]
fn request_whose_server_failed_with_503_runs_once_and_is_not_refused() {
    check_failed_runs("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
}

#[test]
fn request_whose_engine_failed_with_503_is_not_refused() {
    let fleet = Fleet::start(&FleetSpec::default()).unwrap();
    declare_sample(&fleet).unwrap();
    let caller = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    let body = json!({
        "model": INTAKE_ADAPTER, "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 5, "user": "standin:fail=3",
    });
    let req = caller.post("/v1/chat/completions").header("idempotency-key", "failed");
    let req = req.header("x-request-class", "confirm").json(&body);
    let reply = read_json(req.send().unwrap()).unwrap();
    let events = fleet.engines.values().flat_map(|engine| engine.log());
    assert_eq!(events.filter(|event| event.kind == EngineEventKind::Start).count(), 1);
    assert_eq!((reply.status, reply.ran()), (502, "maybe"), "{reply:?}");
}

/// The head of the first server is what the caller has of a stream; without one, the answer of the next
/// server replaces that of the first with its status.
#[test]
fn answer_of_the_next_engine_is_no_part_of_the_first() {
    let fleet = Fleet::start(&FleetSpec::default()).unwrap();
    declare_sample(&fleet).unwrap();
    let caller = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    for status in [404, 400] {
        let send = |stream: bool, fault: &str| {
            let body = json!({
                "model": INTAKE_ADAPTER, "messages": [{"role": "user", "content": fault}],
                "max_tokens": 5, "stream": stream, "seed": 1,
                "user": format!("standin:{fault}=2,next-fails={status}"),
            });
            caller.post("/v1/chat/completions").json(&body).send().unwrap()
        };
        let streamed = send(true, "stop-after").text().unwrap();
        assert!(streamed.contains("intake") && streamed.contains("event: error"), "{streamed}");
        assert!(!streamed.contains("next") && !streamed.contains("[DONE]"), "{streamed}");
        let whole = read_json(send(false, "crash")).unwrap();
        assert_eq!((whole.status, &whole.body["next"]), (status, &json!("error")), "{whole:?}");
    }
}

#[test]
fn request_that_may_have_run_is_not_refused_when_the_retry_budget_is_spent() {
    let fleet = Fleet::start(&FleetSpec::default()).unwrap();
    declare_sample(&fleet).unwrap();
    let caller = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    let body = json!({
        "model": INTAKE_ADAPTER, "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 5, "user": "standin:fail=0",
    });
    for index in 0..FAILED_REQUEST_COUNT {
        let req = caller.post("/v1/chat/completions").json(&body);
        let reply = read_json(req.send().unwrap()).unwrap();
        assert_eq!((reply.status, reply.ran()), (502, "maybe"), "request {index}: {reply:?}");
    }
}

/// The first attempt may have run, though the last one did not.
#[test]
fn request_that_may_have_run_is_not_refused_when_its_retry_does_not_run() {
    let mut fleet = Fleet::start(&FleetSpec::default()).unwrap();
    declare_sample(&fleet).unwrap();
    let caller = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    let chat = |fault: &str| {
        let body = json!({
            "model": INTAKE_ADAPTER, "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 5, "user": fault,
        });
        read_json(caller.post("/v1/chat/completions").json(&body).send().unwrap()).unwrap()
    };
    assert_eq!(chat("").status, 200);
    fleet.platform.set_faults(Faults { loads_fail: true, ..Faults::default() });
    // The engine loses its adapters in the crash.
    let reply = chat("standin:crash=2");
    assert_eq!((reply.status, reply.ran()), (502, "maybe"), "{reply:?}");
    let runs = Runs::default();
    add_servers(&mut fleet, &[start_server(runs.clone(), ""), free_address().unwrap()]);
    while runs.lock().unwrap().len() < REQUEST_COUNT {
        let booking = format!("b{}", runs.lock().unwrap().len());
        let body = json!({"booking": booking});
        let reply =
            read_json(caller.post("/services/booking/check").json(&body).send().unwrap()).unwrap();
        let run_count = runs.lock().unwrap().get(&booking).copied();
        assert!(run_count.is_none() || reply.ran() == "maybe", "{booking}: {reply:?}");
    }
}

/// Sends requests to servers that begin each one and then respond with `response`.
fn check_failed_runs(response: &'static str) {
    let mut fleet = Fleet::start(&FleetSpec::default()).unwrap();
    declare_sample(&fleet).unwrap();
    let runs = Runs::default();
    let addresses = [(); SERVER_COUNT].map(|()| start_server(runs.clone(), response));
    add_servers(&mut fleet, &addresses);
    let caller = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    let confirm = |booking: &str| -> Reply {
        let body = json!({"booking": booking});
        let req = caller.post("/services/booking/confirm").header("idempotency-key", booking);
        read_json(req.json(&body).send().unwrap()).unwrap()
    };
    // The gateway learns of the servers after a moment.
    while runs.lock().unwrap().is_empty() {
        confirm("probe");
        std::thread::sleep(Duration::from_millis(50));
    }
    for index in 0..REQUEST_COUNT {
        let booking = format!("b{index}");
        let reply = confirm(&booking);
        let run_count = runs.lock().unwrap().get(&booking).copied();
        assert_eq!(run_count, Some(1), "{booking}: {reply:?}");
        assert_eq!((reply.status, reply.ran()), (502, "maybe"), "{booking}: {reply:?}");
    }
}
