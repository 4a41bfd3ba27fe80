//! Policies to compare with.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use guavaspread_model::{AdapterVersion, rendezvous_score};
use guavaspread_placement::{Keeper, Slot};

/// Values a slot by how recently it was used.
pub(crate) struct LeastRecentlyUsed;

impl Keeper for LeastRecentlyUsed {
    fn value(&self, slot: &Slot, _demand: f64, _now: Duration) -> f64 {
        slot.used_at.as_secs_f64()
    }
}

/// Knows when every adapter is asked for.
pub(crate) struct Future {
    uses: HashMap<AdapterVersion, BTreeSet<Duration>>,
}

impl Future {
    pub(crate) fn new(requests: impl Iterator<Item = (Duration, AdapterVersion)>) -> Rc<Self> {
        let mut uses: HashMap<AdapterVersion, BTreeSet<Duration>> = HashMap::new();
        for (at, adapter) in requests {
            uses.entry(adapter).or_default().insert(at);
        }
        Rc::new(Future { uses })
    }

    /// Returns how far off the next use is, in seconds.
    pub(crate) fn next_use(&self, adapter: &AdapterVersion, now: Duration) -> f64 {
        let next = self.uses.get(adapter).and_then(|uses| uses.range(now..).next());
        next.map_or(f64::INFINITY, |at| (*at - now).as_secs_f64())
    }
}

/// Values a slot by how soon it is used again: Belady's rule.
pub(crate) struct Clairvoyant(pub(crate) Rc<Future>);

impl Keeper for Clairvoyant {
    fn value(&self, slot: &Slot, _demand: f64, now: Duration) -> f64 {
        -self.0.next_use(&slot.adapter, now)
    }
}

/// Describes an engine to a chooser, without any lag.
pub(crate) struct Candidate {
    pub(crate) engine: usize,
    pub(crate) load: usize,
    pub(crate) waiting: usize,
    pub(crate) holds: bool,
    /// The value of the slot that would go next.
    pub(crate) coldest: f64,
}

/// Chooses an engine for a request.
pub(crate) trait Chooser {
    fn choose(&self, adapter: &AdapterVersion, candidates: &[Candidate]) -> Option<usize>;
}

/// Chooses the engine with the fewest requests.
pub(crate) struct LeastLoaded;

impl Chooser for LeastLoaded {
    fn choose(&self, _adapter: &AdapterVersion, candidates: &[Candidate]) -> Option<usize> {
        candidates.iter().min_by_key(|c| c.load).map(|c| c.engine)
    }
}

/// Chooses the first engine of the adapter's rendezvous order.
pub(crate) struct Rendezvous;

impl Chooser for Rendezvous {
    fn choose(&self, adapter: &AdapterVersion, candidates: &[Candidate]) -> Option<usize> {
        let name = adapter.to_string();
        let score = |c: &&Candidate| rendezvous_score(&name, &format!("engine-{}", c.engine));
        candidates.iter().max_by_key(score).map(|c| c.engine)
    }
}

/// Chooses a holder, or else the engine whose next eviction costs least, over all engines.
pub(crate) struct Pooled;

impl Chooser for Pooled {
    fn choose(&self, _adapter: &AdapterVersion, candidates: &[Candidate]) -> Option<usize> {
        let holders = candidates.iter().filter(|c| c.holds);
        let holder = holders.min_by_key(|c| c.load);
        let cheapest = || {
            candidates.iter().min_by(|a, b| {
                let queued = (a.waiting > 0).cmp(&(b.waiting > 0));
                queued.then(a.coldest.total_cmp(&b.coldest)).then(a.load.cmp(&b.load))
            })
        };
        holder.or_else(cheapest).map(|c| c.engine)
    }
}
