//! Numbered result codes, the same for callers, operators and logs.
//!
//! docs/CODES.md lists the codes; a test checks that the list matches this module.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $title:literal;)*) => {
        /// The numbered reason why a request got no successful response.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the HTTP status of responses with this code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the meaning of the code in one line.
            pub fn title(self) -> &'static str {
                match self { $(Code::$name => $title,)* }
            }
        }
    };
}

codes! {
    /// The request does not conform to the API.
    MalformedRequest = 1001, 400, "the request is malformed";
    /// The `model` field does not name a version.
    VersionMissing = 1002, 400, "the model names no version";
    /// A request that is not repeatable has no `Idempotency-Key` header.
    IdempotencyKeyMissing = 1003, 400, "a request that is not repeatable needs an Idempotency-Key";
    /// The body exceeds the limit.
    BodyTooLarge = 1004, 413, "the body exceeds the limit";
    /// The caller did not send the whole request in time.
    RequestTimeout = 1005, 408, "the request arrived too slowly";
    /// The header section exceeds the limit.
    HeadTooLarge = 1006, 431, "the header section exceeds the limit";
    /// The request has no bearer key, or the key is unknown.
    BadKey = 1101, 401, "the key is missing or unknown";
    /// The key belongs to another organisation.
    OtherOrganisation = 1102, 403, "the key belongs to another organisation";
    /// The key does not belong to an operator.
    NotOperator = 1103, 403, "the key is not an operator's";
    /// The adapter or version is not registered.
    UnknownAdapter = 1201, 404, "the adapter or version is not registered";
    /// The organisation does not exist.
    UnknownOrganisation = 1202, 404, "the organisation does not exist";
    /// The request class does not exist.
    UnknownClass = 1203, 404, "the request class does not exist";
    /// The service or path does not exist.
    UnknownService = 1204, 404, "the service or path does not exist";
    /// The host does not exist.
    UnknownHost = 1205, 404, "the host does not exist";
    /// The queue is full.
    Overloaded = 1301, 429, "the queue is full";
    /// The request can't complete before its deadline.
    DeadlineUnreachable = 1302, 503, "the deadline can't be met";
    /// No backend server is available for the request.
    NoBackend = 1303, 503, "no backend server can take the request";
    /// The dispatcher that received the request does not own the engine.
    NotOwner = 1304, 503, "the dispatcher does not own the engine";
    /// The adapter could not be loaded.
    LoadFailed = 1305, 503, "the adapter could not be loaded";
    /// The platform's table does not respond.
    TableUnavailable = 1306, 503, "the platform's table does not answer";
    /// The process is shutting down.
    Stopping = 1307, 503, "the process is stopping";
    /// The host has no configuration, or does not know whether a change took effect.
    ConfigInDoubt = 1308, 503, "the configuration is in doubt here";
    /// The retry budget is exhausted.
    RetryBudgetSpent = 1309, 503, "the retry budget is spent";
    /// Backend servers ended while they ran this content; requests with it are refused for a time.
    ContentHeld = 1310, 503, "backend servers ended under this content; it is held back";
    /// Backend servers crashed under a part of the prompt; requests with it are refused for a time.
    PromptPartHeld = 1311, 503, "backend servers ended under a part of the prompt; it is held back";
    /// No backend server runs the software version that began the stream.
    StreamVersionGone = 1312, 503, "no backend server has the version that began the stream";
    /// Nobody can tell which software version began the stream.
    StreamVersionUnknown = 1313, 503, "the version that began the stream is not known";
    /// The entry host that loads adapters on the engine does not respond or does not reach it, and no
    /// other one may yet.
    OwnerLost = 1314, 503, "no entry host may load the adapter on its engine yet";
    /// The organisation sent more than its quota.
    OverQuota = 1315, 429, "the organisation is beyond its quota";
    /// The bodies of other requests take the memory that the host has for them.
    BodiesFull = 1316, 503, "the host has no memory for the body now";
    /// The backend server ended the response before it was complete.
    Cut = 1401, 502, "the answer was cut short";
    /// The backend server failed.
    BackendFailed = 1402, 502, "the backend server failed";
    /// The deadline expired while the request ran.
    DeadlinePassed = 1403, 504, "the deadline passed while the request ran";
    /// The content crashed backend servers and is quarantined.
    Quarantined = 1404, 422, "this content crashed backend servers and is not run again";
    /// The backend server crashed while it ran the request.
    BackendCrashed = 1405, 502, "the backend server crashed while it ran the request";
    /// An earlier attempt may have run; its outcome is unknown.
    OutcomeUnknown = 1501, 409, "an earlier run may have happened; its outcome is unknown";
    /// The `Idempotency-Key` was used for another request.
    KeyReused = 1502, 422, "the Idempotency-Key was used for another request";
    /// Another attempt of the same request is running.
    StillRunning = 1503, 409, "the same request is still running";
    /// An object with this name already exists.
    AlreadyExists = 1601, 409, "it exists already";
    /// Another change was committed first.
    ChangeConflict = 1602, 409, "another change was accepted first";
    /// Not every availability zone acknowledged the change.
    ChangeNotConfirmed = 1603, 503, "not every availability zone confirmed the change";
    /// The change was sent, but its outcome could not be read.
    ChangeInDoubt = 1604, 503, "the outcome of the change could not be read back";
    /// The statement does not parse.
    BadStatement = 1605, 400, "the statement does not parse";
    /// An entry of the configuration is not used.
    EntryUnused = 1606, 400, "an entry of the configuration is not used";
    /// The settings are invalid.
    BadSettings = 1701, 500, "the settings are wrong";
    /// The engine rejected a command with an old fencing number.
    StaleFence = 1801, 409, "the order carried an old fencing number";
}

impl Code {
    /// Returns the number.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}

/// Whether a refused request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The request did not run and will not run.
    No,
    /// The request may have run.
    Maybe,
    /// The request ran.
    Yes,
}

/// The final response to a request that did not complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Refusal {
    /// The numbered reason.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// A one-sentence explanation of this case.
    pub detail: String,
    /// When the caller should retry, in milliseconds from now.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Refusal { code, ran: Ran::No, detail: detail.into(), retry_after_ms: None }
    }

    /// Creates the refusal of a request that may have run.
    pub fn maybe_ran(code: Code, detail: impl Into<String>) -> Self {
        Refusal { code, ran: Ran::Maybe, detail: detail.into(), retry_after_ms: None }
    }

    /// Sets when the caller should retry, in milliseconds from now.
    pub fn with_retry_after_ms(mut self, ms: u32) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code, self.code.title(), self.detail)
    }
}
