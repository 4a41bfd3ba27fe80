//! Scheduling of the adapter loads and unloads of one engine.
//!
//! The owner of an engine keeps its scheduler. One command is in flight at a time. Each command
//! carries the number of commands that the engine has accepted, so a command without a response
//! can't take effect after a later one. An adapter occupies a slot from the moment at which it may
//! be loaded until it is known to be unloaded, because an engine crashes when it is commanded to
//! load more adapters than it has slots.

mod command_results;
mod next_command;

use std::collections::HashSet;

use guavaspread_placement::DemandMap;

use crate::catalog::EngineSpec;
use crate::engine_command::{CommandKind, EngineCommand, Readiness, SchedulerStep};
use crate::prelude::*;
use crate::server_list::{AdapterId, LoadedModel};

/// Maximum concurrent adapter loads on one engine, because engines accept no more.
const CONCURRENT_LOADS_MAX: usize = 4;
/// Maximum concurrent loads from the weight store on one engine. A crowded store slows down the
/// loads of all engines.
const CONCURRENT_FETCHES_MAX: usize = 3;
/// Load time of an adapter assumed until the first measurement.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(240);
/// Load time of an adapter that the engine still caches.
const CACHED_LOAD_TIME: Duration = Duration::from_millis(20);
/// Interval between two polls for the completion of a load.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two polls for the completion of a model load.
const MODEL_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum age of the state in an engine's report. A report that is fetched this long after a
/// command shows whether the engine accepted the command.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Time after the last accepted command from which a report with fewer commands than known is
/// trusted.
const REPORT_LAG_MAX: Duration = Duration::from_millis(1_000);
/// Delay before the report is fetched from an engine that executes another command, or whose count
/// of accepted commands differs.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(100);
/// How long the scheduler does not request an adapter again after the engine reported that it does
/// not exist.
const NOT_FOUND_TTL: Duration = Duration::from_secs(2);
/// Delay before a command that the engine refused is repeated.
const REFUSED_BACKOFF: Duration = Duration::from_millis(300);
/// How long an engine that refused a command, or could not be reached, loads nothing for further
/// requests; these use another engine at once.
const REFUSED_COOLDOWN: Duration = Duration::from_millis(900);
/// Time after which an incomplete load counts as lost and the engine's report is fetched.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Half-life of the demand by which adapters are evicted.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);
/// Demand assumed for an adapter that the engine held when this owner took over.
const INHERITED_DEMAND: f64 = 3.0;
/// Fraction of the estimated load time after which a load is polled first.
const FIRST_POLL_FRACTION: f64 = 0.9;
/// Factor applied to the estimated load time when the first poll finds a load complete.
const LOAD_TIME_DECAY: f64 = 0.95;
const DEMAND_ENTRIES_MAX: usize = 4_096;
/// Divisor of the batch size that limits the requests waiting on an engine. More requests would
/// wait longer than a load on another engine takes.
const WAITING_DIVISOR: u32 = 6;
/// Retries of a command without a response before the engine's report is fetched.
const RETRIES_MAX: u32 = 4;
/// Response time of a command assumed until the first measurement.
const INITIAL_COMMAND_TIME: Duration = Duration::from_millis(5);
/// Inverse of the weight of the latest command in the smoothed response time.
const COMMAND_TIME_DIVISOR: u32 = 4;
/// Commands that one adapter takes: an unload that frees a slot, the load and one poll.
const COMMANDS_PER_LOAD: u32 = 3;
/// Longest time that an adapter may queue behind other commands. Callers wait for a few seconds,
/// and another engine or a later retry serves them better.
const QUEUE_TIME_MAX: Duration = Duration::from_millis(1_200);
/// Adapters that may always queue, so that a slow engine still gets commands.
const QUEUE_LENGTH_MIN: u32 = 2;
/// Weight of one second of waiting, in waiting requests.
const WAIT_WEIGHT_PER_S: f64 = 4.0;
/// Unloaded adapters that an engine keeps in its cache.
const CACHED_ADAPTERS_MAX: usize = 96;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    Ready,
    /// The engine accepted the load at `since`; the next poll is due at `poll_at`.
    Loading {
        since: Duration,
        poll_at: Duration,
        was_polled: bool,
    },
    Unloading {
        poll_at: Duration,
    },
}

#[derive(Clone, Debug)]
struct Slot {
    version: u64,
    state: SlotState,
}

#[derive(Clone, Copy, Debug)]
struct LoadRequest {
    version: u64,
    since: Duration,
    /// Requests that wait for the adapter.
    waiters: u32,
    /// The time until which the adapter is loaded without waiting requests, for callers that were
    /// told to retry.
    kept_until: Duration,
}

/// A command whose response was lost.
///
/// The command is repeated unchanged. If the engine accepts it, the first one had no effect and
/// can't take effect later. If the engine's count differs, the command is repeated with the count
/// that the first one's effect would have left, provided that one more load would still fit.
/// Otherwise the engine's report decides.
#[derive(Clone, Debug)]
struct UnansweredCommand {
    command: EngineCommand,
    assumed_applied: bool,
    retries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ModelState {
    Absent,
    Loading { poll_at: Duration },
    Ready,
}

/// Decides the commands to one engine.
#[derive(Debug)]
pub struct AdapterScheduler {
    spec: EngineSpec,
    model: Arc<str>,
    model_state: ModelState,
    sequence: Option<u64>,
    slots: HashMap<AdapterId, Slot>,
    /// The number of requests that may be running on each adapter.
    use_counts: HashMap<AdapterId, u32>,
    /// The sum of `use_counts`.
    running_requests: u32,
    load_requests: HashMap<AdapterId, LoadRequest>,
    newest_versions: HashMap<AdapterId, u64>,
    /// Adapters whose older version a request may still wait for that was withdrawn.
    withdrawn: HashSet<AdapterId>,
    /// Adapters that do not exist according to the engine, and when this expires.
    not_found: HashMap<AdapterId, Duration>,
    demand: DemandMap<AdapterId>,
    recently_unloaded: std::collections::VecDeque<AdapterId>,
    in_flight: Option<EngineCommand>,
    unanswered: Option<UnansweredCommand>,
    last_accepted_at: Duration,
    fetch_report_at: Option<Duration>,
    resume_at: Duration,
    /// The time until which an engine that refused the last command counts as refusing further
    /// ones.
    refused_until: Duration,
    /// Whether the engine responds to no call.
    is_silent: bool,
    load_time: Duration,
    /// The time at which the command in flight or without a response was first sent.
    sent_at: Option<Duration>,
    /// The smoothed time until the engine responds to a command.
    command_time: Duration,
}

impl AdapterScheduler {
    /// Creates the scheduler of an engine whose state is unknown.
    ///
    /// `model` is the model that the engine shall hold.
    pub fn new(spec: EngineSpec, model: Arc<str>) -> Self {
        AdapterScheduler {
            spec,
            model,
            model_state: ModelState::Absent,
            sequence: None,
            slots: HashMap::new(),
            use_counts: HashMap::new(),
            running_requests: 0,
            load_requests: HashMap::new(),
            newest_versions: HashMap::new(),
            withdrawn: HashSet::new(),
            not_found: HashMap::new(),
            demand: DemandMap::new(DEMAND_HALF_LIFE, DEMAND_ENTRIES_MAX),
            recently_unloaded: std::collections::VecDeque::new(),
            in_flight: None,
            unanswered: None,
            last_accepted_at: Duration::ZERO,
            fetch_report_at: Some(Duration::ZERO),
            resume_at: Duration::ZERO,
            refused_until: Duration::ZERO,
            is_silent: false,
            load_time: INITIAL_LOAD_TIME,
            sent_at: None,
            command_time: INITIAL_COMMAND_TIME,
        }
    }

    /// Updates the slots from the engine's report.
    ///
    /// A report that does not show every accepted command yet is fetched again.
    pub fn on_report(
        &mut self,
        sequence: u64,
        models: &[LoadedModel],
        loading: &[(AdapterId, u64)],
        now: Duration,
    ) {
        let is_recent = now < self.last_accepted_at + REPORT_LAG_MAX;
        if is_recent && self.sequence.is_some_and(|known| sequence < known) {
            self.fetch_report_at = Some(now + REPORT_LAG);
            return;
        }
        let is_first = self.sequence.is_none();
        self.sequence = Some(sequence);
        self.fetch_report_at = None;
        let old = std::mem::take(&mut self.slots);
        let mut update_slot = |id: AdapterId, version: u64, state: SlotState| {
            // An unload that waits for running requests is in progress, and the report does not
            // show it yet.
            let slot = match old.get(&id) {
                Some(known) if is_in_progress(known, version, now) => known.clone(),
                _ => Slot { version, state },
            };
            self.slots.insert(id, slot);
        };
        for model in models {
            for adapter in &model.adapters {
                let id = AdapterId { model: model.name.clone(), adapter: adapter.name.clone() };
                if is_first {
                    // A new owner does not know the demand; without this, it would evict popular
                    // adapters first.
                    self.demand.raise_to(&id, now, INHERITED_DEMAND);
                }
                update_slot(id, adapter.version, SlotState::Ready);
            }
        }
        for (id, version) in loading {
            update_slot(
                id.clone(),
                *version,
                SlotState::Loading { since: now, poll_at: now, was_polled: true },
            );
        }
        match models.iter().any(|model| model.name == self.model) {
            true => self.model_state = ModelState::Ready,
            false if self.model_state == ModelState::Ready => {
                self.model_state = ModelState::Absent;
            }
            false => {}
        }
    }

    /// Counts a request that waits for an adapter, until [`AdapterScheduler::remove_waiter`].
    pub fn add_waiter(&mut self, id: &AdapterId, now: Duration) {
        self.not_found.retain(|_, until| *until > now);
        self.demand.add(id, now);
        let new_request = LoadRequest { version: 0, since: now, waiters: 0, kept_until: now };
        self.load_requests.entry(id.clone()).or_insert(new_request).waiters += 1;
    }

    /// Keeps an adapter's load request until `until`, for callers that were told to retry.
    pub fn keep_load_request(&mut self, id: &AdapterId, until: Duration) {
        if let Some(request) = self.load_requests.get_mut(id) {
            request.kept_until = request.kept_until.max(until);
        }
    }

    /// Returns whether an adapter can be used without another fetch from the weight store.
    pub fn is_cached(&self, id: &AdapterId) -> bool {
        self.slots.contains_key(id) || self.recently_unloaded.contains(id)
    }

    /// Returns whether an adapter is loaded.
    pub fn is_loaded(&self, id: &AdapterId) -> bool {
        self.slots.get(id).is_some_and(|slot| slot.state == SlotState::Ready)
    }

    /// Lists the adapters with a load that is, or may be, in progress.
    pub fn pending_loads(&self) -> Vec<AdapterId> {
        let is_loading = |slot: &Slot| matches!(slot.state, SlotState::Loading { .. });
        let loads = self.slots.iter().filter(|(_, slot)| is_loading(slot));
        let mut loading: Vec<AdapterId> = loads.map(|(id, _)| id.clone()).collect();
        let uncertain =
            self.unanswered.iter().map(|unanswered| &unanswered.command).chain(&self.in_flight);
        for command in uncertain {
            if let CommandKind::Load { adapter, .. } = &command.kind {
                let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
                if !loading.contains(&id) {
                    loading.push(id);
                }
            }
        }
        loading
    }

    /// Returns whether an adapter is cached, or is requested by waiting requests.
    pub fn is_cached_or_requested(&self, id: &AdapterId) -> bool {
        self.is_cached(id) || self.load_requests.contains_key(id)
    }

    /// Counts a request that may run on an adapter, until [`AdapterScheduler::release`].
    pub fn acquire(&mut self, id: &AdapterId) {
        *self.use_counts.entry(id.clone()).or_default() += 1;
        self.running_requests += 1;
    }

    /// Returns the number of requests that may be running on the engine's adapters.
    pub fn running_requests(&self) -> u32 {
        self.running_requests
    }

    /// Removes a request that no longer runs on an adapter.
    pub fn release(&mut self, id: &AdapterId) {
        if let Some(count) = self.use_counts.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                self.use_counts.remove(id);
            }
            self.running_requests -= 1;
        }
    }

    /// Removes a request that no longer waits for an adapter.
    pub fn remove_waiter(&mut self, id: &AdapterId, now: Duration) {
        if let Some(request) = self.load_requests.get_mut(id) {
            request.waiters = request.waiters.saturating_sub(1);
        }
        self.prune_load_requests(now);
    }

    fn prune_load_requests(&mut self, now: Duration) {
        self.load_requests.retain(|_, request| request.waiters > 0 || request.kept_until > now);
    }

    /// Requests at least `version` of an adapter and returns whether the adapter can be used.
    ///
    /// The adapter is loaded only for requests counted by [`AdapterScheduler::add_waiter`].
    pub fn poll_ready(&mut self, id: &AdapterId, version: u64, now: Duration) -> Readiness {
        if self.not_found.contains_key(id) {
            return Readiness::NotFound;
        }
        if id.model != self.model || self.capacity() == 0 {
            return Readiness::Unavailable;
        }
        if self.running_requests >= self.spec.batch + self.spec.batch / WAITING_DIVISOR {
            return Readiness::Full;
        }
        let version = version.max(self.newest_versions.get(id).copied().unwrap_or(0));
        if let Some(slot) = self.slots.get(id)
            && slot.state == SlotState::Ready
            && self.model_state == ModelState::Ready
        {
            if slot.version >= version {
                return Readiness::Ready(slot.version);
            }
            // A replacement would wait for the running requests and block all other commands.
            if self.use_counts.contains_key(id) {
                return Readiness::OldVersionInUse;
            }
        }
        if self.is_silent || now < self.refused_until && !self.slots.contains_key(id) {
            return Readiness::Unavailable;
        }
        if self.is_queue_too_slow(id) {
            return Readiness::Unavailable;
        }
        if let Some(request) = self.load_requests.get_mut(id) {
            request.version = request.version.max(version);
        }
        Readiness::Loading(self.estimated_load_wait(id, now))
    }

    /// Estimates the time until an adapter is loaded.
    fn estimated_load_wait(&self, id: &AdapterId, now: Duration) -> Duration {
        if let Some(Slot { state: SlotState::Loading { since, .. }, .. }) = self.slots.get(id) {
            return (*since + self.load_time).saturating_sub(now);
        }
        if self.is_cached(id) {
            return CACHED_LOAD_TIME;
        }
        let requested_at = self.load_requests.get(id).map_or(now, |request| request.since);
        let ahead = self.load_requests.iter().filter(|(other, request)| {
            *other != id && request.since <= requested_at && !self.is_cached(other)
        });
        let fetches = self.slots.iter().filter(|(other, slot)| {
            matches!(slot.state, SlotState::Loading { .. })
                && !self.recently_unloaded.contains(other)
        });
        let saturated = usize::from(fetches.count() >= CONCURRENT_FETCHES_MAX);
        let rounds = 1.0 + (ahead.count() + saturated) as f64 / CONCURRENT_FETCHES_MAX as f64;
        self.load_time.mul_f64(rounds)
    }

    /// Returns whether the adapters requested earlier need too long to load.
    fn is_queue_too_slow(&self, id: &AdapterId) -> bool {
        let Some(own) = self.load_requests.get(id).filter(|_| !self.slots.contains_key(id)) else {
            return false;
        };
        let ahead = self.load_requests.iter().filter(|(other, request)| {
            *other != id && request.since <= own.since && !self.slots.contains_key(*other)
        });
        let ahead = ahead.count() as u32;
        ahead >= QUEUE_LENGTH_MIN && self.command_time * COMMANDS_PER_LOAD * ahead > QUEUE_TIME_MAX
    }

    /// Records that a newer version of an adapter exists.
    ///
    /// A loaded adapter is replaced when it is next requested and no longer in use.
    pub fn on_new_version(&mut self, id: &AdapterId, version: u64) {
        let newest = self.newest_versions.entry(id.clone()).or_default();
        *newest = version.max(*newest);
    }

    /// Records the end of a request that had not begun.
    ///
    /// An engine may keep such a request although its connection is closed. If its version is not the
    /// newest any more, the adapter is unloaded, upon which the engine refuses the request.
    pub fn on_withdrawn(&mut self, id: &AdapterId) {
        if self.slots.get(id).is_some_and(|slot| self.is_outdated(id, slot.version)) {
            self.withdrawn.insert(id.clone());
        }
    }

    /// Returns whether a version is older than the newest one of the adapter.
    pub fn is_outdated(&self, id: &AdapterId, version: u64) -> bool {
        self.newest_versions.get(id).is_some_and(|newest| version < *newest)
    }

    /// Records that the engine rejected a request because it does not hold the adapter.
    pub fn on_adapter_missing(&mut self, now: Duration) {
        self.fetch_report_at.get_or_insert(now);
    }

    /// Sets whether the engine responds to no call.
    ///
    /// While it does not, adapters are loaded on other engines, and the report is fetched instead of
    /// sending further commands.
    pub fn set_silent(&mut self, is_silent: bool, now: Duration) {
        self.is_silent = is_silent;
        if is_silent {
            self.fetch_report_at.get_or_insert(now + REFUSED_BACKOFF);
        }
    }

    /// Returns the next action. Call it again after the action is carried out.
    pub fn next_step(&mut self, now: Duration) -> SchedulerStep {
        if self.in_flight.is_some() {
            return SchedulerStep::Wait(None);
        }
        if let Some(at) = self.fetch_report_at {
            return if at <= now {
                SchedulerStep::FetchReport
            } else {
                SchedulerStep::Wait(Some(at))
            };
        }
        let Some(expected_sequence) = self.sequence else {
            return SchedulerStep::FetchReport;
        };
        if self.resume_at > now {
            return SchedulerStep::Wait(Some(self.resume_at));
        }
        if let Some(unanswered) = &self.unanswered {
            self.in_flight = Some(unanswered.command.clone());
            return SchedulerStep::Send(unanswered.command.clone());
        }
        match self.next_command(now) {
            Ok(kind) => {
                self.sent_at = Some(now);
                let command = EngineCommand { model: self.model.clone(), kind, expected_sequence };
                self.in_flight = Some(command.clone());
                SchedulerStep::Send(command)
            }
            Err(next_poll_at) => SchedulerStep::Wait(next_poll_at),
        }
    }

    /// Records that the engine's report could not be fetched.
    pub fn on_report_failed(&mut self, now: Duration) {
        self.fetch_report_at = Some(now + REPORT_LAG);
    }

    fn target_version(&self, id: &AdapterId) -> u64 {
        let requested = self.load_requests.get(id).map_or(0, |request| request.version);
        requested.max(self.newest_versions.get(id).copied().unwrap_or(0)).max(1)
    }

    /// Returns the number of adapters that fit on the engine beside the model.
    fn capacity(&self) -> usize {
        let Some(model) = self.spec.model(&self.model) else {
            return 0;
        };
        let room = (self.spec.weights_mb - model.weights_mb) / model.adapter_mb.max(0.001);
        self.spec.adapter_slots.min(room.max(0.0) as usize)
    }
}

/// Returns whether a command for a slot is in progress although the report lists `version` there.
fn is_in_progress(slot: &Slot, version: u64, now: Duration) -> bool {
    match slot.state {
        SlotState::Ready => false,
        SlotState::Loading { since, .. } => slot.version > version && now < since + LOAD_TIMEOUT,
        SlotState::Unloading { .. } => true,
    }
}
