//! Searches interleavings of pauses, kills, lost answers and table outages for an
//! adapter that is unloaded while a request runs on it.
//!
//! The engine ignores fencing numbers, and its own log is the judge. Each
//! protection is taken out once, and the search must then find a violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name};
use guavaspread_ownership::{Holder, Lease, LeaseTimes, Next, OwnerRow, Right, Role};
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

/// Takes one protection out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Orders are sent on the strength of the lease alone.
    Intent,
    /// A new owner evicts although a former owner may still run requests.
    FormerOwners,
    /// A new owner runs requests on what a former owner may be unloading.
    Barring,
    /// A former owner strikes itself off with requests under way.
    Busy,
    /// A process counts as dead because it does not answer.
    Proof,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    Lost,
    Down,
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Step(usize, Fate),
    Show(usize),
    Start(usize, usize),
    End(usize),
    Wish(usize, usize),
    Grant(usize),
    Send(usize),
    Load(usize, usize),
    Release(usize),
    Replace(usize),
    /// Kills a process for good; its probe address refuses connections from then on.
    Kill(usize),
    /// Probes every suspect of a process.
    Probe(usize),
    /// What a control thread does in one round without a pause.
    Round(usize),
    /// Asks for an eviction and gets the answer without a pause.
    Evict(usize, usize),
}

impl Op {
    /// Returns the process that has to be alive for this.
    fn process(&self) -> Option<usize> {
        match *self {
            Op::Advance(_) | Op::Replace(_) => None,
            Op::Step(p, _)
            | Op::Show(p)
            | Op::Start(p, _)
            | Op::End(p)
            | Op::Wish(p, _)
            | Op::Grant(p)
            | Op::Send(p)
            | Op::Load(p, _)
            | Op::Release(p)
            | Op::Kill(p)
            | Op::Probe(p)
            | Op::Round(p)
            | Op::Evict(p, _) => Some(p),
        }
    }
}

struct Process {
    lease: Lease,
    alive: bool,
    incarnation: u64,
    /// What traffic was shown last.
    view: Option<Right>,
    runs: Vec<usize>,
    evicting: Option<usize>,
    order: Option<usize>,
}

struct World {
    without: Without,
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
            view: None,
            runs: vec![],
            evicting: None,
            order: None,
        }
    }

    fn is_barred(&self, index: usize) -> bool {
        self.view.as_ref().is_some_and(|right| right.barred.contains(&adapter(index)))
    }
}

impl World {
    fn new(without: Without) -> Self {
        World {
            without,
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
            Op::Step(p, fate) => self.step(p, fate),
            Op::Show(p) => self.show(p),
            Op::Start(p, a) => self.start(p, a),
            Op::End(p) => self.end(p),
            Op::Wish(p, a) => self.wish(p, a),
            Op::Grant(p) => self.grant(p),
            Op::Send(p) => self.send(p),
            Op::Load(p, a) => self.load(p, a),
            Op::Release(p) => self.release(p),
            Op::Replace(p) => self.replace(p),
            Op::Kill(p) => self.kill(p),
            Op::Probe(p) => self.probe(p),
            Op::Round(p) => {
                self.step(p, Fate::Answered);
                self.step(p, Fate::Answered);
                self.show(p);
                self.release(p);
            }
            Op::Evict(p, a) => {
                self.wish(p, a);
                self.step(p, Fate::Answered);
                self.grant(p);
            }
        }
    }

    fn step(&mut self, p: usize, fate: Fate) {
        let now = self.now;
        let next = self.processes[p].lease.next(Some(p), now);
        let lease = &mut self.processes[p].lease;
        match (next, fate) {
            (Next::Nothing, _) => {}
            (Next::Read, Fate::Answered) => lease.on_row(self.row.clone(), now),
            (Next::Read, _) | (Next::Commit { .. }, Fate::Down) => lease.on_no_answer(),
            (Next::Commit { row, revision }, fate) => {
                if self.row.as_ref().map(|(_, revision)| *revision) != revision {
                    return lease.on_conflict();
                }
                self.revision += 1;
                self.row = Some((*row, self.revision));
                match fate {
                    Fate::Answered => lease.on_committed(self.revision, now),
                    Fate::Lost | Fate::Down => lease.on_no_answer(),
                }
            }
        }
    }

    fn show(&mut self, p: usize) {
        let process = &mut self.processes[p];
        process.view = match process.lease.role(self.now) {
            Role::Owner(right) | Role::Caretaker(right) => Some(right),
            Role::Other(_) | Role::Unknown => None,
        };
        if process.view.is_some() {
            process.lease.set_busy(true);
        }
    }

    fn start(&mut self, p: usize, a: usize) {
        let process = &mut self.processes[p];
        let barred = process.is_barred(a) && self.without != Without::Barring;
        let allowed = process.view.is_some() && !barred && process.evicting != Some(a);
        if let Some(running) = self.loaded.get_mut(&a).filter(|_| allowed) {
            *running += 1;
            process.runs.push(a);
        }
    }

    fn end(&mut self, p: usize) {
        if let Some(a) = self.processes[p].runs.pop()
            && let Some(running) = self.loaded.get_mut(&a)
        {
            *running -= 1;
        }
    }

    fn wish(&mut self, p: usize, a: usize) {
        let without = self.without;
        let process = &mut self.processes[p];
        let may_evict = process.view.as_ref().is_some_and(|right| {
            right.may_evict || (without == Without::FormerOwners && right.fence > 0)
        });
        if may_evict && process.evicting.is_none() && !process.runs.contains(&a) {
            process.lease.wish_evict(&adapter(a));
            process.evicting = Some(a);
        }
    }

    fn grant(&mut self, p: usize) {
        let without = self.without;
        let process = &mut self.processes[p];
        let (Some(a), Role::Owner(right)) = (process.evicting, process.lease.role(self.now)) else {
            return;
        };
        let granted = match without {
            Without::Intent => right.may_evict,
            Without::FormerOwners => true,
            _ => right.granted == Some(adapter(a)),
        };
        if granted {
            process.order = Some(a);
        }
    }

    fn send(&mut self, p: usize) {
        let process = &mut self.processes[p];
        let Some(a) = process.order.take() else {
            return;
        };
        process.evicting = None;
        process.lease.on_evicted();
        if let Some(running) = self.loaded.remove(&a).filter(|running| *running > 0) {
            self.violation = Some(format!("host-{p} unloaded {a} under {running} requests"));
        }
    }

    fn load(&mut self, p: usize, a: usize) {
        let process = &self.processes[p];
        if process.view.is_some() && !process.is_barred(a) {
            self.loaded.entry(a).or_default();
        }
    }

    fn release(&mut self, p: usize) {
        let process = &mut self.processes[p];
        let idle = process.runs.is_empty() && process.order.is_none();
        if process.view.is_none() && (idle || self.without == Without::Busy) {
            process.lease.set_busy(false);
        }
    }

    fn kill(&mut self, p: usize) {
        while !self.processes[p].runs.is_empty() {
            self.end(p);
        }
        self.processes[p].alive = false;
    }

    fn probe(&mut self, p: usize) {
        for suspect in self.processes[p].lease.suspects() {
            let mut alive = self.processes.iter().enumerate().filter(|(_, other)| other.alive);
            let found = alive.any(|(index, other)| holder(index, other.incarnation) == suspect);
            if !found || self.without == Without::Proof {
                self.processes[p].lease.on_dead(&suspect, self.now);
            }
        }
    }

    /// Kills a process, which cancels what it runs, and starts another on its host.
    fn replace(&mut self, p: usize) {
        while !self.processes[p].runs.is_empty() {
            self.end(p);
        }
        self.processes[p] = Process::new(p, self.processes[p].incarnation + 1);
    }
}

fn op() -> impl Strategy<Value = Op> {
    let p = 0..PROCESSES;
    let a = 0..ADAPTERS;
    let fate = prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Down),
    ];
    prop_oneof![
        12 => prop_oneof![Just(50_u64), Just(900), Just(3_500)].prop_map(Op::Advance),
        10 => (p.clone(), fate).prop_map(|(p, fate)| Op::Step(p, fate)),
        6 => p.clone().prop_map(Op::Show),
        12 => (p.clone(), a.clone()).prop_map(|(p, a)| Op::Start(p, a)),
        2 => p.clone().prop_map(Op::End),
        4 => (p.clone(), a.clone()).prop_map(|(p, a)| Op::Wish(p, a)),
        4 => p.clone().prop_map(Op::Grant),
        4 => p.clone().prop_map(Op::Send),
        6 => (p.clone(), a.clone()).prop_map(|(p, a)| Op::Load(p, a)),
        24 => p.clone().prop_map(Op::Round),
        12 => (p.clone(), a).prop_map(|(p, a)| Op::Evict(p, a)),
        3 => p.clone().prop_map(Op::Release),
        1 => p.clone().prop_map(Op::Kill),
        3 => p.clone().prop_map(Op::Probe),
        2 => p.prop_map(Op::Replace),
    ]
}

/// Returns the first violation found, shrunk.
fn search(without: Without) -> Option<String> {
    eprintln!("{without:?} taken out");
    SEARCH.find(op(), |ops| {
        let mut world = World::new(without);
        ops.iter().find_map(|op| {
            world.apply(op);
            world.violation.take()
        })
    })
}

#[test]
fn adapter_in_use_is_never_evicted() {
    assert_eq!(search(Without::Nothing), None);
}

#[test_case(Without::Intent)]
#[test_case(Without::FormerOwners)]
#[test_case(Without::Barring)]
#[test_case(Without::Busy)]
#[test_case(Without::Proof)]
fn search_finds_a_violation(without: Without) {
    assert!(search(without).is_some(), "nothing found without {without:?}");
}

/// The search is worth something only if ownership changes hands and evictions happen.
#[test]
fn search_reaches_takeovers_and_evictions() {
    let mut runner = SEARCH.runner();
    let ops = proptest::collection::vec(op(), STEPS_MAX..STEPS_MAX + 1);
    let (mut takeovers, mut evictions) = (0, 0);
    for _ in 0..500 {
        let ops = ops.new_tree(&mut runner).unwrap().current();
        let mut world = World::new(Without::Nothing);
        for op in &ops {
            let before = world.loaded.len();
            world.apply(op);
            evictions += usize::from(world.loaded.len() < before);
        }
        takeovers += usize::from(world.row.as_ref().is_some_and(|(row, _)| row.fence > 1));
    }
    assert!(takeovers > 50 && evictions > 50, "{takeovers} takeovers, {evictions} evictions");
}
