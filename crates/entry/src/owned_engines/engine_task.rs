//! The task that sends the commands of one owned engine.

use guavaspread_fleet::{
    AdapterId, Availability, CallOutcome, CommandKind, CommandResult, EngineCommand, Reach,
    SchedulerStep, Server,
};

use super::OwnedEngine;
use crate::platform::ReportError;
use crate::prelude::*;
use crate::state::EntryState;

/// Interval between checks of an idle engine.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Sends commands to an engine, one at a time.
pub(super) async fn run_engine(
    entry: Rc<EntryState>,
    owned: Rc<OwnedEngine>,
    mut server: Arc<Server>,
) {
    loop {
        if let Some(current) = entry.server_list.borrow().get(&server.id) {
            server = current.clone();
        }
        let now = entry.clock.now();
        let Some(fence) = entry.leases.borrow().fence(&server.id, now) else {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        };
        match entry.availability(&server) {
            Availability::Available => {}
            Availability::UnavailableUntil(until) => {
                tokio::time::sleep(until.saturating_sub(now)).await;
                continue;
            }
            Availability::Draining => {
                // Requests that wait for a load here must move to another engine.
                owned.engine_changed.notify_waiters();
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            }
        }
        let step = owned.scheduler.borrow_mut().next_step(now);
        match step {
            SchedulerStep::Send(command) => {
                let reach = send_command(&entry, &owned, &server, command, fence).await;
                on_reach(&entry, &owned, &server, reach);
                owned.engine_changed.notify_waiters();
            }
            SchedulerStep::FetchReport => {
                let reach = fetch_report(&entry, &owned, &server).await;
                on_reach(&entry, &owned, &server, reach);
                owned.engine_changed.notify_waiters();
            }
            SchedulerStep::Wait(at) => {
                let wait = at.map_or(IDLE_INTERVAL, |at| at.saturating_sub(now));
                // A wake-up without a change is harmless: the next step is computed again.
                let _ = tokio::time::timeout(
                    wait.min(IDLE_INTERVAL),
                    owned.requests_changed.notified(),
                )
                .await;
            }
        }
    }
}

/// Sends a command and records its result; returns whether the engine is reached.
async fn send_command(
    entry: &Rc<EntryState>,
    owned: &OwnedEngine,
    server: &Server,
    command: EngineCommand,
    fence: u64,
) -> Reach {
    let engines = &entry.platform.engines;
    let started_at = entry.clock.now();
    let (result, notice) = engines.send_command(server, &command, &entry.holder, fence).await;
    entry.on_server_notice(server, notice);
    entry.metrics.orders.inc();
    log::debug!("engine {}: {command:?} -> {result:?}", server.id);
    let now = entry.clock.now();
    owned.scheduler.borrow_mut().on_command_result(result, now);
    if let (CommandKind::Load { adapter, .. }, CommandResult::Completed) = (&command.kind, result) {
        let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
        entry.on_completed(entry.load_content(&id));
    }
    owned.reach.borrow_mut().on_command(result.call_outcome(), started_at, now)
}

/// Fetches an engine's report and applies it; returns whether the engine is reached.
async fn fetch_report(entry: &Rc<EntryState>, owned: &OwnedEngine, server: &Server) -> Reach {
    let started_at = entry.clock.now();
    let (report, notice) = entry.platform.engines.fetch_report(server).await;
    entry.on_server_notice(server, notice);
    let now = entry.clock.now();
    let mut scheduler = owned.scheduler.borrow_mut();
    let outcome = match report {
        Ok(report) => {
            scheduler.on_report(report.sequence, &report.models, &report.loading, now);
            CallOutcome::Answered
        }
        Err(e) => {
            log::warn!("fetching the report of engine {} failed, will retry: {e}", server.id);
            scheduler.on_report_failed(now);
            match e {
                ReportError::NoResponse(_) => CallOutcome::NoResponse,
                ReportError::Invalid(_) => CallOutcome::Answered,
            }
        }
    };
    owned.reach.borrow_mut().on_call(outcome, started_at, now)
}

/// Applies whether an engine is reached: leaves loads to other engines while it is silent, and
/// releases it once it is out of reach.
fn on_reach(entry: &Rc<EntryState>, owned: &OwnedEngine, server: &Server, reach: Reach) {
    let now = entry.clock.now();
    owned.scheduler.borrow_mut().set_silent(reach != Reach::Reached, now);
    let previous = owned.last_reach.replace(reach);
    match reach {
        Reach::Reached if previous != Reach::Reached => {
            log::info!("engine {} responds to its owner, this host, again", server.id);
        }
        Reach::Silent if previous == Reach::Reached => {
            log::warn!("engine {} responds to no call of its owner, this host", server.id);
            entry.owned_engines.check_others(&server.id, now);
        }
        Reach::OutOfReach => release(entry, owned, server, now),
        Reach::Reached | Reach::Silent => {}
    }
    entry.metrics.engines_silent.set(entry.owned_engines.silent_count());
}

/// Releases an engine that is out of reach, so that a host that reaches it can claim it.
fn release(entry: &EntryState, owned: &OwnedEngine, server: &Server, now: Duration) {
    let last_command_at = owned.reach.borrow().last_command_at();
    if !entry.leases.borrow_mut().release_engine(&server.id, last_command_at, now) {
        log::debug!("engine {} is out of reach and not owned by the current lease", server.id);
        return;
    }
    log::warn!(
        "engine {} is out of reach of its owner, this host, which releases it; the last command was \
         sent {} ms ago",
        server.id,
        now.saturating_sub(last_command_at).as_millis()
    );
    owned.is_released.set(true);
    entry.metrics.engines_released.inc();
    entry.leases_changed.notify_waiters();
}
