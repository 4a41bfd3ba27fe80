//! Numbers at the limits of their types, from servers, callers and the store: no sum overflows.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{
    AdapterId, AdapterScheduler, Admission, CommandKind, CommandResult, ContentReport, EngineSpec,
    LoadReport, LoadedModel, ModelSpec, Pick, Placement, PlacementKey, PrefillAdmission,
    PrefillQueue, Prompt, Quarantine, SchedulerStep, Server, ServerState,
};
use guavaspread_model::ContentId;

const NOW: Duration = Duration::from_secs(1_000);

fn server(id: &str) -> Arc<Server> {
    Arc::new(Server {
        id: id.into(),
        service: "booking".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "north".into(),
        slots: 8,
        state: ServerState::Ready,
        started_at_ms: 1,
        software: None,
        models: Vec::new(),
    })
}

fn picked(placement: &Placement) -> (PlacementKey, Arc<str>) {
    match placement.pick_server("booking", &[], NOW) {
        Pick::Server(key, server) => (key, server.id.clone()),
        Pick::Unavailable(_) => panic!("no server was chosen"),
    }
}

#[test]
fn a_server_with_an_extreme_load_report_is_the_last_choice() {
    let mut placement = Placement::new("north".into());
    placement.upsert(server("i-1"));
    let (key, _) = picked(&placement);
    let report = LoadReport { running: u32::MAX, waiting: 1, slots: 8 };
    placement.on_load_report(key, report, NOW);
    placement.upsert(server("i-2"));
    for _ in 0..4 {
        assert_eq!(&*picked(&placement).1, "i-2");
    }
}

#[test]
fn extreme_prompts_do_not_make_the_others_look_small() {
    let mut queue = PrefillQueue::default();
    let mut prompt = |tokens| {
        let first_token_deadline = NOW + Duration::from_secs(1);
        queue.enqueue(Prompt { tokens, first_token_deadline, event_gap_max: None })
    };
    let (first, second, third) = (prompt(u32::MAX), prompt(u32::MAX), prompt(u32::MAX));
    assert!(queue.estimated_wait(NOW + Duration::from_secs(2), NOW) > Duration::from_secs(3_600));
    assert_eq!(queue.try_admit(first, NOW), PrefillAdmission::Now);
    assert!(matches!(queue.try_admit(second, NOW), PrefillAdmission::WaitUntil(_)));
    // The first one is overdue long before it would be prefilled at the slowest rate.
    let later = NOW + Duration::from_secs(60 * 24 * 3_600);
    assert_eq!(queue.try_admit(second, later), PrefillAdmission::Now);
    assert!(matches!(queue.try_admit(third, later), PrefillAdmission::WaitUntil(_)));
}

/// A wrapped age would make an old crash a recent one, and quarantine the content for it.
#[test]
fn an_extreme_age_of_a_crash_does_not_make_it_recent() {
    let content = ContentId::of(&[b"x"]);
    let crashes = (0..3).map(|n| (n, u64::MAX - 2_000 * n)).collect();
    let report = ContentReport { content, crashes, cleared: Vec::new(), trials: (1, u64::MAX) };
    let report = report.aged(Duration::from_secs(10));
    let mut quarantine = Quarantine::default();
    quarantine.merge(&report, NOW);
    assert!(!matches!(quarantine.admission(content, NOW), Admission::Quarantined(_)));
}

#[test]
fn an_extreme_command_count_does_not_stop_the_commands() {
    let model = ModelSpec {
        name: "m".into(),
        weights_mb: 1_000.0,
        adapter_mb: 10.0,
        load_time: Duration::from_secs(1),
    };
    let spec = EngineSpec { batch: 8, weights_mb: 2_000.0, adapter_slots: 4, models: vec![model] };
    for result in [CommandResult::Accepted, CommandResult::Conflict, CommandResult::NoResponse] {
        let mut scheduler = AdapterScheduler::new(spec.clone(), "m".into());
        let loaded = LoadedModel { name: "m".into(), version: 1, adapters: Vec::new() };
        let id = AdapterId { model: "m".into(), adapter: "a1".into() };
        scheduler.add_waiter(&id, NOW);
        for second in 0..20 {
            let now = NOW + Duration::from_secs(second);
            match scheduler.next_step(now) {
                SchedulerStep::FetchReport => {
                    scheduler.on_report(u64::MAX, std::slice::from_ref(&loaded), &[], now);
                }
                SchedulerStep::Send(command) => {
                    assert!(!matches!(command.kind, CommandKind::LoadModel));
                    scheduler.on_command_result(result, now);
                }
                SchedulerStep::Wait(_) => {}
            }
        }
    }
}
