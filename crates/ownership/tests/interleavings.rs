//! Searches interleavings of pauses, kills, lost responses and table outages for an
//! adapter that is unloaded while a request runs on it.
//!
//! The simulated engine ignores fencing numbers and counts the requests per adapter.
//! Each protection is disabled in turn, and the search must then find a violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name};
use guavaspread_ownership::{
    Holder, Lease, LeaseAction, LeaseTimes, OwnerPermissions, OwnerRow, Role,
};
use guavaspread_search::Search;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use test_case::test_case;

const CASES: u32 = 20_000;
const STEPS_MAX: usize = 240;
const PROCESSES: usize = 2;
const ADAPTERS: usize = 2;
const SEARCH: Search =
    Search { seed: *b"guavaspread ownership seed 00001", cases: CASES, steps_max: STEPS_MAX };

/// The protection that a search disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledProtection {
    None,
    /// A valid lease suffices for an unload command; the row need not record the eviction.
    EvictionIntent,
    /// A new owner evicts while a former owner may still run requests.
    FormerOwners,
    /// A new owner runs requests on an adapter that a former owner may be unloading.
    BlockedAdapters,
    /// A former owner removes its entry while it has requests in flight.
    InUse,
    /// A process counts as dead if it does not respond to a probe.
    ProofOfDeath,
}

#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The call has no effect.
    Unreachable,
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    LeaseStep(usize, CallOutcome),
    Publish(usize),
    StartRequest(usize, usize),
    EndRequest(usize),
    RequestEviction(usize, usize),
    TakeGrant(usize),
    SendUnload(usize),
    Load(usize, usize),
    MarkIdle(usize),
    Replace(usize),
    /// Kills a process permanently; its probe address refuses connections from then on.
    Kill(usize),
    /// Probes all processes that the lease of a process lists for probing.
    Probe(usize),
    /// Runs one uninterrupted round of the control thread.
    ControlRound(usize),
    /// Requests an eviction and handles the response without interruption.
    ObtainEviction(usize, usize),
}

impl Op {
    /// Returns the process that must be alive for the operation.
    fn process(&self) -> Option<usize> {
        match *self {
            Op::Advance(_) | Op::Replace(_) => None,
            Op::LeaseStep(p, _)
            | Op::Publish(p)
            | Op::StartRequest(p, _)
            | Op::EndRequest(p)
            | Op::RequestEviction(p, _)
            | Op::TakeGrant(p)
            | Op::SendUnload(p)
            | Op::Load(p, _)
            | Op::MarkIdle(p)
            | Op::Kill(p)
            | Op::Probe(p)
            | Op::ControlRound(p)
            | Op::ObtainEviction(p, _) => Some(p),
        }
    }
}

struct Process {
    lease: Lease,
    alive: bool,
    incarnation: u64,
    /// The permissions last published to the traffic threads.
    published: Option<OwnerPermissions>,
    runs: Vec<usize>,
    evicting: Option<usize>,
    /// The adapter of an unload command that has not been sent yet.
    unload_command: Option<usize>,
}

struct World {
    disabled: DisabledProtection,
    now: Duration,
    row: Option<(OwnerRow, u64)>,
    revision: u64,
    processes: Vec<Process>,
    loaded: BTreeMap<usize, u32>,
    violation: Option<String>,
}

fn adapter(index: usize) -> AdapterVersion {
    format!("organisation/adapter-{index}@1").parse().unwrap()
}

fn holder(index: usize, incarnation: u64) -> Holder {
    let host = Name::new(&format!("host-{index}")).unwrap();
    Holder { host, incarnation, probe: ([127, 0, 0, 1], 7_000).into() }
}

impl Process {
    fn new(index: usize, incarnation: u64) -> Self {
        let lease = Lease::new(holder(index, incarnation), LeaseTimes::default());
        Process {
            lease,
            alive: true,
            incarnation,
            published: None,
            runs: vec![],
            evicting: None,
            unload_command: None,
        }
    }

    fn is_blocked(&self, index: usize) -> bool {
        self.published
            .as_ref()
            .is_some_and(|permissions| permissions.blocked_adapters.contains(&adapter(index)))
    }
}

impl World {
    fn new(disabled: DisabledProtection) -> Self {
        World {
            disabled,
            now: Duration::from_secs(100),
            row: None,
            revision: 0,
            processes: (0..PROCESSES).map(|index| Process::new(index, 1)).collect(),
            loaded: (0..ADAPTERS).map(|index| (index, 0)).collect(),
            violation: None,
        }
    }

    fn apply(&mut self, op: &Op) {
        if op.process().is_some_and(|p| !self.processes[p].alive) {
            return;
        }
        match *op {
            Op::Advance(ms) => self.now += Duration::from_millis(ms),
            Op::LeaseStep(p, outcome) => self.lease_step(p, outcome),
            Op::Publish(p) => self.publish(p),
            Op::StartRequest(p, a) => self.start_request(p, a),
            Op::EndRequest(p) => self.end_request(p),
            Op::RequestEviction(p, a) => self.request_eviction(p, a),
            Op::TakeGrant(p) => self.take_grant(p),
            Op::SendUnload(p) => self.send_unload(p),
            Op::Load(p, a) => self.load(p, a),
            Op::MarkIdle(p) => self.mark_idle(p),
            Op::Replace(p) => self.replace(p),
            Op::Kill(p) => self.kill(p),
            Op::Probe(p) => self.probe(p),
            Op::ControlRound(p) => {
                self.lease_step(p, CallOutcome::Answered);
                self.lease_step(p, CallOutcome::Answered);
                self.publish(p);
                self.mark_idle(p);
            }
            Op::ObtainEviction(p, a) => {
                self.request_eviction(p, a);
                self.lease_step(p, CallOutcome::Answered);
                self.take_grant(p);
            }
        }
    }

    fn lease_step(&mut self, p: usize, outcome: CallOutcome) {
        let now = self.now;
        let action = self.processes[p].lease.next_action(Some(p), now);
        let lease = &mut self.processes[p].lease;
        match (action, outcome) {
            (LeaseAction::Nothing, _) => {}
            (LeaseAction::Read, CallOutcome::Answered) => lease.on_row_read(self.row.clone(), now),
            (LeaseAction::Read, _) | (LeaseAction::Commit { .. }, CallOutcome::Unreachable) => {
                lease.on_no_response()
            }
            (LeaseAction::Commit { row, revision }, outcome) => {
                if self.row.as_ref().map(|(_, revision)| *revision) != revision {
                    return lease.on_conflict();
                }
                self.revision += 1;
                self.row = Some((*row, self.revision));
                match outcome {
                    CallOutcome::Answered => lease.on_committed(self.revision, now),
                    CallOutcome::ResponseLost | CallOutcome::Unreachable => lease.on_no_response(),
                }
            }
        }
    }

    fn publish(&mut self, p: usize) {
        let process = &mut self.processes[p];
        process.published = match process.lease.role(self.now) {
            Role::Owner(permissions) | Role::ExpiredOwner(permissions) => Some(permissions),
            Role::OwnedBy(_) | Role::Unknown => None,
        };
        if process.published.is_some() {
            process.lease.set_in_use(true);
        }
    }

    fn start_request(&mut self, p: usize, a: usize) {
        let process = &mut self.processes[p];
        let blocked = process.is_blocked(a) && self.disabled != DisabledProtection::BlockedAdapters;
        let allowed = process.published.is_some() && !blocked && process.evicting != Some(a);
        if let Some(running) = self.loaded.get_mut(&a).filter(|_| allowed) {
            *running += 1;
            process.runs.push(a);
        }
    }

    fn end_request(&mut self, p: usize) {
        if let Some(a) = self.processes[p].runs.pop()
            && let Some(running) = self.loaded.get_mut(&a)
        {
            *running -= 1;
        }
    }

    fn request_eviction(&mut self, p: usize, a: usize) {
        let disabled = self.disabled;
        let process = &mut self.processes[p];
        let may_evict = process.published.as_ref().is_some_and(|permissions| {
            permissions.may_evict
                || (disabled == DisabledProtection::FormerOwners && permissions.fence > 0)
        });
        if may_evict && process.evicting.is_none() && !process.runs.contains(&a) {
            process.lease.request_eviction(&adapter(a));
            process.evicting = Some(a);
        }
    }

    fn take_grant(&mut self, p: usize) {
        let disabled = self.disabled;
        let process = &mut self.processes[p];
        let (Some(a), Role::Owner(permissions)) = (process.evicting, process.lease.role(self.now))
        else {
            return;
        };
        let granted = match disabled {
            DisabledProtection::EvictionIntent => permissions.may_evict,
            DisabledProtection::FormerOwners => true,
            _ => permissions.granted_eviction == Some(adapter(a)),
        };
        if granted {
            process.unload_command = Some(a);
        }
    }

    fn send_unload(&mut self, p: usize) {
        let process = &mut self.processes[p];
        let Some(a) = process.unload_command.take() else {
            return;
        };
        process.evicting = None;
        process.lease.clear_eviction();
        if let Some(running) = self.loaded.remove(&a).filter(|running| *running > 0) {
            self.violation =
                Some(format!("host-{p} unloaded adapter {a} with {running} requests running"));
        }
    }

    fn load(&mut self, p: usize, a: usize) {
        let process = &self.processes[p];
        if process.published.is_some() && !process.is_blocked(a) {
            self.loaded.entry(a).or_default();
        }
    }

    fn mark_idle(&mut self, p: usize) {
        let process = &mut self.processes[p];
        let idle = process.runs.is_empty() && process.unload_command.is_none();
        if process.published.is_none() && (idle || self.disabled == DisabledProtection::InUse) {
            process.lease.set_in_use(false);
        }
    }

    fn kill(&mut self, p: usize) {
        while !self.processes[p].runs.is_empty() {
            self.end_request(p);
        }
        self.processes[p].alive = false;
    }

    fn probe(&mut self, p: usize) {
        for probed in self.processes[p].lease.processes_to_probe() {
            let mut alive = self.processes.iter().enumerate().filter(|(_, other)| other.alive);
            let listening = alive.any(|(index, other)| holder(index, other.incarnation) == probed);
            if !listening || self.disabled == DisabledProtection::ProofOfDeath {
                self.processes[p].lease.on_process_dead(&probed, self.now);
            }
        }
    }

    /// Kills a process, which cancels its requests, and starts another one on its host.
    fn replace(&mut self, p: usize) {
        while !self.processes[p].runs.is_empty() {
            self.end_request(p);
        }
        self.processes[p] = Process::new(p, self.processes[p].incarnation + 1);
    }
}

fn op() -> impl Strategy<Value = Op> {
    let p = 0..PROCESSES;
    let a = 0..ADAPTERS;
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::ResponseLost),
        1 => Just(CallOutcome::Unreachable),
    ];
    prop_oneof![
        12 => prop_oneof![Just(50_u64), Just(900), Just(3_500)].prop_map(Op::Advance),
        10 => (p.clone(), outcome).prop_map(|(p, outcome)| Op::LeaseStep(p, outcome)),
        6 => p.clone().prop_map(Op::Publish),
        12 => (p.clone(), a.clone()).prop_map(|(p, a)| Op::StartRequest(p, a)),
        2 => p.clone().prop_map(Op::EndRequest),
        4 => (p.clone(), a.clone()).prop_map(|(p, a)| Op::RequestEviction(p, a)),
        4 => p.clone().prop_map(Op::TakeGrant),
        4 => p.clone().prop_map(Op::SendUnload),
        6 => (p.clone(), a.clone()).prop_map(|(p, a)| Op::Load(p, a)),
        24 => p.clone().prop_map(Op::ControlRound),
        12 => (p.clone(), a).prop_map(|(p, a)| Op::ObtainEviction(p, a)),
        3 => p.clone().prop_map(Op::MarkIdle),
        1 => p.clone().prop_map(Op::Kill),
        3 => p.clone().prop_map(Op::Probe),
        2 => p.prop_map(Op::Replace),
    ]
}

/// Returns the first violation found, with a minimized sequence of operations.
fn search(disabled: DisabledProtection) -> Option<String> {
    eprintln!("disabled protection: {disabled:?}");
    SEARCH.find_violation(op(), |ops| {
        let mut world = World::new(disabled);
        ops.iter().find_map(|op| {
            world.apply(op);
            world.violation.take()
        })
    })
}

#[test]
fn adapter_in_use_is_never_evicted() {
    assert_eq!(search(DisabledProtection::None), None);
}

#[test_case(DisabledProtection::EvictionIntent)]
#[test_case(DisabledProtection::FormerOwners)]
#[test_case(DisabledProtection::BlockedAdapters)]
#[test_case(DisabledProtection::InUse)]
#[test_case(DisabledProtection::ProofOfDeath)]
fn search_finds_a_violation(disabled: DisabledProtection) {
    assert!(search(disabled).is_some(), "no violation found with {disabled:?} disabled");
}

/// Guards against a search that never reaches a takeover or an eviction and so proves nothing.
#[test]
fn search_reaches_takeovers_and_evictions() {
    let mut runner = SEARCH.runner();
    let ops = proptest::collection::vec(op(), STEPS_MAX..STEPS_MAX + 1);
    let (mut takeovers, mut evictions) = (0, 0);
    for _ in 0..500 {
        let ops = ops.new_tree(&mut runner).unwrap().current();
        let mut world = World::new(DisabledProtection::None);
        for op in &ops {
            let before = world.loaded.len();
            world.apply(op);
            evictions += usize::from(world.loaded.len() < before);
        }
        takeovers += usize::from(world.row.as_ref().is_some_and(|(row, _)| row.fence > 1));
    }
    assert!(takeovers > 50 && evictions > 50, "{takeovers} takeovers, {evictions} evictions");
}
