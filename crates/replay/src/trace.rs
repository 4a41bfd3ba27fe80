//! Recorded traces: a header line, then one event a line, both JSON.

use std::io::{self, BufRead, Write};

use guavaspread_model::{AdapterVersion, Priority};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};

/// Alias for a `Result` with a trace's error.
pub type Result<T> = std::result::Result<T, Error>;

/// Represents a trace that can't be read or written.
pub type Error = io::Error;

/// Names whose mix of requests a trace has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Chats and drafts of job centres.
    KitaShigoto,
    /// Notices, rules and overnight summaries of road crews.
    DopravniSmeny,
}

/// Describes the deployment that a trace was recorded on, or what is to be generated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TraceSpec {
    /// Whose mix of requests it has.
    pub deployment: Deployment,
    /// The seed that it was generated from.
    pub seed: u64,
    /// How many requests there are.
    pub requests: u32,
    /// Requests a second, on average.
    pub rate: f64,
    /// How many adapters there are.
    pub adapters: u32,
    /// The exponent of their popularity.
    pub zipf: f64,
    /// How often popularity is dealt out anew.
    pub shifts: u32,
    /// How many engines there are.
    pub engines: usize,
    /// Adapter slots of each.
    pub slots: usize,
    /// Requests that each one's batch holds.
    pub batch: usize,
    /// The time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Loads that the weight store allows in a second.
    pub loads_per_second: f64,
    /// How long a load takes at full speed, in milliseconds.
    pub load_ms: u64,
    /// Whether an engine restarts empty, the store slows down and a zone is lost on the way.
    pub failures: bool,
}

impl TraceSpec {
    /// Returns the sizes of today of a deployment.
    pub fn today(deployment: Deployment, seed: u64) -> Self {
        let (rate, loads_per_second) = match deployment {
            Deployment::KitaShigoto => (3.0, 3.0),
            Deployment::DopravniSmeny => (6.0, 7.0),
        };
        TraceSpec {
            deployment,
            seed,
            requests: 30_000,
            rate,
            adapters: 3_000,
            zipf: 1.0,
            shifts: 2,
            engines: 10,
            slots: 8,
            batch: 8,
            token_ms: 25,
            loads_per_second,
            load_ms: 250,
            failures: false,
        }
    }
}

/// Happens at one moment of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Event {
    /// When, in milliseconds since the start.
    pub at_ms: u64,
    /// What.
    pub kind: EventKind,
}

/// Tells what happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum EventKind {
    /// A request arrives.
    Request {
        /// The adapter that it names.
        adapter: AdapterVersion,
        /// How many tokens its answer has.
        tokens: u32,
        /// What an answer is worth.
        worth: u32,
        /// How long the answer may take, in milliseconds.
        deadline_ms: u32,
        /// Which work goes first.
        priority: Priority,
    },
    /// An engine comes back empty.
    Restart {
        /// Its number.
        engine: usize,
    },
    /// The weight store takes this many times as long from now on.
    Store {
        /// 1 is its full speed.
        factor: f64,
    },
    /// Engines are away, or back.
    Reachable {
        /// Their numbers.
        engines: Vec<usize>,
        /// Whether they are back.
        back: bool,
    },
}

/// Holds a trace in the order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The deployment.
    pub spec: TraceSpec,
    /// What happens.
    pub events: Vec<Event>,
}

impl Trace {
    /// Generates a trace; the same `spec` gives the same trace.
    ///
    /// # Errors
    ///
    /// Fails when the rate, the exponent or the number of adapters is out of range.
    pub fn generate(spec: TraceSpec) -> Result<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let popularity = Zipf::new(f64::from(spec.adapters), spec.zipf).map_err(bad)?;
        let pauses = Exp::new(spec.rate / 1_000.0).map_err(bad)?;
        let mut ranks: Vec<u32> = (0..spec.adapters).collect();
        ranks.shuffle(&mut rng);
        let between_shifts = spec.requests / (spec.shifts + 1);
        let (mut events, mut at_ms) = (Vec::new(), 0.0);
        for index in 0..spec.requests {
            if index > 0 && index % between_shifts == 0 {
                ranks.shuffle(&mut rng);
            }
            at_ms += pauses.sample(&mut rng);
            let rank = popularity.sample(&mut rng) as usize - 1;
            let kind = request(spec.deployment, ranks[rank], &mut rng)?;
            events.push(Event { at_ms: at_ms as u64, kind });
        }
        if spec.failures {
            events.extend(failures(&spec, at_ms as u64));
            events.sort_by_key(|event| event.at_ms);
        }
        Ok(Trace { spec, events })
    }

    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Fails when a line is not what the format describes; names it.
    pub fn read(input: impl BufRead) -> Result<Self> {
        let mut lines = input.lines();
        let header = lines.next().ok_or_else(|| bad("the trace is empty"))??;
        let spec = serde_json::from_str(&header).map_err(|e| bad(format!("line 1: {e}")))?;
        let mut events = Vec::new();
        for (index, line) in lines.enumerate() {
            let event = serde_json::from_str(&line?);
            events.push(event.map_err(|e| bad(format!("line {}: {e}", index + 2)))?);
        }
        Ok(Trace { spec, events })
    }

    /// Writes a trace.
    ///
    /// # Errors
    ///
    /// Fails when `output` does.
    pub fn write(&self, mut output: impl Write) -> Result<()> {
        writeln!(output, "{}", serde_json::to_string(&self.spec)?)?;
        for event in &self.events {
            writeln!(output, "{}", serde_json::to_string(event)?)?;
        }
        Ok(())
    }
}

fn bad(detail: impl ToString) -> Error {
    Error::new(io::ErrorKind::InvalidData, detail.to_string())
}

fn request(deployment: Deployment, adapter: u32, rng: &mut ChaCha8Rng) -> Result<EventKind> {
    let adapter = format!("office-{}/adapter-{adapter}@1", adapter % 300).parse().map_err(bad)?;
    let share: f64 = rng.random();
    let (chats, drafts) = match deployment {
        Deployment::KitaShigoto => (0.7, 0.3),
        Deployment::DopravniSmeny => (0.3, 0.2),
    };
    let (priority, tokens, worth, deadline_ms) = if share < chats {
        (Priority::Interactive, rng.random_range(16..96), 10, 10_000)
    } else if share < chats + drafts {
        (Priority::Draft, rng.random_range(64..256), 5, 60_000)
    } else {
        (Priority::Overnight, rng.random_range(128..512), 2, 600_000)
    };
    Ok(EventKind::Request { adapter, tokens, worth, deadline_ms, priority })
}

/// Has an engine restart, the store slow down fourfold and a fifth of the engines go away, each
/// for a twentieth of the time.
fn failures(spec: &TraceSpec, end_ms: u64) -> Vec<Event> {
    let part = |twentieths: u64| end_ms * twentieths / 20;
    let lost: Vec<usize> = (0..spec.engines.div_ceil(5)).collect();
    let kinds = [
        (part(4), EventKind::Restart { engine: spec.engines - 1 }),
        (part(9), EventKind::Store { factor: 4.0 }),
        (part(10), EventKind::Store { factor: 1.0 }),
        (part(16), EventKind::Reachable { engines: lost.clone(), back: false }),
        (part(17), EventKind::Reachable { engines: lost, back: true }),
    ];
    kinds.into_iter().map(|(at_ms, kind)| Event { at_ms, kind }).collect()
}
