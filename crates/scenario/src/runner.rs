//! Running a scenario against real processes.

use std::collections::BTreeMap;
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use eyre::{Context, Result, bail, ensure, eyre};
use guavaspread_model::{HostState, Name};
use guavaspread_standins::{EngineEventKind, EngineSpec, Faults};
use serde_json::json;

use crate::caller::{Caller, Reply, plain, read_stream};
use crate::fleet::{Fleet, FleetSpec, ZoneSpec};
use crate::sample::{INTAKE, KITA_KEY, declare};
use crate::script::{Expected, Process, Script, Step, Target};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CHATS_OF_LOAD: u32 = 20;

struct Pending {
    started: Instant,
    tokens: u32,
    stream: bool,
    model: String,
    thread: JoinHandle<Result<(Reply, Duration)>>,
}

struct Runner {
    spec: FleetSpec,
    fleet: Option<Fleet>,
    pending: BTreeMap<String, Pending>,
    noted: BTreeMap<Name, Name>,
    load: Vec<String>,
    loads: u32,
    faults: Faults,
}

/// Runs every step, then checks that no engine unloaded an adapter in use.
///
/// # Errors
///
/// Fails at the first step that does not hold, and names its line.
pub fn run(script: &Script) -> Result<()> {
    let spec = FleetSpec { zones: Vec::new(), ..FleetSpec::default() };
    let mut runner = Runner {
        spec,
        fleet: None,
        pending: BTreeMap::new(),
        noted: BTreeMap::new(),
        load: Vec::new(),
        loads: 0,
        faults: Faults::default(),
    };
    for (line, step) in &script.steps {
        runner.step(step).wrap_err_with(|| format!("line {line}: {step:?}"))?;
    }
    runner.judge()
}

impl Runner {
    fn step(&mut self, step: &Step) -> Result<()> {
        match step {
            Step::Zone { .. }
            | Step::Bookings(_)
            | Step::Slots(_)
            | Step::TokenTime(_)
            | Step::CheckFences => self.set_up(step),
            Step::Start => {
                let fleet = Fleet::start(&self.spec)?;
                declare(&fleet)?;
                self.fleet = Some(fleet);
                Ok(())
            }
            Step::Operator { at, code, statement } => self.operate(at, *code, statement),
            Step::Chat { .. } => self.chat(step),
            Step::Confirm { id, at, booking, takes } => self.confirm(id, at, booking, *takes),
            Step::Expect { id, expected, within } => self.expect(id, expected, *within),
            Step::Kill(process, target) => {
                let host = self.host(target)?;
                self.fleet_mut()?.kill(&host, process_name(*process))
            }
            Step::Stop(process, target) => self.signal(*process, target, "TERM"),
            Step::Ended(process, target, within) => {
                let host = self.host(target)?;
                let ended = self.fleet_mut()?.wait_end(&host, process_name(*process), *within)?;
                ensure!(ended, "it did not end well");
                Ok(())
            }
            Step::Freeze(process, target) => self.signal(*process, target, "STOP"),
            Step::Thaw(process, target) => self.signal(*process, target, "CONT"),
            Step::Run(process, target) => {
                let host = self.host(target)?;
                self.fleet_mut()?.start_process(&host, process_name(*process))
            }
            Step::Note(engine) => {
                let owner = self.fleet()?.owner(engine)?;
                self.noted.insert(engine.clone(), owner);
                Ok(())
            }
            Step::Crash(engine) => {
                let fleet = self.fleet()?;
                let engine = fleet.engines.get(engine);
                engine.ok_or_else(|| eyre!("no such engine"))?.crash();
                Ok(())
            }
            Step::List(host, state) => self.list(host, state),
            Step::CutPlatform(zone) => {
                self.fleet()?.cuts.cut_platform(zone);
                Ok(())
            }
            Step::CutZones(a, b) => {
                self.fleet()?.cuts.cut_zones(a, b);
                Ok(())
            }
            Step::Heal => {
                self.fleet()?.cuts.heal();
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
            Step::OwnerChanges(engine, within) => self.owner_changes(engine, *within),
            Step::Confirmed(booking, times) => {
                let found = self.fleet()?.booking.confirmations(booking);
                ensure!(found == *times, "it was confirmed {found} times");
                Ok(())
            }
            Step::Quiet(engine, time) => self.quiet(engine, *time),
            Step::Load { count, every, tokens } => self.load(*count, *every, *tokens),
            Step::Loaded => {
                for id in std::mem::take(&mut self.load) {
                    self.expect(&id, &Expected::Whole, None).wrap_err_with(|| id.clone())?;
                }
                Ok(())
            }
        }
    }

    fn set_up(&mut self, step: &Step) -> Result<()> {
        ensure!(self.fleet.is_none(), "this belongs before `start`");
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
            other => bail!("{other:?} does not set anything up"),
        }
        Ok(())
    }

    fn fleet(&self) -> Result<&Fleet> {
        self.fleet.as_ref().ok_or_else(|| eyre!("nothing is started"))
    }

    fn fleet_mut(&mut self) -> Result<&mut Fleet> {
        self.fleet.as_mut().ok_or_else(|| eyre!("nothing is started"))
    }

    /// Finds a host; a noted owner goes before the present one.
    fn host(&self, target: &Target) -> Result<Name> {
        match target {
            Target::Host(name) => Ok(name.clone()),
            Target::OwnerOf(engine) => match self.noted.get(engine) {
                Some(noted) => Ok(noted.clone()),
                None => self.fleet()?.owner(engine),
            },
        }
    }

    fn signal(&mut self, process: Process, target: &Target, signal: &str) -> Result<()> {
        let host = self.host(target)?;
        self.fleet_mut()?.signal(&host, process_name(process), signal)
    }

    fn set_faults(&self) -> Result<()> {
        self.fleet()?.platform.set_faults(self.faults);
        Ok(())
    }

    fn list(&mut self, host: &Name, state: &str) -> Result<()> {
        let fleet = self.fleet_mut()?;
        match state {
            "live" => fleet.set_host_state(host, HostState::Live),
            "leaving" => fleet.set_host_state(host, HostState::Leaving),
            "gone" => fleet.unlist(host),
            other => bail!("`{other}` is no state of a host"),
        }
        Ok(())
    }

    fn operate(&self, at: &Name, code: u64, statement: &str) -> Result<()> {
        let operator = self.fleet()?.operator(at)?;
        let reply = plain(operator.post("/operator/query").body(statement.to_owned()).send()?)?;
        ensure!(reply.code() == code, "{reply:?}");
        Ok(())
    }

    fn chat(&mut self, step: &Step) -> Result<()> {
        let Step::Chat { id, at, model, tokens, stream, seeded, fault } = step else {
            bail!("no chat");
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
            // The same content crashes again, whatever the scenario calls it.
            body["messages"] = json!([]);
        }
        let caller = self.fleet()?.caller(at, KITA_KEY)?;
        let req = caller.post("/v1/chat/completions").json(&body);
        let stream = *stream;
        self.begin(id, *tokens, stream, model, move || {
            let res = req.send()?;
            if stream { read_stream(res) } else { plain(res) }
        });
        Ok(())
    }

    fn confirm(&mut self, id: &str, at: &Name, booking: &str, takes: Duration) -> Result<()> {
        let caller: Caller = self.fleet()?.caller(at, KITA_KEY)?;
        let body = json!({"booking": booking, "takes_ms": takes.as_millis() as u64});
        let req = caller.post("/services/booking/confirm").header("idempotency-key", booking);
        let req = req.json(&body);
        self.begin(id, 0, false, "", move || plain(req.send()?));
        Ok(())
    }

    fn begin(
        &mut self,
        id: &str,
        tokens: u32,
        stream: bool,
        model: &str,
        call: impl FnOnce() -> Result<Reply> + Send + 'static,
    ) {
        let started = Instant::now();
        let thread = thread::spawn(move || call().map(|reply| (reply, started.elapsed())));
        let pending = Pending { started, tokens, stream, model: model.to_owned(), thread };
        self.pending.insert(id.to_owned(), pending);
    }

    fn expect(&mut self, id: &str, expected: &Expected, within: Option<Duration>) -> Result<()> {
        let pending = self.pending.remove(id).ok_or_else(|| eyre!("nothing is called {id}"))?;
        let Pending { started, tokens, stream, model, thread } = pending;
        let joined = thread.join().map_err(|_| eyre!("the caller panicked"))?;
        let (reply, took) = joined.wrap_err_with(|| format!("after {:?}", started.elapsed()))?;
        match expected {
            Expected::Whole => check_whole(&reply, tokens, stream, &model)
                .wrap_err_with(|| format!("after {took:?}"))?,
            Expected::Cut => ensure!(
                stream && reply.status == 200 && !reply.whole && !reply.body.is_null(),
                "it was not cut: {reply:?}"
            ),
            Expected::Refused { code, ran } => {
                ensure!(reply.code() == *code, "{reply:?}");
                let told = ran.as_deref().is_none_or(|ran| reply.ran() == ran);
                ensure!(told, "it says ran {}: {reply:?}", reply.ran());
            }
        }
        if let Some(within) = within {
            ensure!(took <= within, "it took {took:?}");
        }
        Ok(())
    }

    fn owner_changes(&self, engine: &Name, within: Duration) -> Result<()> {
        let noted = self.noted.get(engine).ok_or_else(|| eyre!("the owner was not noted"))?;
        let until = Instant::now() + within;
        while self.fleet()?.owner(engine)? == *noted {
            ensure!(Instant::now() < until, "{noted} still owns it");
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn quiet(&self, engine: &Name, time: Duration) -> Result<()> {
        let engine = self.fleet()?.engines.get(engine).ok_or_else(|| eyre!("no such engine"))?;
        let starts = || engine.log().iter().filter(|e| e.kind == EngineEventKind::Start).count();
        let before = starts();
        sleep(time);
        let after = starts();
        ensure!(after == before, "{} requests started", after - before);
        Ok(())
    }

    fn load(&mut self, count: u32, every: Duration, tokens: u32) -> Result<()> {
        let gateways: Vec<Name> = self.fleet()?.entry_hosts.keys().cloned().collect();
        for index in 0..count {
            let at = gateways[index as usize % gateways.len()].clone();
            self.loads += 1;
            let id = format!("load-{}", self.loads);
            let model = match index % CHATS_OF_LOAD {
                0 => INTAKE.to_owned(),
                town => format!("kita-shigoto/town-{}@1", town % 20),
            };
            let (stream, seeded) = (index % 2 == 0, true);
            self.chat(&Step::Chat {
                id: id.clone(),
                at,
                model,
                tokens,
                stream,
                seeded,
                fault: None,
            })?;
            self.load.push(id);
            sleep(every);
        }
        Ok(())
    }

    /// Judges by the engines' own logs.
    fn judge(&self) -> Result<()> {
        for (name, engine) in &self.fleet()?.engines {
            for event in engine.log() {
                let in_use = event.kind == EngineEventKind::Unload && event.running > 0;
                ensure!(!in_use, "{name} unloaded {} in use", event.adapter);
            }
        }
        Ok(())
    }
}

fn check_whole(reply: &Reply, tokens: u32, stream: bool, model: &str) -> Result<()> {
    ensure!(reply.status == 200 && reply.whole, "{reply:?}");
    if model.is_empty() {
        return Ok(());
    }
    let text = if stream { reply.tokens.concat() } else { reply.text().to_owned() };
    let words: Vec<&str> = text.split_whitespace().collect();
    ensure!(words.len() == tokens as usize, "{} tokens: {text}", words.len());
    ensure!(words.first() == Some(&format!("[{model}]").as_str()), "wrong adapter: {text}");
    for (index, word) in words.iter().enumerate().skip(1) {
        ensure!(word.ends_with(&format!(".{index}")), "token {index} is {word}");
    }
    Ok(())
}

fn process_name(process: Process) -> &'static str {
    match process {
        Process::Gateway => "gateway",
        Process::Dispatcher => "dispatcher",
    }
}
