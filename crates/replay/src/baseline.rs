//! Baseline policies for eviction and engine selection.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use guavaspread_model::{AdapterVersion, rendezvous_score};
use guavaspread_placement::{EvictionPolicy, Slot};

/// Eviction by least recent use.
pub(crate) struct LeastRecentlyUsed;

impl EvictionPolicy for LeastRecentlyUsed {
    fn retention_value(&self, slot: &Slot, _demand: f64, _now: Duration) -> f64 {
        slot.used_at.as_secs_f64()
    }
}

/// Times of the requests for each adapter in the whole trace.
pub(crate) struct FutureUses {
    uses: HashMap<AdapterVersion, BTreeSet<Duration>>,
}

impl FutureUses {
    pub(crate) fn new(requests: impl Iterator<Item = (Duration, AdapterVersion)>) -> Rc<Self> {
        let mut uses: HashMap<AdapterVersion, BTreeSet<Duration>> = HashMap::new();
        for (at, adapter) in requests {
            uses.entry(adapter).or_default().insert(at);
        }
        Rc::new(FutureUses { uses })
    }

    /// Returns the time until the next use, in seconds; infinity if there is none.
    pub(crate) fn next_use(&self, adapter: &AdapterVersion, now: Duration) -> f64 {
        let next = self.uses.get(adapter).and_then(|uses| uses.range(now..).next());
        next.map_or(f64::INFINITY, |at| (*at - now).as_secs_f64())
    }
}

/// Eviction of the adapter whose next use is furthest in the future (Belady's algorithm).
pub(crate) struct Clairvoyant(pub(crate) Rc<FutureUses>);

impl EvictionPolicy for Clairvoyant {
    fn retention_value(&self, slot: &Slot, _demand: f64, now: Duration) -> f64 {
        -self.0.next_use(&slot.adapter, now)
    }
}

/// State of an engine at the time of a selection, without the delay of digests.
pub(crate) struct Candidate {
    pub(crate) engine: usize,
    pub(crate) load: usize,
    pub(crate) waiting: usize,
    pub(crate) has_adapter: bool,
    /// Value of the slot that would be evicted next.
    pub(crate) coldest_value: f64,
}

/// Selects an engine for a request.
pub(crate) trait EngineSelector {
    fn select_engine(&self, adapter: &AdapterVersion, candidates: &[Candidate]) -> Option<usize>;
}

/// Selects the engine with the fewest requests.
pub(crate) struct LeastLoaded;

impl EngineSelector for LeastLoaded {
    fn select_engine(&self, _adapter: &AdapterVersion, candidates: &[Candidate]) -> Option<usize> {
        candidates.iter().min_by_key(|c| c.load).map(|c| c.engine)
    }
}

/// Selects the engine with the highest rendezvous score for the adapter.
pub(crate) struct Rendezvous;

impl EngineSelector for Rendezvous {
    fn select_engine(&self, adapter: &AdapterVersion, candidates: &[Candidate]) -> Option<usize> {
        let name = adapter.to_string();
        let score = |c: &&Candidate| rendezvous_score(&name, &format!("engine-{}", c.engine));
        candidates.iter().max_by_key(score).map(|c| c.engine)
    }
}

/// Selects the least loaded engine that has the adapter.
///
/// If no engine has the adapter, selects the engine whose next eviction costs least; engines with
/// an empty queue come first.
pub(crate) struct CheapestEviction;

impl EngineSelector for CheapestEviction {
    fn select_engine(&self, _adapter: &AdapterVersion, candidates: &[Candidate]) -> Option<usize> {
        let holders = candidates.iter().filter(|c| c.has_adapter);
        let holder = holders.min_by_key(|c| c.load);
        let cheapest = || {
            candidates.iter().min_by(|a, b| {
                let queued = (a.waiting > 0).cmp(&(b.waiting > 0));
                queued.then(a.coldest_value.total_cmp(&b.coldest_value)).then(a.load.cmp(&b.load))
            })
        };
        holder.or_else(cheapest).map(|c| c.engine)
    }
}
