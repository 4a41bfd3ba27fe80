//! Tests that requests of a class that is not repeatable run at most once.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::thread;
use std::time::{Duration, Instant};

use guavaspread_scenario::{
    Caller, Fleet, FleetSpec, KITA_KEY, Reply, ZoneSpec, declare_sample, read_json,
};
use guavaspread_standins::Faults;
use serde_json::json;

fn fleet() -> Fleet {
    let zones = vec![
        ZoneSpec { name: "sapporo", entry_hosts: 1, engines: 1 },
        ZoneSpec { name: "kushiro", entry_hosts: 1, engines: 0 },
    ];
    let fleet = Fleet::start(&FleetSpec { zones, bookings: 2, ..FleetSpec::default() }).unwrap();
    declare_sample(&fleet).unwrap();
    fleet
}

fn confirm(caller: &Caller, booking: &str, takes_ms: u32) -> Reply {
    let body = json!({"booking": booking, "takes_ms": takes_ms});
    let req = caller.post("/services/booking/confirm").header("idempotency-key", booking);
    read_json(req.json(&body).send().unwrap()).unwrap()
}

#[test]
fn retry_through_another_zone_returns_the_first_response() {
    let fleet = fleet();
    let first = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    let second = fleet.caller(&fleet.entry_host_name(1).unwrap(), KITA_KEY).unwrap();
    let response = confirm(&first, "b1", 0);
    assert_eq!(response.status, 200, "{response:?}");
    let retry = confirm(&second, "b1", 0);
    assert_eq!((retry.status, &retry.body), (200, &response.body));
    assert_eq!(fleet.booking.confirmations("b1"), 1);

    let other = json!({"booking": "b2", "takes_ms": 0});
    let req = second.post("/services/booking/confirm").header("idempotency-key", "b1");
    let reused = read_json(req.json(&other).send().unwrap()).unwrap();
    assert_eq!((reused.code(), reused.ran()), (1502, "no"), "{reused:?}");
    assert_eq!(fleet.booking.confirmations("b2"), 0);

    let check = read_json(second.get("/services/booking/check/b1").send().unwrap()).unwrap();
    assert_eq!(check.body["confirmed"], true, "{check:?}");
}

#[test]
fn concurrent_retries_run_once_and_return_the_same_response() {
    let fleet = fleet();
    let callers: Vec<Caller> = (0..8)
        .map(|i| fleet.caller(&fleet.entry_host_name(i % 2).unwrap(), KITA_KEY).unwrap())
        .collect();
    let replies: Vec<Reply> = thread::scope(|scope| {
        let running: Vec<_> =
            callers.iter().map(|caller| scope.spawn(|| confirm(caller, "race", 300))).collect();
        running.into_iter().map(|run| run.join().unwrap()).collect()
    });
    for reply in &replies {
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.body, replies[0].body);
    }
    assert_eq!(fleet.booking.confirmations("race"), 1);
}

#[test]
fn requests_run_exactly_once_when_commit_responses_are_lost() {
    let fleet = fleet();
    let caller = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    for index in 0..6 {
        fleet.platform.set_faults(Faults { lose_answers: 1 + index % 3, ..Faults::default() });
        let booking = format!("lost-{index}");
        let reply = confirm(&caller, &booking, 0);
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(fleet.booking.confirmations(&booking), 1);
    }
}

#[test]
fn request_is_rejected_at_once_as_not_run_while_the_table_is_down() {
    let fleet = fleet();
    let caller = fleet.caller(&fleet.entry_host_name(0).unwrap(), KITA_KEY).unwrap();
    fleet.platform.set_faults(Faults { table_down: true, ..Faults::default() });
    let sent_at = Instant::now();
    let reply = confirm(&caller, "down", 0);
    assert_eq!((reply.code(), reply.ran()), (1306, "no"), "{reply:?}");
    assert!(reply.retry_after.is_some());
    // The deadline of the class is 5 s; an immediate rejection takes at most half of it.
    assert!(sent_at.elapsed() < Duration::from_millis(2_500), "{:?}", sent_at.elapsed());
    fleet.platform.set_faults(Faults::default());
    assert_eq!(fleet.booking.confirmations("down"), 0);
    assert_eq!(confirm(&caller, "down", 0).status, 200);
    assert_eq!(fleet.booking.confirmations("down"), 1);
}

#[test]
fn retry_after_a_gateway_was_killed_is_reported_as_maybe_run_and_does_not_run() {
    let mut fleet = fleet();
    let (host, other) = (fleet.entry_host_name(0).unwrap(), fleet.entry_host_name(1).unwrap());
    let first = fleet.caller(&host, KITA_KEY).unwrap();
    let second = fleet.caller(&other, KITA_KEY).unwrap();
    let running = thread::spawn(move || {
        let body = json!({"booking": "killed", "takes_ms": 2_000});
        let req = first.post("/services/booking/confirm").header("idempotency-key", "killed");
        req.json(&body).send().is_ok()
    });
    while fleet.booking.confirmations("killed") == 0 {
        thread::sleep(Duration::from_millis(5));
    }
    fleet.kill(&host, "gateway").unwrap();
    assert!(!running.join().unwrap());
    fleet.start_process(&host, "gateway").unwrap();
    fleet.wait_until_ready().unwrap();
    let retry = confirm(&second, "killed", 2_000);
    assert_eq!((retry.code(), retry.ran()), (1501, "maybe"), "{retry:?}");
    assert_eq!(fleet.booking.confirmations("killed"), 1);
}
