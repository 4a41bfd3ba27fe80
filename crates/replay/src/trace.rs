//! Request traces: JSON lines with a header followed by one event a line.

use std::io::{self, BufRead, Write};

use guavaspread_model::{AdapterVersion, Priority};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};

/// Alias for a `Result` with the error type [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a trace that can't be generated, read or written.
pub type Error = io::Error;

/// Sample deployment whose request mix a trace has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Job centres: chats and drafts.
    KitaShigoto,
    /// Road crews: notices, rules and overnight summaries.
    DopravniSmeny,
}

/// Parameters of a trace and of the simulated deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TraceSpec {
    /// Sample deployment whose request mix the trace has.
    pub deployment: Deployment,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of requests.
    pub requests: u32,
    /// Average number of requests a second.
    pub rate: f64,
    /// Number of adapters.
    pub adapters: u32,
    /// Exponent of the Zipf distribution of adapter popularity.
    pub zipf: f64,
    /// Number of times that the popularity ranks are shuffled during the trace.
    pub shifts: u32,
    /// Number of engines.
    pub engines: usize,
    /// Number of adapter slots of each engine.
    pub slots: usize,
    /// Batch size of each engine, in requests.
    pub batch: usize,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Loads that the weight store admits in a second.
    pub loads_per_second: f64,
    /// Duration of a load at full speed, in milliseconds.
    pub load_ms: u64,
    /// Whether an engine restarts without adapters, the weight store slows down and some engines
    /// become unreachable during the trace.
    pub failures: bool,
}

impl TraceSpec {
    /// Returns parameters with the current size of a sample deployment.
    pub fn for_deployment(deployment: Deployment, seed: u64) -> Self {
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

/// Event of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Event {
    /// Time of the event, in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// What happens.
    pub kind: EventKind,
}

/// Kind of an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum EventKind {
    /// A request arrives.
    Request {
        /// Requested adapter.
        adapter: AdapterVersion,
        /// Number of tokens of the response.
        tokens: u32,
        /// Worth of a response that ends by its deadline.
        worth: u32,
        /// Maximum time until the response ends, in milliseconds.
        deadline_ms: u32,
        /// Priority class.
        priority: Priority,
    },
    /// An engine restarts without adapters.
    Restart {
        /// Index of the engine.
        engine: usize,
    },
    /// The speed of the weight store changes.
    Store {
        /// Factor by which loads take longer; 1 is full speed.
        factor: f64,
    },
    /// Engines become unreachable or reachable.
    Reachable {
        /// Indexes of the engines.
        engines: Vec<usize>,
        /// Whether the engines become reachable.
        back: bool,
    },
}

/// Trace of requests and faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Parameters.
    pub spec: TraceSpec,
    /// Events in the order of time.
    pub events: Vec<Event>,
}

impl Trace {
    /// Generates a trace; equal parameters give equal traces.
    ///
    /// # Errors
    ///
    /// Returns an error if the rate, the exponent or the number of adapters is out of range.
    pub fn generate(spec: TraceSpec) -> Result<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let popularity = Zipf::new(f64::from(spec.adapters), spec.zipf).map_err(invalid_data)?;
        let intervals = Exp::new(spec.rate / 1_000.0).map_err(invalid_data)?;
        let mut ranks: Vec<u32> = (0..spec.adapters).collect();
        ranks.shuffle(&mut rng);
        let shift_interval = spec.requests / (spec.shifts + 1);
        let (mut events, mut at_ms) = (Vec::new(), 0.0);
        for index in 0..spec.requests {
            if index > 0 && index % shift_interval == 0 {
                ranks.shuffle(&mut rng);
            }
            at_ms += intervals.sample(&mut rng);
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
    /// Returns an error if reading fails or the trace is empty, or an error that names the line if
    /// a line is malformed.
    pub fn read(input: impl BufRead) -> Result<Self> {
        let mut lines = input.lines();
        let header = lines.next().ok_or_else(|| invalid_data("the trace is empty"))??;
        let spec =
            serde_json::from_str(&header).map_err(|e| invalid_data(format!("line 1: {e}")))?;
        let mut events = Vec::new();
        for (index, line) in lines.enumerate() {
            let event = serde_json::from_str(&line?);
            events.push(event.map_err(|e| invalid_data(format!("line {}: {e}", index + 2)))?);
        }
        Ok(Trace { spec, events })
    }

    /// Writes a trace.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to `output` fails.
    pub fn write(&self, mut output: impl Write) -> Result<()> {
        writeln!(output, "{}", serde_json::to_string(&self.spec)?)?;
        for event in &self.events {
            writeln!(output, "{}", serde_json::to_string(event)?)?;
        }
        Ok(())
    }
}

fn invalid_data(detail: impl ToString) -> Error {
    Error::new(io::ErrorKind::InvalidData, detail.to_string())
}

/// Generates a request with the request mix of a deployment.
fn request(deployment: Deployment, adapter: u32, rng: &mut ChaCha8Rng) -> Result<EventKind> {
    let adapter =
        format!("office-{}/adapter-{adapter}@1", adapter % 300).parse().map_err(invalid_data)?;
    let class_sample: f64 = rng.random();
    let (chats, drafts) = match deployment {
        Deployment::KitaShigoto => (0.7, 0.3),
        Deployment::DopravniSmeny => (0.3, 0.2),
    };
    let (priority, tokens, worth, deadline_ms) = if class_sample < chats {
        (Priority::Interactive, rng.random_range(16..96), 10, 10_000)
    } else if class_sample < chats + drafts {
        (Priority::Draft, rng.random_range(64..256), 5, 60_000)
    } else {
        (Priority::Overnight, rng.random_range(128..512), 2, 600_000)
    };
    Ok(EventKind::Request { adapter, tokens, worth, deadline_ms, priority })
}

/// Returns the events of the faults that a trace injects.
///
/// An engine restarts. Then the weight store is four times slower, and later a fifth of the engines
/// are unreachable, each for a twentieth of the trace.
fn failures(spec: &TraceSpec, end_ms: u64) -> Vec<Event> {
    let time_at = |twentieths: u64| end_ms * twentieths / 20;
    let unreachable: Vec<usize> = (0..spec.engines.div_ceil(5)).collect();
    let kinds = [
        (time_at(4), EventKind::Restart { engine: spec.engines - 1 }),
        (time_at(9), EventKind::Store { factor: 4.0 }),
        (time_at(10), EventKind::Store { factor: 1.0 }),
        (time_at(16), EventKind::Reachable { engines: unreachable.clone(), back: false }),
        (time_at(17), EventKind::Reachable { engines: unreachable, back: true }),
    ];
    kinds.into_iter().map(|(at_ms, kind)| Event { at_ms, kind }).collect()
}
