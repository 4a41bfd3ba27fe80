//! Tests the commands to an engine, against a simulated engine. Like the production engines, it
//! counts commands and crashes when it is commanded to load more adapters than it has slots.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{
    AdapterId, AdapterScheduler, CommandKind, CommandResult, EngineCommand, EngineSpec,
    LoadedAdapter, LoadedModel, ModelSpec, Readiness, SchedulerStep,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 4;
const LOAD_TIME: Duration = Duration::from_millis(250);
const REPORT_LAG: Duration = Duration::from_millis(200);

fn spec() -> EngineSpec {
    let model = ModelSpec {
        name: "m".into(),
        weights_mb: 1_000.0,
        adapter_mb: 10.0,
        load_time: Duration::from_secs(1),
    };
    EngineSpec { batch: 8, weights_mb: 2_000.0, adapter_slots: SLOTS, models: vec![model] }
}

fn id(name: &str) -> AdapterId {
    AdapterId { model: "m".into(), adapter: name.into() }
}

#[derive(Clone, Default)]
struct EngineState {
    sequence: u64,
    ready: BTreeMap<Arc<str>, u64>,
    loading: BTreeMap<Arc<str>, (u64, Duration)>,
}

/// An engine that counts commands, has few slots, and reports its state with a lag.
#[derive(Default)]
struct Engine {
    current: EngineState,
    history: Vec<(Duration, EngineState)>,
    runs: BTreeMap<Arc<str>, u32>,
    /// Adapters whose unload waits for running requests.
    unloading: Vec<Arc<str>>,
    /// Whether the engine executes commands regardless of the count that they expect.
    ignores_count: bool,
    crashed: bool,
}

impl Engine {
    fn advance(&mut self, at: Duration) {
        let done: Vec<Arc<str>> = self
            .current
            .loading
            .iter()
            .filter(|(_, (_, ready_at))| *ready_at <= at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in done {
            if let Some((version, _)) = self.current.loading.remove(&name) {
                self.current.ready.insert(name, version);
            }
        }
        let runs = &self.runs;
        let (unloading, unloaded) =
            self.unloading.drain(..).partition(|name| runs.get(name).copied().unwrap_or(0) > 0);
        self.unloading = unloading;
        let unloaded: Vec<Arc<str>> = unloaded;
        for name in unloaded {
            self.current.ready.remove(&name);
        }
        self.history.push((at, self.current.clone()));
    }

    fn execute(&mut self, command: &EngineCommand, at: Duration) -> CommandResult {
        match &command.kind {
            CommandKind::LoadModel => CommandResult::Completed,
            CommandKind::Load { adapter, version } => {
                let version = version.unwrap_or(1);
                if self.current.ready.get(adapter) == Some(&version) {
                    return CommandResult::Completed;
                }
                if self.current.loading.contains_key(adapter) {
                    return CommandResult::Accepted;
                }
                if !self.unloading.is_empty() || self.has_wrong_count(command) {
                    return CommandResult::Conflict;
                }
                self.current.sequence += 1;
                self.current.loading.insert(adapter.clone(), (version, at + LOAD_TIME));
                self.crashed |= self.current.ready.len() + self.current.loading.len() > SLOTS;
                CommandResult::Accepted
            }
            CommandKind::Unload { adapter } => {
                if self.unloading.contains(adapter) {
                    return CommandResult::Accepted;
                }
                if !self.current.ready.contains_key(adapter) {
                    return CommandResult::Completed;
                }
                if !self.unloading.is_empty() || self.has_wrong_count(command) {
                    return CommandResult::Conflict;
                }
                self.current.sequence += 1;
                if self.runs.get(adapter).copied().unwrap_or(0) > 0 {
                    self.unloading.push(adapter.clone());
                    return CommandResult::Accepted;
                }
                self.current.ready.remove(adapter);
                CommandResult::Completed
            }
        }
    }

    fn has_wrong_count(&self, command: &EngineCommand) -> bool {
        !self.ignores_count && command.expected_sequence != self.current.sequence
    }

    fn report(&self, at: Duration) -> EngineState {
        let state = self.history.iter().rev().find(|(seen, _)| *seen + REPORT_LAG <= at);
        state.map_or_else(EngineState::default, |(_, state)| state.clone())
    }
}

fn apply_report(scheduler: &mut AdapterScheduler, state: &EngineState, now: Duration) {
    let adapters = state
        .ready
        .iter()
        .map(|(name, version)| LoadedAdapter { name: name.clone(), version: *version })
        .collect();
    let model = LoadedModel { name: "m".into(), version: 1, adapters };
    let loading: Vec<(AdapterId, u64)> =
        state.loading.iter().map(|(name, (version, _))| (id(name), *version)).collect();
    scheduler.on_report(state.sequence, &[model], &loading, now);
}

/// Executes the scheduler's commands at `now`; every response arrives.
fn run_commands(scheduler: &mut AdapterScheduler, engine: &mut Engine, now: Duration) {
    engine.advance(now);
    for _ in 0..32 {
        match scheduler.next_step(now) {
            SchedulerStep::Send(command) => {
                let result = engine.execute(&command, now);
                scheduler.on_command_result(result, now);
            }
            SchedulerStep::FetchReport => apply_report(scheduler, &engine.report(now), now),
            SchedulerStep::Wait(_) => return,
        }
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Loads adapters one after another; returns the time in milliseconds at which the last is ready.
fn load(scheduler: &mut AdapterScheduler, engine: &mut Engine, names: &[&str], from: u64) -> u64 {
    let mut at = from;
    for name in names {
        scheduler.add_waiter(&id(name), ms(at));
        while matches!(scheduler.poll_ready(&id(name), 0, ms(at)), Readiness::Loading(_)) {
            at += 10;
            assert!(at < from + 10_000, "adapter {name} was not loaded");
            run_commands(scheduler, engine, ms(at));
        }
        scheduler.remove_waiter(&id(name), ms(at));
    }
    at
}

/// A time after the end of all simulations.
const LATEST: Duration = Duration::from_secs(3_600);

/// Returns whether an adapter is loading or will be loaded.
fn is_loading(scheduler: &mut AdapterScheduler, id: &AdapterId) -> bool {
    matches!(scheduler.poll_ready(id, 0, LATEST), Readiness::Loading(_))
}

fn started() -> (AdapterScheduler, Engine) {
    let (mut scheduler, mut engine) =
        (AdapterScheduler::new(spec(), "m".into()), Engine::default());
    run_commands(&mut scheduler, &mut engine, ms(0));
    (scheduler, engine)
}

#[test]
fn consecutive_loads_cause_no_conflict() {
    let (mut scheduler, mut engine) = started();
    let done = load(&mut scheduler, &mut engine, &["a", "b", "c", "d", "e", "f"], 1_000);
    assert!(done < 1_000 + 6 * 320, "six loads ended at {done} ms");
    assert!(!engine.crashed);
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    let (mut scheduler, mut engine) = started();
    let at = load(&mut scheduler, &mut engine, &["a", "b", "c", "d"], 1_000);
    for name in ["a", "b", "c"] {
        scheduler.acquire(&id(name));
    }
    load(&mut scheduler, &mut engine, &["e"], at);
    for name in ["a", "b", "c"] {
        assert_eq!(
            scheduler.poll_ready(&id(name), 0, LATEST),
            Readiness::Ready(1),
            "adapter {name} was evicted"
        );
    }
}

#[test]
fn an_adapter_is_not_loaded_after_its_requests_left() {
    let (mut scheduler, mut engine) = started();
    scheduler.add_waiter(&id("a"), ms(500));
    scheduler.poll_ready(&id("a"), 0, LATEST);
    scheduler.remove_waiter(&id("a"), LATEST);
    run_commands(&mut scheduler, &mut engine, ms(510));
    assert!(engine.current.loading.is_empty());
}

#[test]
fn an_outdated_adapter_in_use_is_replaced_after_its_requests_end() {
    let (mut scheduler, mut engine) = started();
    let at = load(&mut scheduler, &mut engine, &["a"], 1_000);
    scheduler.acquire(&id("a"));
    scheduler.on_new_version(&id("a"), 2);
    assert_eq!(scheduler.poll_ready(&id("a"), 0, LATEST), Readiness::OldVersionInUse);
    scheduler.release(&id("a"));
    scheduler.add_waiter(&id("a"), ms(at));
    assert!(is_loading(&mut scheduler, &id("a")));
    // The production engine replaces an idle adapter when it loads a new version.
    engine.current.ready.clear();
    for tick in 1..100 {
        run_commands(&mut scheduler, &mut engine, ms(at + tick * 10));
    }
    assert_eq!(scheduler.poll_ready(&id("a"), 0, LATEST), Readiness::Ready(2));
}

#[test]
fn a_command_that_the_report_shows_late_is_not_executed_twice() {
    let (mut scheduler, mut engine) = started();
    scheduler.add_waiter(&id("a"), ms(1_000));
    scheduler.poll_ready(&id("a"), 0, LATEST);
    engine.advance(ms(1_000));
    let SchedulerStep::Send(command) = scheduler.next_step(ms(1_000)) else {
        panic!("the scheduler returned no command")
    };
    engine.execute(&command, ms(1_000));
    scheduler.on_command_result(CommandResult::NoResponse, ms(1_000));
    for tick in 1..200 {
        run_commands(&mut scheduler, &mut engine, ms(1_000 + tick * 10));
    }
    assert_eq!(scheduler.poll_ready(&id("a"), 0, LATEST), Readiness::Ready(1));
    assert_eq!(engine.current.sequence, 1);
}

#[test]
fn a_nonexistent_adapter_is_rejected_at_once_and_requested_again_later() {
    let (mut scheduler, mut engine) = started();
    scheduler.add_waiter(&id("nonexistent"), ms(1_000));
    assert!(is_loading(&mut scheduler, &id("nonexistent")));
    assert!(matches!(scheduler.next_step(ms(1_000)), SchedulerStep::Send(_)));
    scheduler.on_command_result(CommandResult::NotFound, ms(1_000));
    assert_eq!(scheduler.poll_ready(&id("nonexistent"), 0, LATEST), Readiness::NotFound);
    scheduler.remove_waiter(&id("nonexistent"), LATEST);
    // Other adapters are loaded meanwhile, and the missing one may be created later.
    load(&mut scheduler, &mut engine, &["a"], 1_100);
    scheduler.add_waiter(&id("nonexistent"), ms(4_000));
    assert!(is_loading(&mut scheduler, &id("nonexistent")));
}

/// A killed engine's row remains in the server list for seconds. Without a backoff, the unanswered command is repeated
/// continuously, and new requests wait for this engine.
#[test]
fn a_refused_retry_of_an_unanswered_command_backs_off() {
    let (mut scheduler, _engine) = started();
    scheduler.add_waiter(&id("a"), ms(1_000));
    assert!(is_loading(&mut scheduler, &id("a")));
    assert!(matches!(scheduler.next_step(ms(1_000)), SchedulerStep::Send(_)));
    scheduler.on_command_result(CommandResult::NoResponse, ms(1_060));
    let mut command_count = 0;
    for at in 1_060..2_060 {
        while let SchedulerStep::Send(_) = scheduler.next_step(ms(at)) {
            command_count += 1;
            assert!(command_count < 10, "the command is repeated without a backoff");
            scheduler.on_command_result(CommandResult::Refused, ms(at));
        }
    }
    assert!(command_count >= 2, "the command was sent only {command_count} times");
    scheduler.add_waiter(&id("b"), ms(2_060));
    assert_eq!(scheduler.poll_ready(&id("b"), 0, ms(2_060)), Readiness::Unavailable);
    scheduler.add_waiter(&id("c"), ms(4_000));
    assert!(matches!(scheduler.poll_ready(&id("c"), 0, ms(4_000)), Readiness::Loading(_)));
}

/// A crowded weight store takes seconds per load. Requests that can't wait are told when to retry,
/// and find the adapter loaded then.
#[test]
fn an_adapter_is_loaded_for_callers_that_were_told_to_retry() {
    let (mut scheduler, mut engine) = started();
    let names = ["a", "b", "c", "d", "e", "f"];
    for name in names {
        scheduler.add_waiter(&id(name), ms(1_000));
    }
    let waits: Vec<Duration> = names
        .iter()
        .map(|name| match scheduler.poll_ready(&id(name), 0, ms(1_000)) {
            Readiness::Loading(wait) => wait,
            other => panic!("{other:?}"),
        })
        .collect();
    // Six fetches, three at a time.
    assert!(waits.iter().all(|wait| *wait >= LOAD_TIME && *wait <= LOAD_TIME * 3), "{waits:?}");
    scheduler.keep_load_request(&id("f"), ms(1_000) + waits[5] + LOAD_TIME * 2);
    for name in names {
        scheduler.remove_waiter(&id(name), ms(1_000));
    }
    for tick in 0..80 {
        run_commands(&mut scheduler, &mut engine, ms(1_000 + tick * 10));
    }
    assert_eq!(engine.current.ready.keys().map(|name| &**name).collect::<Vec<_>>(), ["f"]);
    assert!(scheduler.is_cached(&id("f")) && !scheduler.is_cached(&id("a")));
}

/// Commands to the engine get lost; each takes a second or more, and adapters queue behind them.
#[test]
fn an_adapter_behind_a_slow_load_queue_is_rejected_at_once() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let (mut scheduler, mut engine) = started();
    let mut now = ms(1_000);
    for name in &names[..5] {
        scheduler.add_waiter(&id(name), now);
        now += ms(1);
        assert!(is_loading(&mut scheduler, &id(name)));
    }
    // The engine responds to the third attempt of each command; the first two take 400 ms each.
    for _ in 0..4 {
        for result in [CommandResult::NoResponse, CommandResult::NoResponse] {
            assert!(matches!(scheduler.next_step(now), SchedulerStep::Send(_)));
            now += ms(400);
            scheduler.on_command_result(result, now);
        }
        let SchedulerStep::Send(command) = scheduler.next_step(now) else { unreachable!() };
        engine.advance(now);
        let result = engine.execute(&command, now);
        scheduler.on_command_result(result, now);
    }
    scheduler.add_waiter(&id("f"), now);
    assert_eq!(scheduler.poll_ready(&id("f"), 0, LATEST), Readiness::Unavailable);
    scheduler.remove_waiter(&id("f"), LATEST);
    // The first adapters keep waiting; once their requests leave, the queue has room again.
    let remaining = names[..5].iter().map(|name| scheduler.poll_ready(&id(name), 0, now));
    assert!(remaining.filter(|readiness| matches!(readiness, Readiness::Loading(_))).count() >= 2);
    for name in &names[..5] {
        scheduler.remove_waiter(&id(name), LATEST);
    }
    scheduler.add_waiter(&id("f"), now);
    assert!(is_loading(&mut scheduler, &id("f")));
}

#[test]
fn adapters_queue_on_a_responsive_engine() {
    let (mut scheduler, mut engine) = started();
    let now = ms(1_000);
    for number in 0..40 {
        let name = format!("x{number}");
        scheduler.add_waiter(&id(&name), now);
        assert!(is_loading(&mut scheduler, &id(&name)), "{name}");
        run_commands(&mut scheduler, &mut engine, now);
    }
}

/// Simulates requests to an engine while responses get lost and commands are delayed.
///
/// A few commands are always delayed; `delayed_share` of the others are delayed in addition.
fn simulate(seed: u64, ignores_count: bool, delayed_share: f64) -> (bool, u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scheduler = AdapterScheduler::new(spec(), "m".into());
    let mut engine = Engine { ignores_count, ..Engine::default() };
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut delayed: Vec<(Duration, EngineCommand)> = Vec::new();
    let mut running: Vec<(Duration, &str)> = Vec::new();
    let mut waiting: Vec<&str> = Vec::new();
    let mut served = 0;
    for tick in 1..600u64 {
        let now = ms(tick * 20);
        engine.advance(now);
        delayed.retain(|(at, command)| {
            if *at <= now {
                engine.execute(command, now);
            }
            *at > now
        });
        running.retain(|(until, name)| {
            if *until <= now {
                scheduler.release(&id(name));
                if let Some(runs) = engine.runs.get_mut(*name) {
                    *runs -= 1;
                }
            }
            *until > now
        });
        if rng.random_bool(0.3) {
            let name = names[rng.random_range(0..names.len())];
            scheduler.add_waiter(&id(name), now);
            waiting.push(name);
        }
        waiting.retain(|name| match scheduler.poll_ready(&id(name), 0, now) {
            Readiness::Ready(_) => {
                scheduler.remove_waiter(&id(name), now);
                scheduler.acquire(&id(name));
                *engine.runs.entry((*name).into()).or_default() += 1;
                running.push((now + ms(rng.random_range(20..600)), name));
                served += u32::from(engine.current.ready.contains_key(*name));
                false
            }
            _ => true,
        });
        for _ in 0..8 {
            match scheduler.next_step(now) {
                SchedulerStep::Send(command) => {
                    let is_delayed = delayed_share > 0.0 && rng.random_bool(delayed_share);
                    let result = match if is_delayed { 1 } else { rng.random_range(0..40) } {
                        0 => CommandResult::NoResponse,
                        1 => {
                            let at = now + ms(rng.random_range(2_000..12_000));
                            delayed.push((at, command));
                            CommandResult::NoResponse
                        }
                        2 => {
                            engine.execute(&command, now);
                            CommandResult::NoResponse
                        }
                        3 => CommandResult::Refused,
                        _ => engine.execute(&command, now),
                    };
                    scheduler.on_command_result(result, now);
                }
                SchedulerStep::FetchReport if rng.random_ratio(1, 10) => {
                    scheduler.on_report_failed(now)
                }
                SchedulerStep::FetchReport => {
                    apply_report(&mut scheduler, &engine.report(now), now)
                }
                SchedulerStep::Wait(_) => break,
            }
        }
    }
    (engine.crashed, served)
}

#[test]
fn slots_are_never_exceeded_in_ten_thousand_interleavings() {
    let mut served = 0;
    for seed in 0..10_000 {
        let (crashed, count) = simulate(seed, false, 0.0);
        assert!(!crashed, "seed {seed}: more adapters were loaded than the engine has slots");
        served += count;
    }
    assert!(served > 10_000 * 40, "only {served} requests found their adapter loaded");
}

#[test]
fn without_the_command_count_a_delayed_command_exceeds_the_slots() {
    assert!((0..2_000).any(|seed| simulate(seed, true, 0.0).0));
}

/// The network delays most commands for seconds, so several different commands with the same count
/// are in flight.
#[test]
fn slots_are_never_exceeded_while_most_commands_are_delayed() {
    const WORKERS: u64 = 8;
    let search = |first: u64| -> Vec<u64> {
        let seeds = (first..10_000).step_by(WORKERS as usize);
        seeds.filter(|seed| simulate(*seed, false, 0.7).0).collect()
    };
    let broken: Vec<u64> = std::thread::scope(|scope| {
        let workers: Vec<_> =
            (0..WORKERS).map(|first| scope.spawn(move || search(first))).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect()
    });
    assert!(
        broken.is_empty(),
        "{} seeds exceeded the slots, the first is {:?}",
        broken.len(),
        broken.first()
    );
}
