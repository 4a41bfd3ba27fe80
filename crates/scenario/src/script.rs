//! Parser of the scenario language: each line is a step, and `#` starts a comment.
//!
//! docs/PROOFS.md describes the steps.

use std::fmt;
use std::time::Duration;

use guavaspread_model::Name;
use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::{rest, take_till};

/// Process of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// The gateway.
    Gateway,
    /// The dispatcher.
    Dispatcher,
}

/// Entry host that a step applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The host of this name.
    Host(Name),
    /// The owner of this engine that a `note` step recorded, or else the current owner.
    OwnerOf(Name),
}

/// Expected result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The response is complete and correct.
    Whole,
    /// The stream ends early with an error event.
    Cut,
    /// The request is rejected.
    Refused {
        /// Error code.
        code: u64,
        /// Value of `ran` in the error body; any value if missing.
        ran: Option<String>,
    },
}

/// One action or check of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Adds an availability zone; precedes `start`.
    Zone {
        /// Name of the zone.
        name: Name,
        /// Number of entry hosts.
        hosts: usize,
        /// Number of engines.
        engines: usize,
    },
    /// Sets the number of booking servers; precedes `start`.
    Bookings(usize),
    /// Sets the number of adapter slots of each engine; precedes `start`.
    Slots(usize),
    /// Sets the time between tokens; precedes `start`.
    TokenTime(Duration),
    /// Makes engines reject commands with old fencing numbers; precedes `start`.
    CheckFences,
    /// Starts the deployment and declares the sample configuration.
    Start,
    /// Runs an operator's statement and checks its result.
    Operator {
        /// Entry host of the gateway.
        at: Name,
        /// Expected error code; 0 for success.
        code: u64,
        /// Statement in the query language.
        statement: String,
    },
    /// Sends a chat completion request.
    Chat {
        /// Id of the request within the scenario.
        id: String,
        /// Entry host of the gateway.
        at: Name,
        /// Adapter version.
        model: String,
        /// Number of tokens requested.
        tokens: u32,
        /// Whether the response is streamed.
        stream: bool,
        /// Whether the request has a seed, with which a second run generates the same response.
        seeded: bool,
        /// Fault that the engine injects.
        fault: Option<String>,
    },
    /// Sends a booking confirmation request.
    Confirm {
        /// Id of the request within the scenario.
        id: String,
        /// Entry host of the gateway.
        at: Name,
        /// Booking, which is also the idempotency key.
        booking: String,
        /// Time that the booking server takes.
        takes: Duration,
    },
    /// Waits for a request to end and checks the result.
    Expect {
        /// Id of the request within the scenario.
        id: String,
        /// Expected result.
        expected: Expected,
        /// Maximum time since the request was sent.
        within: Option<Duration>,
    },
    /// Kills a process with `SIGKILL`.
    Kill(Process, Target),
    /// Requests the graceful shutdown of a process with `SIGTERM`.
    Stop(Process, Target),
    /// Waits until a process has exited with status 0.
    Ended(Process, Target, Duration),
    /// Suspends a process with `SIGSTOP`.
    Freeze(Process, Target),
    /// Resumes a suspended process with `SIGCONT`.
    Thaw(Process, Target),
    /// Starts a process of an entry host.
    Run(Process, Target),
    /// Records the owner of an engine; later steps with `owner of` use the recorded host.
    Note(Name),
    /// Crashes an engine, which restarts without adapters.
    Crash(Name),
    /// Sets a host's state in the platform's list.
    List(Name, String),
    /// Partitions a zone from the platform.
    CutPlatform(Name),
    /// Partitions two zones from each other.
    CutZones(Name, Name),
    /// Ends every partition.
    Heal,
    /// Makes the table available or unavailable.
    Platform(bool),
    /// Makes the table apply this number of commits but answer them with an error.
    LoseAnswers(u32),
    /// Makes weight loads succeed or fail.
    Weights(bool),
    /// Multiplies the duration of weight loads by this factor.
    SlowWeights(u32),
    /// Waits for this duration.
    Wait(Duration),
    /// Waits until an engine has another owner than the one that a `note` step recorded.
    OwnerChanges(Name, Duration),
    /// Checks the number of times that a booking was confirmed.
    Confirmed(String, u32),
    /// Checks that no request starts on an engine during this time.
    Quiet(Name, Duration),
    /// Sends chat completion requests to the gateways in turn, one each interval.
    Load {
        /// Number of requests.
        count: u32,
        /// Time between two requests.
        every: Duration,
        /// Number of tokens of each request.
        tokens: u32,
    },
    /// Waits for the requests that `Load` sent and checks that each response is complete.
    Loaded,
}

/// Parsed scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    /// Steps with their line numbers.
    pub steps: Vec<(usize, Step)>,
}

/// Error of a line that is not a valid step.
#[derive(Debug)]
pub struct Error {
    line: usize,
    text: String,
    offset: usize,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = self.text[self.offset..].split_whitespace().next().unwrap_or("the end");
        write!(f, "line {}: `{found}` is unexpected in `{}`", self.line, self.text)
    }
}

impl std::error::Error for Error {}

impl Script {
    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first line that is not a valid step.
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

fn keyword<'a>(text: &'static str) -> impl ModalParser<&'a str, (), winnow::error::ContextError> {
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
    let gateway = keyword("gateway").value(Process::Gateway);
    alt((gateway, keyword("dispatcher").value(Process::Dispatcher))).parse_next(input)
}

fn target(input: &mut &str) -> ModalResult<Target> {
    let owner = preceded((keyword("owner"), keyword("of")), name).map(Target::OwnerOf);
    preceded(keyword("at"), alt((owner, name.map(Target::Host)))).parse_next(input)
}

fn step(input: &mut &str) -> ModalResult<Step> {
    alt((setup, request, expectation, process_step, environment)).parse_next(input)
}

fn setup(input: &mut &str) -> ModalResult<Step> {
    let zone = (
        preceded(keyword("zone"), name),
        preceded(keyword("hosts"), number),
        preceded(keyword("engines"), number),
    );
    alt((
        zone.map(|(name, hosts, engines)| Step::Zone { name, hosts, engines }),
        preceded(keyword("bookings"), number).map(Step::Bookings),
        preceded(keyword("slots"), number).map(Step::Slots),
        preceded(keyword("token-time"), duration).map(Step::TokenTime),
        keyword("check-fences").value(Step::CheckFences),
        keyword("start").value(Step::Start),
    ))
    .parse_next(input)
}

fn request(input: &mut &str) -> ModalResult<Step> {
    alt((operator, chat, confirm, load)).parse_next(input)
}

fn operator(input: &mut &str) -> ModalResult<Step> {
    let at = preceded((keyword("operator"), keyword("at")), name).parse_next(input)?;
    let code = opt(preceded(keyword("refused"), number)).parse_next(input)?.unwrap_or(0);
    let statement = preceded(keyword(":"), rest).parse_next(input)?.trim().to_owned();
    Ok(Step::Operator { at, code, statement })
}

fn chat(input: &mut &str) -> ModalResult<Step> {
    let id = preceded(keyword("chat"), text).parse_next(input)?;
    let at = preceded(keyword("at"), name).parse_next(input)?;
    let model = preceded(keyword("model"), text).parse_next(input)?;
    let tokens = preceded(keyword("tokens"), number).parse_next(input)?;
    let stream = opt(keyword("stream")).parse_next(input)?.is_some();
    let seeded = opt(keyword("seeded")).parse_next(input)?.is_some();
    let fault = opt(preceded(keyword("fault"), text)).parse_next(input)?;
    Ok(Step::Chat { id, at, model, tokens, stream, seeded, fault })
}

fn confirm(input: &mut &str) -> ModalResult<Step> {
    let id = preceded(keyword("confirm"), text).parse_next(input)?;
    let at = preceded(keyword("at"), name).parse_next(input)?;
    let booking = preceded(keyword("booking"), text).parse_next(input)?;
    let takes = opt(preceded(keyword("takes"), duration)).parse_next(input)?.unwrap_or_default();
    Ok(Step::Confirm { id, at, booking, takes })
}

fn load(input: &mut &str) -> ModalResult<Step> {
    let count = preceded(keyword("load"), number).parse_next(input)?;
    let every = preceded(keyword("every"), duration).parse_next(input)?;
    let tokens = preceded(keyword("tokens"), number).parse_next(input)?;
    Ok(Step::Load { count, every, tokens })
}

fn expectation(input: &mut &str) -> ModalResult<Step> {
    let refused = (preceded(keyword("refused"), number), opt(preceded(keyword("ran"), text)));
    let expected = alt((
        keyword("whole").value(Expected::Whole),
        keyword("cut").value(Expected::Cut),
        refused.map(|(code, ran)| Expected::Refused { code, ran }),
    ));
    let within = opt(preceded(keyword("within"), duration));
    let expect = (preceded(keyword("expect"), text), expected, within);
    let owner = (
        preceded((keyword("owner"), keyword("of")), name),
        preceded(keyword("changes"), within_time),
    );
    alt((
        expect.map(|(id, expected, within)| Step::Expect { id, expected, within }),
        owner.map(|(engine, within)| Step::OwnerChanges(engine, within)),
        (preceded(keyword("confirmed"), text), preceded(keyword("times"), number))
            .map(|(booking, times)| Step::Confirmed(booking, times)),
        (preceded(keyword("quiet"), name), preceded(keyword("for"), duration))
            .map(|(engine, time)| Step::Quiet(engine, time)),
        keyword("loaded").value(Step::Loaded),
    ))
    .parse_next(input)
}

fn within_time(input: &mut &str) -> ModalResult<Duration> {
    preceded(keyword("within"), duration).parse_next(input)
}

fn process_step(input: &mut &str) -> ModalResult<Step> {
    alt((
        preceded(keyword("kill"), (process, target)).map(|(p, t)| Step::Kill(p, t)),
        preceded(keyword("stop"), (process, target)).map(|(p, t)| Step::Stop(p, t)),
        preceded(keyword("ended"), (process, target, within_time))
            .map(|(p, t, w)| Step::Ended(p, t, w)),
        preceded(keyword("freeze"), (process, target)).map(|(p, t)| Step::Freeze(p, t)),
        preceded(keyword("thaw"), (process, target)).map(|(p, t)| Step::Thaw(p, t)),
        preceded(keyword("run"), (process, target)).map(|(p, t)| Step::Run(p, t)),
        preceded((keyword("note"), keyword("owner"), keyword("of")), name).map(Step::Note),
    ))
    .parse_next(input)
}

fn environment(input: &mut &str) -> ModalResult<Step> {
    let platform = preceded(
        keyword("platform"),
        alt((
            keyword("down").value(Step::Platform(false)),
            keyword("up").value(Step::Platform(true)),
            preceded(keyword("loses"), number).map(Step::LoseAnswers),
        )),
    );
    let weights = preceded(
        keyword("weights"),
        alt((
            keyword("fail").value(Step::Weights(false)),
            keyword("arrive").value(Step::Weights(true)),
            preceded(keyword("slow"), number).map(Step::SlowWeights),
        )),
    );
    let cut = (preceded(keyword("cut"), name), preceded(keyword("from"), name));
    alt((
        preceded(keyword("crash"), name).map(Step::Crash),
        (preceded(keyword("list"), name), text).map(|(host, state)| Step::List(host, state)),
        preceded(keyword("cut"), terminated(name, (keyword("from"), keyword("platform"))))
            .map(Step::CutPlatform),
        cut.map(|(a, b)| Step::CutZones(a, b)),
        keyword("heal").value(Step::Heal),
        platform,
        weights,
        preceded(keyword("wait"), duration).map(Step::Wait),
    ))
    .parse_next(input)
}
