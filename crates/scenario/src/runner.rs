//! Execution of scenarios against real processes.

use std::collections::BTreeMap;
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use eyre::{Context, Result, bail, ensure, eyre};
use guavaspread_model::{HostState, Name};
use guavaspread_standins::{EngineEventKind, EngineSpec, Faults};
use serde_json::json;

use crate::caller::{Caller, Reply, read_json, read_stream};
use crate::fleet::{Fleet, FleetSpec, ZoneSpec};
use crate::sample::{INTAKE_ADAPTER, KITA_KEY, declare_sample};
use crate::script::{Expected, Process, Script, Step, Target};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of adapters over which the requests of `load` are spread.
const LOAD_ADAPTER_COUNT: u32 = 20;

/// Request whose response has not been checked.
struct PendingRequest {
    started_at: Instant,
    tokens: u32,
    stream: bool,
    model: String,
    thread: JoinHandle<Result<(Reply, Duration)>>,
}

struct Runner {
    spec: FleetSpec,
    fleet: Option<Fleet>,
    pending: BTreeMap<String, PendingRequest>,
    /// Owner of each engine at the time of the engine's `note` step.
    noted_owners: BTreeMap<Name, Name>,
    /// Ids of the requests that `load` started and `loaded` has not checked.
    load_ids: Vec<String>,
    /// Number of requests that `load` started.
    load_count: u32,
    faults: Faults,
}

/// Runs every step, then checks that no engine unloaded an adapter in use.
///
/// # Errors
///
/// Returns an error that names the line of the first failed step, or the engine that unloaded an
/// adapter in use.
pub fn run(script: &Script) -> Result<()> {
    let spec = FleetSpec { zones: Vec::new(), ..FleetSpec::default() };
    let mut runner = Runner {
        spec,
        fleet: None,
        pending: BTreeMap::new(),
        noted_owners: BTreeMap::new(),
        load_ids: Vec::new(),
        load_count: 0,
        faults: Faults::default(),
    };
    for (line, step) in &script.steps {
        runner.run_step(step).wrap_err_with(|| format!("line {line}: {step:?}"))?;
    }
    runner.check_engine_logs()
}

impl Runner {
    fn run_step(&mut self, step: &Step) -> Result<()> {
        match step {
            Step::Zone { .. }
            | Step::Bookings(_)
            | Step::Slots(_)
            | Step::TokenTime(_)
            | Step::CheckFences => self.configure(step),
            Step::Start => {
                let fleet = Fleet::start(&self.spec)?;
                declare_sample(&fleet)?;
                self.fleet = Some(fleet);
                Ok(())
            }
            Step::Operator { at, code, statement } => self.run_statement(at, *code, statement),
            Step::Chat { .. } => self.send_chat(step),
            Step::Confirm { id, at, booking, takes } => self.send_confirm(id, at, booking, *takes),
            Step::Expect { id, expected, within } => self.check_request(id, expected, *within),
            Step::Kill(process, target) => {
                let host = self.resolve_host(target)?;
                self.fleet_mut()?.kill(&host, process_name(*process))
            }
            Step::Stop(process, target) => self.signal(*process, target, "TERM"),
            Step::Ended(process, target, within) => {
                let host = self.resolve_host(target)?;
                let succeeded =
                    self.fleet_mut()?.wait_for_exit(&host, process_name(*process), *within)?;
                ensure!(succeeded, "the process exited with an error");
                Ok(())
            }
            Step::Freeze(process, target) => self.signal(*process, target, "STOP"),
            Step::Thaw(process, target) => self.signal(*process, target, "CONT"),
            Step::Run(process, target) => {
                let host = self.resolve_host(target)?;
                self.fleet_mut()?.start_process(&host, process_name(*process))
            }
            Step::Note(engine) => {
                let owner = self.fleet()?.owner(engine)?;
                self.noted_owners.insert(engine.clone(), owner);
                Ok(())
            }
            Step::Crash(engine) => {
                let fleet = self.fleet()?;
                let engine = fleet.engines.get(engine);
                engine.ok_or_else(|| eyre!("the engine does not exist"))?.crash();
                Ok(())
            }
            Step::List(host, state) => self.set_host_state(host, state),
            Step::CutPlatform(zone) => {
                self.fleet()?.partitions.isolate_from_platform(zone);
                Ok(())
            }
            Step::CutZones(a, b) => {
                self.fleet()?.partitions.partition_zones(a, b);
                Ok(())
            }
            Step::Heal => {
                self.fleet()?.partitions.heal();
                Ok(())
            }
            Step::Platform(up) => {
                self.faults.table_down = !up;
                self.set_faults()
            }
            Step::LoseAnswers(count) => {
                self.faults.lose_answers = *count;
                self.set_faults()
            }
            Step::Weights(arrive) => {
                self.faults.loads_fail = !arrive;
                self.set_faults()
            }
            Step::SlowWeights(factor) => {
                self.faults.load_factor = *factor;
                self.set_faults()
            }
            Step::Wait(time) => {
                sleep(*time);
                Ok(())
            }
            Step::OwnerChanges(engine, within) => self.wait_for_owner_change(engine, *within),
            Step::Confirmed(booking, times) => {
                let found = self.fleet()?.booking.confirmations(booking);
                ensure!(
                    found == *times,
                    "the booking was confirmed {found} times, expected {times}"
                );
                Ok(())
            }
            Step::Quiet(engine, time) => self.check_quiet(engine, *time),
            Step::Load { count, every, tokens } => self.start_load(*count, *every, *tokens),
            Step::Loaded => {
                for id in std::mem::take(&mut self.load_ids) {
                    self.check_request(&id, &Expected::Whole, None).wrap_err_with(|| id.clone())?;
                }
                Ok(())
            }
        }
    }

    /// Applies a step that precedes `start`.
    fn configure(&mut self, step: &Step) -> Result<()> {
        ensure!(self.fleet.is_none(), "this step must precede `start`");
        match step {
            Step::Zone { name, hosts, engines } => {
                let name = name.as_str().to_owned().leak();
                let zone = ZoneSpec { name, entry_hosts: *hosts, engines: *engines };
                self.spec.zones.push(zone);
            }
            Step::Bookings(count) => self.spec.bookings = *count,
            Step::Slots(slots) => {
                self.spec.engine = EngineSpec { slots: *slots, ..self.spec.engine }
            }
            Step::CheckFences => {
                self.spec.engine = EngineSpec { check_fences: true, ..self.spec.engine };
            }
            Step::TokenTime(time) => {
                let token_ms = time.as_millis() as u32;
                self.spec.engine = EngineSpec { token_ms, ..self.spec.engine };
            }
            other => bail!("{other:?} is not a step that precedes `start`"),
        }
        Ok(())
    }

    fn fleet(&self) -> Result<&Fleet> {
        self.fleet.as_ref().ok_or_else(|| eyre!("this step must follow `start`"))
    }

    fn fleet_mut(&mut self) -> Result<&mut Fleet> {
        self.fleet.as_mut().ok_or_else(|| eyre!("this step must follow `start`"))
    }

    /// Returns the host of a target; an owner recorded by `note` takes precedence over the current
    /// owner.
    fn resolve_host(&self, target: &Target) -> Result<Name> {
        match target {
            Target::Host(name) => Ok(name.clone()),
            Target::OwnerOf(engine) => match self.noted_owners.get(engine) {
                Some(noted) => Ok(noted.clone()),
                None => self.fleet()?.owner(engine),
            },
        }
    }

    fn signal(&mut self, process: Process, target: &Target, signal: &str) -> Result<()> {
        let host = self.resolve_host(target)?;
        self.fleet_mut()?.signal(&host, process_name(process), signal)
    }

    fn set_faults(&self) -> Result<()> {
        self.fleet()?.platform.set_faults(self.faults);
        Ok(())
    }

    fn set_host_state(&mut self, host: &Name, state: &str) -> Result<()> {
        let fleet = self.fleet_mut()?;
        match state {
            "live" => fleet.set_host_state(host, HostState::Live),
            "leaving" => fleet.set_host_state(host, HostState::Leaving),
            "gone" => fleet.remove_host(host),
            other => bail!("`{other}` is not a host state; expected `live`, `leaving` or `gone`"),
        }
        Ok(())
    }

    fn run_statement(&self, at: &Name, code: u64, statement: &str) -> Result<()> {
        let operator = self.fleet()?.operator(at)?;
        let reply = read_json(operator.post("/operator/query").body(statement.to_owned()).send()?)?;
        ensure!(reply.code() == code, "expected code {code}: {reply:?}");
        Ok(())
    }

    fn send_chat(&mut self, step: &Step) -> Result<()> {
        let Step::Chat { id, at, model, tokens, stream, seeded, fault } = step else {
            bail!("{step:?} is not a chat step");
        };
        let mut body = json!({
            "model": model, "messages": [{"role": "user", "content": id}],
            "max_tokens": tokens, "stream": stream,
        });
        if *seeded {
            body["seed"] = json!(7);
        }
        if let Some(fault) = fault {
            body["user"] = json!(format!("standin:{fault}"));
            // Requests with the same fault have the same content even if their ids differ, so that
            // the daemons recognize a request that crashes engines.
            body["messages"] = json!([]);
        }
        let caller = self.fleet()?.caller(at, KITA_KEY)?;
        let req = caller.post("/v1/chat/completions").json(&body);
        let stream = *stream;
        self.start_request(id, *tokens, stream, model, move || {
            let res = req.send()?;
            if stream { read_stream(res) } else { read_json(res) }
        });
        Ok(())
    }

    fn send_confirm(&mut self, id: &str, at: &Name, booking: &str, takes: Duration) -> Result<()> {
        let caller: Caller = self.fleet()?.caller(at, KITA_KEY)?;
        let body = json!({"booking": booking, "takes_ms": takes.as_millis() as u64});
        let req = caller.post("/services/booking/confirm").header("idempotency-key", booking);
        let req = req.json(&body);
        self.start_request(id, 0, false, "", move || read_json(req.send()?));
        Ok(())
    }

    /// Sends a request on its own thread.
    fn start_request(
        &mut self,
        id: &str,
        tokens: u32,
        stream: bool,
        model: &str,
        call: impl FnOnce() -> Result<Reply> + Send + 'static,
    ) {
        let started_at = Instant::now();
        let thread = thread::spawn(move || call().map(|reply| (reply, started_at.elapsed())));
        let pending =
            PendingRequest { started_at, tokens, stream, model: model.to_owned(), thread };
        self.pending.insert(id.to_owned(), pending);
    }

    /// Waits for a request to end and checks its response.
    fn check_request(
        &mut self,
        id: &str,
        expected: &Expected,
        within: Option<Duration>,
    ) -> Result<()> {
        let pending =
            self.pending.remove(id).ok_or_else(|| eyre!("no pending request has the id {id}"))?;
        let PendingRequest { started_at, tokens, stream, model, thread } = pending;
        let joined = thread.join().map_err(|_| eyre!("the thread of the request panicked"))?;
        let (reply, took) =
            joined.wrap_err_with(|| format!("failed after {:?}", started_at.elapsed()))?;
        match expected {
            Expected::Whole => check_complete(&reply, tokens, stream, &model)
                .wrap_err_with(|| format!("failed after {took:?}"))?,
            Expected::Cut => ensure!(
                stream && reply.status == 200 && !reply.complete && !reply.body.is_null(),
                "the stream did not end with an error event: {reply:?}"
            ),
            Expected::Refused { code, ran } => {
                ensure!(reply.code() == *code, "expected code {code}: {reply:?}");
                let matches = ran.as_deref().is_none_or(|ran| reply.ran() == ran);
                ensure!(matches, "the error reports `ran` as {}: {reply:?}", reply.ran());
            }
        }
        if let Some(within) = within {
            ensure!(took <= within, "the request took {took:?}, expected at most {within:?}");
        }
        Ok(())
    }

    /// Waits until an engine's owner differs from the owner that `note` recorded.
    fn wait_for_owner_change(&self, engine: &Name, within: Duration) -> Result<()> {
        let noted = self
            .noted_owners
            .get(engine)
            .ok_or_else(|| eyre!("no `note` step recorded the owner of {engine}"))?;
        let deadline = Instant::now() + within;
        while self.fleet()?.owner(engine)? == *noted {
            ensure!(Instant::now() < deadline, "{noted} still owns {engine} after {within:?}");
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Checks that no request starts on an engine during `time`.
    fn check_quiet(&self, engine: &Name, time: Duration) -> Result<()> {
        let engine =
            self.fleet()?.engines.get(engine).ok_or_else(|| eyre!("the engine does not exist"))?;
        let starts = || engine.log().iter().filter(|e| e.kind == EngineEventKind::Start).count();
        let before = starts();
        sleep(time);
        let after = starts();
        ensure!(after == before, "{} requests started", after - before);
        Ok(())
    }

    fn start_load(&mut self, count: u32, every: Duration, tokens: u32) -> Result<()> {
        let gateways: Vec<Name> = self.fleet()?.entry_hosts.keys().cloned().collect();
        for index in 0..count {
            let at = gateways[index as usize % gateways.len()].clone();
            self.load_count += 1;
            let id = format!("load-{}", self.load_count);
            let model = match index % LOAD_ADAPTER_COUNT {
                0 => INTAKE_ADAPTER.to_owned(),
                town => format!("kita-shigoto/town-{}@1", town % 20),
            };
            let (stream, seeded) = (index % 2 == 0, true);
            self.send_chat(&Step::Chat {
                id: id.clone(),
                at,
                model,
                tokens,
                stream,
                seeded,
                fault: None,
            })?;
            self.load_ids.push(id);
            sleep(every);
        }
        Ok(())
    }

    /// Checks in the engines' logs that no engine unloaded an adapter in use.
    fn check_engine_logs(&self) -> Result<()> {
        for (name, engine) in &self.fleet()?.engines {
            for event in engine.log() {
                let in_use = event.kind == EngineEventKind::Unload && event.running > 0;
                ensure!(!in_use, "{name} unloaded {} while requests used it", event.adapter);
            }
        }
        Ok(())
    }
}

/// Checks that a response is complete and has the right tokens of the right adapter.
fn check_complete(reply: &Reply, tokens: u32, stream: bool, model: &str) -> Result<()> {
    ensure!(reply.status == 200 && reply.complete, "the response is incomplete: {reply:?}");
    if model.is_empty() {
        return Ok(());
    }
    let text = if stream { reply.tokens.concat() } else { reply.text().to_owned() };
    let words: Vec<&str> = text.split_whitespace().collect();
    ensure!(
        words.len() == tokens as usize,
        "expected {tokens} tokens, got {}: {text}",
        words.len()
    );
    ensure!(
        words.first() == Some(&format!("[{model}]").as_str()),
        "expected a response of {model}: {text}"
    );
    for (index, word) in words.iter().enumerate().skip(1) {
        ensure!(word.ends_with(&format!(".{index}")), "token {index} is out of sequence: {word}");
    }
    Ok(())
}

fn process_name(process: Process) -> &'static str {
    match process {
        Process::Gateway => "gateway",
        Process::Dispatcher => "dispatcher",
    }
}
