//! Adapters on an engine that responds to none of its owner's calls.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{
    AdapterId, AdapterScheduler, CommandResult, EngineSpec, LoadedAdapter, LoadedModel, ModelSpec,
    Readiness, SchedulerStep,
};
use test_case::test_case;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(adapter: &str) -> AdapterId {
    AdapterId { model: "base".into(), adapter: adapter.into() }
}

/// Creates the scheduler of an engine that holds `held`.
fn scheduler() -> AdapterScheduler {
    let load_time = Duration::from_secs(1);
    let model = ModelSpec { name: "base".into(), weights_mb: 10.0, adapter_mb: 1.0, load_time };
    let (batch, adapter_slots, weights_mb) = (4, 4, 100.0);
    let spec = EngineSpec { batch, adapter_slots, weights_mb, models: vec![model] };
    let mut scheduler = AdapterScheduler::new(spec, "base".into());
    let held = LoadedAdapter { name: "held".into(), version: 3 };
    let models = [LoadedModel { name: "base".into(), version: 1, adapters: vec![held] }];
    scheduler.on_report(0, &models, &[], ms(0));
    scheduler
}

#[test_case("held", Readiness::Ready(3); "loaded")]
#[test_case("new", Readiness::Unavailable; "not loaded")]
#[test_case("ordered", Readiness::Unavailable; "its load was not answered")]
fn a_silent_engine_is_used_for_what_it_holds(adapter: &str, expected: Readiness) {
    let mut scheduler = scheduler();
    scheduler.add_waiter(&id("ordered"), ms(0));
    scheduler.poll_ready(&id("ordered"), 0, ms(0));
    let mut now = ms(0);
    while let SchedulerStep::Send(_) = scheduler.next_step(now) {
        now += ms(60);
        scheduler.on_command_result(CommandResult::NoResponse, now);
    }
    scheduler.set_silent(true, now);
    scheduler.add_waiter(&id(adapter), now);
    assert_eq!(scheduler.poll_ready(&id(adapter), 0, now), expected);
    scheduler.set_silent(false, now);
    assert_ne!(scheduler.poll_ready(&id(adapter), 0, now), Readiness::Unavailable);
}

/// Without calls the owner would not notice that the engine responds again.
#[test]
fn the_report_of_a_silent_engine_is_fetched_although_nobody_waits() {
    let mut scheduler = scheduler();
    scheduler.add_waiter(&id("new"), ms(0));
    scheduler.poll_ready(&id("new"), 0, ms(0));
    assert!(matches!(scheduler.next_step(ms(0)), SchedulerStep::Send(_)));
    scheduler.on_command_result(CommandResult::NotSent, ms(200));
    scheduler.set_silent(true, ms(200));
    scheduler.remove_waiter(&id("new"), ms(200));
    for at in [1_000, 2_000, 3_000] {
        assert_eq!(scheduler.next_step(ms(at)), SchedulerStep::FetchReport);
        scheduler.on_report_failed(ms(at + 400));
        scheduler.set_silent(true, ms(at + 400));
    }
}
