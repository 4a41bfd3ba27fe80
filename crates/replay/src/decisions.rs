//! Benchmarks of single decisions by the number of engines, requests and adapters.

use std::time::{Duration, Instant};

use guavaspread_model::{AdapterVersion, Change, Config, Name, Priority, Result};
use guavaspread_placement::{
    EngineQueue, EngineView, Policy, QueueLimits, QueuedRequest, Router, adapter_hash,
};

const ITERATIONS: u32 = 2_000;
const CHANGE_ITERATIONS: u32 = 5;
const SLOT_COUNT: u32 = 8;

/// Measured time of one kind of decision at one size.
#[derive(Clone, Debug)]
pub struct DecisionCost {
    /// Kind of decision.
    pub decision: &'static str,
    /// Number of engines, waiting requests or adapters.
    pub size: u32,
    /// Average time of one decision.
    pub time: Duration,
}

/// Measures routing, queueing and the application of a change at several sizes.
///
/// # Errors
///
/// Returns an error if a generated name is invalid.
pub fn decision_costs() -> Result<Vec<DecisionCost>> {
    let mut costs = Vec::new();
    for engines in [10, 100, 1_000] {
        let (decision, time) = ("route among engines", measure_route(engines)?);
        costs.push(DecisionCost { decision, size: engines, time });
    }
    for waiting in [10, 100, 500] {
        let (decision, time) = ("queue behind requests", measure_queue(waiting)?);
        costs.push(DecisionCost { decision, size: waiting, time });
    }
    for adapters in [3_000, 35_000, 140_000] {
        let (decision, time) = ("apply a change to adapters", measure_change(adapters)?);
        costs.push(DecisionCost { decision, size: adapters, time });
    }
    Ok(costs)
}

fn adapter(index: u32) -> Result<AdapterVersion> {
    format!("office-{}/adapter-{index}@1", index % 300).parse()
}

/// Returns the average time to route a request among `engines` engines.
fn measure_route(engines: u32) -> Result<Duration> {
    let mut router = Router::new(Policy::default());
    for engine in 0..engines {
        let loaded = (0..SLOT_COUNT)
            .map(|slot| adapter(engine * SLOT_COUNT + slot).map(|a| adapter_hash(&a)));
        router.insert(EngineView {
            host: Some(Name::new(&format!("engine-{engine}"))?),
            is_accepting: true,
            batch: 32,
            coldest_demand: f64::from(engine % 7) / 100.0,
            loaded: loaded.collect::<Result<_>>()?,
            ..EngineView::default()
        });
    }
    let adapters: Vec<AdapterVersion> = (0..ITERATIONS).map(adapter).collect::<Result<_>>()?;
    let started = Instant::now();
    for (index, adapter) in adapters.iter().enumerate() {
        router.route(adapter, &[], Duration::from_millis(index as u64));
    }
    Ok(started.elapsed() / ITERATIONS)
}

/// Returns the average time to queue and start a request behind `waiting` requests.
fn measure_queue(waiting: u32) -> Result<Duration> {
    let limits = QueueLimits {
        slots: SLOT_COUNT as usize,
        batch: 32,
        waiting_max: 1_000,
        concurrent_loads_max: 2,
        initial_load_time: Duration::from_millis(250),
    };
    let mut queue = EngineQueue::new(limits, Policy::default());
    let request = |index: u32| -> Result<QueuedRequest> {
        Ok(QueuedRequest {
            adapter: adapter(index % 20)?,
            arrived_at: Duration::ZERO,
            deadline: Duration::from_secs(600),
            worth: 10,
            priority: Priority::Interactive,
            exclusive: false,
        })
    };
    let now = Duration::from_secs(1);
    for index in 0..waiting {
        // The submission never fails: the queue has the capacity for all requests.
        let _ = queue.submit(request(index)?, now);
    }
    let started = Instant::now();
    for index in 0..ITERATIONS {
        if let Ok(key) = queue.submit(request(index)?, now) {
            queue.next_action(now);
            queue.on_request_finished(key);
        }
    }
    Ok(started.elapsed() / ITERATIONS)
}

/// Returns the average time to apply a change to a configuration with `adapters` adapters.
fn measure_change(adapters: u32) -> Result<Duration> {
    let mut config = Config::default();
    for office in 0..300 {
        let organisation = Name::new(&format!("office-{office}"))?;
        config.apply(&Change::CreateOrganisation { organisation })?;
    }
    for index in 0..adapters {
        let full = adapter(index)?;
        config.apply(&Change::RegisterAdapter {
            organisation: full.organisation().clone(),
            adapter: full.adapter().clone(),
            base: Name::new("base")?,
            class: None,
        })?;
        config.apply(&Change::RegisterVersion { adapter: full })?;
    }
    let started = Instant::now();
    for round in 0..CHANGE_ITERATIONS {
        let organisation = Name::new(&format!("new-{round}"))?;
        let changes = [Change::CreateOrganisation { organisation }];
        config.apply_all(&changes, u64::from(round) + 1)?;
    }
    Ok(started.elapsed() / CHANGE_ITERATIONS)
}
