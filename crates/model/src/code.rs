//! Numbered result codes, the same for callers, operators and logs.
//!
//! docs/CODES.md holds the table; a test keeps it in step with this module.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $title:literal;)*) => {
        /// Numbers an outcome other than success.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// Lists every code in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the HTTP status that carries the code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the one-line meaning.
            pub fn title(self) -> &'static str {
                match self { $(Code::$name => $title,)* }
            }
        }
    };
}

codes! {
    /// The request is not what the API describes.
    MalformedRequest = 1001, 400, "the request is malformed";
    /// The `model` field names no version.
    VersionMissing = 1002, 400, "the model names no version";
    /// A request that is not repeatable carries no `Idempotency-Key`.
    IdempotencyKeyMissing = 1003, 400, "a request that is not repeatable needs an Idempotency-Key";
    /// The body exceeds the limit.
    BodyTooLarge = 1004, 413, "the body exceeds the limit";
    /// The caller took too long to send the request.
    RequestTimeout = 1005, 408, "the request arrived too slowly";
    /// No key, or one that no organisation has.
    BadKey = 1101, 401, "the key is missing or unknown";
    /// The key belongs to another organisation.
    OtherOrganisation = 1102, 403, "the key belongs to another organisation";
    /// The key is not an operator's.
    NotOperator = 1103, 403, "the key is not an operator's";
    /// No such adapter or version.
    UnknownAdapter = 1201, 404, "the adapter or version is not registered";
    /// No such organisation.
    UnknownOrganisation = 1202, 404, "the organisation does not exist";
    /// No such request class.
    UnknownClass = 1203, 404, "the request class does not exist";
    /// No such service or path.
    UnknownService = 1204, 404, "the service or path does not exist";
    /// No such host.
    UnknownHost = 1205, 404, "the host does not exist";
    /// The queue is full.
    Overloaded = 1301, 429, "the queue is full";
    /// The request can't be answered before its deadline.
    DeadlineUnreachable = 1302, 503, "the deadline can't be met";
    /// No backend server can take the request.
    NoBackend = 1303, 503, "no backend server can take the request";
    /// The dispatcher asked does not own the engine.
    NotOwner = 1304, 503, "the dispatcher does not own the engine";
    /// The adapter could not be loaded.
    LoadFailed = 1305, 503, "the adapter could not be loaded";
    /// The platform's table does not answer.
    TableUnavailable = 1306, 503, "the platform's table does not answer";
    /// The process is stopping.
    Stopping = 1307, 503, "the process is stopping";
    /// The configuration is not known or not decided here.
    ConfigInDoubt = 1308, 503, "the configuration is in doubt here";
    /// The retry budget is spent.
    RetryBudgetSpent = 1309, 503, "the retry budget is spent";
    /// Backend servers ended under this content, which is held back for a time.
    ContentHeld = 1310, 503, "backend servers ended under this content; it is held back";
    /// The backend server ended the answer early.
    Cut = 1401, 502, "the answer was cut short";
    /// The backend server failed.
    BackendFailed = 1402, 502, "the backend server failed";
    /// The request passed its deadline while it ran.
    DeadlinePassed = 1403, 504, "the deadline passed while the request ran";
    /// The content crashed backend servers and is not run again.
    Quarantined = 1404, 422, "this content crashed backend servers and is not run again";
    /// The backend server crashed while it ran the request.
    BackendCrashed = 1405, 502, "the backend server crashed while it ran the request";
    /// An earlier run of the request may have happened and its outcome is unknown.
    OutcomeUnknown = 1501, 409, "an earlier run may have happened; its outcome is unknown";
    /// The same key came with another request.
    KeyReused = 1502, 422, "the Idempotency-Key was used for another request";
    /// The same request is running.
    StillRunning = 1503, 409, "the same request is still running";
    /// Something by this name exists.
    AlreadyExists = 1601, 409, "it exists already";
    /// Another change was accepted first.
    ChangeConflict = 1602, 409, "another change was accepted first";
    /// Not every availability zone confirmed the change.
    ChangeNotConfirmed = 1603, 503, "not every availability zone confirmed the change";
    /// The change was sent and its outcome could not be read back.
    ChangeInDoubt = 1604, 503, "the outcome of the change could not be read back";
    /// The statement does not parse.
    BadStatement = 1605, 400, "the statement does not parse";
    /// The settings are wrong.
    BadSettings = 1701, 500, "the settings are wrong";
    /// The engine refused an order that carried an old fencing number.
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

/// Tells whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It did not run and will not.
    No,
    /// It may have run.
    Maybe,
    /// It ran.
    Yes,
}

/// Carries the final answer to a request that got no result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Refusal {
    /// The numbered reason.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// One sentence about this case.
    pub detail: String,
    /// When to come back, in milliseconds from now.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Refuses a request that did not run.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Refusal { code, ran: Ran::No, detail: detail.into(), retry_after_ms: None }
    }

    /// Gives up a request that may have run.
    pub fn maybe_ran(code: Code, detail: impl Into<String>) -> Self {
        Refusal { code, ran: Ran::Maybe, detail: detail.into(), retry_after_ms: None }
    }

    /// Adds when to come back, in milliseconds.
    pub fn retry_after_ms(mut self, ms: u32) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code, self.code.title(), self.detail)
    }
}
