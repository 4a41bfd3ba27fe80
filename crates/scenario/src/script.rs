//! The scenario language: one step a line, `#` starts a comment.
//!
//! docs/PROOFS.md describes the steps.

use std::fmt;
use std::time::Duration;

use guavaspread_model::Name;
use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::{rest, take_till};

/// Names a process of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// Its gateway.
    Gateway,
    /// Its dispatcher.
    Dispatcher,
}

/// Names an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// By its name.
    Host(Name),
    /// As the owner of an engine at that moment.
    OwnerOf(Name),
}

/// Says how a request is expected to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Its answer is whole and right.
    Whole,
    /// Its stream is cut, and says so.
    Cut,
    /// It is refused with this code, and says this about having run.
    Refused {
        /// The numbered code.
        code: u64,
        /// What it says about having run, if that matters.
        ran: Option<String>,
    },
}

/// Does or expects one thing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Adds a zone; before `start`.
    Zone {
        /// Its name.
        name: Name,
        /// Its entry hosts.
        hosts: usize,
        /// Its engines.
        engines: usize,
    },
    /// Sets the number of booking servers; before `start`.
    Bookings(usize),
    /// Sets the adapter slots of each engine; before `start`.
    Slots(usize),
    /// Sets the time between tokens; before `start`.
    TokenTime(Duration),
    /// Has engines refuse orders with old fencing numbers; before `start`.
    CheckFences,
    /// Starts everything and declares the sample.
    Start,
    /// Runs an operator's statement, which ends with this code, 0 for success.
    Operator {
        /// At which gateway.
        at: Name,
        /// The code expected.
        code: u64,
        /// The statement.
        statement: String,
    },
    /// Starts a chat completion.
    Chat {
        /// What the scenario calls it.
        id: String,
        /// At which gateway.
        at: Name,
        /// The adapter.
        model: String,
        /// How many tokens it asks for.
        tokens: u32,
        /// Whether it is a stream.
        stream: bool,
        /// Whether another run generates the same answer.
        seeded: bool,
        /// What the engine is told to do wrong.
        fault: Option<String>,
    },
    /// Starts a booking confirmation.
    Confirm {
        /// What the scenario calls it.
        id: String,
        /// At which gateway.
        at: Name,
        /// The booking, which is also its idempotency key.
        booking: String,
        /// How long the server takes.
        takes: Duration,
    },
    /// Waits for a request and checks how it ends.
    Expect {
        /// What the scenario calls it.
        id: String,
        /// How it ends.
        expected: Expected,
        /// The longest time since it started.
        within: Option<Duration>,
    },
    /// Kills a process.
    Kill(Process, Target),
    /// Asks a process to stop in order.
    Stop(Process, Target),
    /// Waits until a process that was asked to stop has ended well.
    Ended(Process, Target, Duration),
    /// Freezes a process.
    Freeze(Process, Target),
    /// Lets a frozen process go on.
    Thaw(Process, Target),
    /// Starts a process again.
    Run(Process, Target),
    /// Remembers a host under the name of `owner of` an engine for `Run` and `Thaw`.
    Note(Name),
    /// Crashes an engine.
    Crash(Name),
    /// Changes a host's state in the platform's list.
    List(Name, String),
    /// Cuts a zone off from the platform.
    CutPlatform(Name),
    /// Cuts two zones off from each other.
    CutZones(Name, Name),
    /// Ends every cut.
    Heal,
    /// Takes the table down or up.
    Platform(bool),
    /// Loses the answers of the next commits.
    LoseAnswers(u32),
    /// Has weight loads fail, or not.
    Weights(bool),
    /// Has weight loads take this many times as long.
    SlowWeights(u32),
    /// Does nothing for a while.
    Wait(Duration),
    /// Waits until another host owns an engine.
    OwnerChanges(Name, Duration),
    /// Checks how often a booking was confirmed.
    Confirmed(String, u32),
    /// Checks that no request starts on an engine for a while.
    Quiet(Name, Duration),
    /// Starts chats at every gateway in turn, one each interval, and expects each to be whole.
    Load {
        /// How many.
        count: u32,
        /// The time between two.
        every: Duration,
        /// The tokens of each.
        tokens: u32,
    },
    /// Waits for the chats that `Load` started and checks them.
    Loaded,
}

/// Holds the steps of a scenario with the lines that they stand on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    /// The steps.
    pub steps: Vec<(usize, Step)>,
}

/// Represents a line that does not parse.
#[derive(Debug)]
pub struct Error {
    line: usize,
    text: String,
    offset: usize,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = self.text[self.offset..].split_whitespace().next().unwrap_or("the end");
        write!(f, "line {}: `{found}` can't stand in `{}`", self.line, self.text)
    }
}

impl std::error::Error for Error {}

impl Script {
    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Fails at the first line that is not a step.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut steps = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let step = terminated(step, eof).parse(line).map_err(|e| Error {
                line: index + 1,
                text: line.to_owned(),
                offset: e.offset(),
            })?;
            steps.push((index + 1, step));
        }
        Ok(Script { steps })
    }
}

fn word<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    terminated(take_till(1.., char::is_whitespace), multispace0).parse_next(input)
}

fn key<'a>(text: &'static str) -> impl ModalParser<&'a str, (), winnow::error::ContextError> {
    word.verify(move |found: &str| found == text).void()
}

fn name(input: &mut &str) -> ModalResult<Name> {
    word.verify_map(|text| Name::new(text).ok()).parse_next(input)
}

fn text(input: &mut &str) -> ModalResult<String> {
    word.map(str::to_owned).parse_next(input)
}

fn number<T: std::str::FromStr>(input: &mut &str) -> ModalResult<T> {
    word.verify_map(|text| text.parse().ok()).parse_next(input)
}

fn duration(input: &mut &str) -> ModalResult<Duration> {
    let unit = alt(("ms".value(1_u64), "s".value(1_000)));
    let duration = (digit1.parse_to::<u64>(), unit, multispace0);
    duration.map(|(count, unit, _)| Duration::from_millis(count * unit)).parse_next(input)
}

fn process(input: &mut &str) -> ModalResult<Process> {
    let gateway = key("gateway").value(Process::Gateway);
    alt((gateway, key("dispatcher").value(Process::Dispatcher))).parse_next(input)
}

fn target(input: &mut &str) -> ModalResult<Target> {
    let owner = preceded((key("owner"), key("of")), name).map(Target::OwnerOf);
    preceded(key("at"), alt((owner, name.map(Target::Host)))).parse_next(input)
}

fn step(input: &mut &str) -> ModalResult<Step> {
    alt((setup, request, expectation, processes, surroundings)).parse_next(input)
}

fn setup(input: &mut &str) -> ModalResult<Step> {
    let zone = (
        preceded(key("zone"), name),
        preceded(key("hosts"), number),
        preceded(key("engines"), number),
    );
    alt((
        zone.map(|(name, hosts, engines)| Step::Zone { name, hosts, engines }),
        preceded(key("bookings"), number).map(Step::Bookings),
        preceded(key("slots"), number).map(Step::Slots),
        preceded(key("token-time"), duration).map(Step::TokenTime),
        key("check-fences").value(Step::CheckFences),
        key("start").value(Step::Start),
    ))
    .parse_next(input)
}

fn request(input: &mut &str) -> ModalResult<Step> {
    alt((operator, chat, confirm, load)).parse_next(input)
}

fn operator(input: &mut &str) -> ModalResult<Step> {
    let at = preceded((key("operator"), key("at")), name).parse_next(input)?;
    let code = opt(preceded(key("refused"), number)).parse_next(input)?.unwrap_or(0);
    let statement = preceded(key(":"), rest).parse_next(input)?.trim().to_owned();
    Ok(Step::Operator { at, code, statement })
}

fn chat(input: &mut &str) -> ModalResult<Step> {
    let id = preceded(key("chat"), text).parse_next(input)?;
    let at = preceded(key("at"), name).parse_next(input)?;
    let model = preceded(key("model"), text).parse_next(input)?;
    let tokens = preceded(key("tokens"), number).parse_next(input)?;
    let stream = opt(key("stream")).parse_next(input)?.is_some();
    let seeded = opt(key("seeded")).parse_next(input)?.is_some();
    let fault = opt(preceded(key("fault"), text)).parse_next(input)?;
    Ok(Step::Chat { id, at, model, tokens, stream, seeded, fault })
}

fn confirm(input: &mut &str) -> ModalResult<Step> {
    let id = preceded(key("confirm"), text).parse_next(input)?;
    let at = preceded(key("at"), name).parse_next(input)?;
    let booking = preceded(key("booking"), text).parse_next(input)?;
    let takes = opt(preceded(key("takes"), duration)).parse_next(input)?.unwrap_or_default();
    Ok(Step::Confirm { id, at, booking, takes })
}

fn load(input: &mut &str) -> ModalResult<Step> {
    let count = preceded(key("load"), number).parse_next(input)?;
    let every = preceded(key("every"), duration).parse_next(input)?;
    let tokens = preceded(key("tokens"), number).parse_next(input)?;
    Ok(Step::Load { count, every, tokens })
}

fn expectation(input: &mut &str) -> ModalResult<Step> {
    let refused = (preceded(key("refused"), number), opt(preceded(key("ran"), text)));
    let expected = alt((
        key("whole").value(Expected::Whole),
        key("cut").value(Expected::Cut),
        refused.map(|(code, ran)| Expected::Refused { code, ran }),
    ));
    let within = opt(preceded(key("within"), duration));
    let expect = (preceded(key("expect"), text), expected, within);
    let owner = (preceded((key("owner"), key("of")), name), preceded(key("changes"), within_time));
    alt((
        expect.map(|(id, expected, within)| Step::Expect { id, expected, within }),
        owner.map(|(engine, within)| Step::OwnerChanges(engine, within)),
        (preceded(key("confirmed"), text), preceded(key("times"), number))
            .map(|(booking, times)| Step::Confirmed(booking, times)),
        (preceded(key("quiet"), name), preceded(key("for"), duration))
            .map(|(engine, time)| Step::Quiet(engine, time)),
        key("loaded").value(Step::Loaded),
    ))
    .parse_next(input)
}

fn within_time(input: &mut &str) -> ModalResult<Duration> {
    preceded(key("within"), duration).parse_next(input)
}

fn processes(input: &mut &str) -> ModalResult<Step> {
    alt((
        preceded(key("kill"), (process, target)).map(|(p, t)| Step::Kill(p, t)),
        preceded(key("stop"), (process, target)).map(|(p, t)| Step::Stop(p, t)),
        preceded(key("ended"), (process, target, within_time))
            .map(|(p, t, w)| Step::Ended(p, t, w)),
        preceded(key("freeze"), (process, target)).map(|(p, t)| Step::Freeze(p, t)),
        preceded(key("thaw"), (process, target)).map(|(p, t)| Step::Thaw(p, t)),
        preceded(key("run"), (process, target)).map(|(p, t)| Step::Run(p, t)),
        preceded((key("note"), key("owner"), key("of")), name).map(Step::Note),
    ))
    .parse_next(input)
}

fn surroundings(input: &mut &str) -> ModalResult<Step> {
    let platform = preceded(
        key("platform"),
        alt((
            key("down").value(Step::Platform(false)),
            key("up").value(Step::Platform(true)),
            preceded(key("loses"), number).map(Step::LoseAnswers),
        )),
    );
    let weights = preceded(
        key("weights"),
        alt((
            key("fail").value(Step::Weights(false)),
            key("arrive").value(Step::Weights(true)),
            preceded(key("slow"), number).map(Step::SlowWeights),
        )),
    );
    let cut = (preceded(key("cut"), name), preceded(key("from"), name));
    alt((
        preceded(key("crash"), name).map(Step::Crash),
        (preceded(key("list"), name), text).map(|(host, state)| Step::List(host, state)),
        preceded(key("cut"), terminated(name, (key("from"), key("platform"))))
            .map(Step::CutPlatform),
        cut.map(|(a, b)| Step::CutZones(a, b)),
        key("heal").value(Step::Heal),
        platform,
        weights,
        preceded(key("wait"), duration).map(Step::Wait),
    ))
    .parse_next(input)
}
