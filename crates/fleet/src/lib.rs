//! # guavaspread fleet
//!
//! Decision logic of an entry host that forwards callers' requests directly to the backend
//! servers. The crate reads no clock and does no I/O: callers pass the current time and carry
//! out the returned actions. The daemon and the tests therefore run the same code.
//!
//! | task | types |
//! |---|---|
//! | find the route of a request | [`Catalog`], [`Route`] |
//! | track the backend servers | [`Roster`], [`Server`] |
//! | choose a server | [`Placement`], [`Pick`] |
//! | respect drain and busy notices of servers | [`Notices`], [`Standing`] |
//! | decide which orders an engine gets | [`EngineLedger`], [`Step`] |
//! | schedule the prefills of an engine | [`ReadingOrder`], [`Turn`] |
//! | acquire and renew leases on engines | [`LeaseBook`], [`LeaseNext`] |
//! | elect the watchers of a zone | [`watchers`], [`Hearsay`] |
//! | batch the lease renewals of a zone | [`RenewalGroup`] |
//! | cache which engine has which adapter loaded | [`Grants`] |
//! | attribute server crashes to requests | [`Endings`], [`Ending`] |
//! | quarantine content that crashes servers | [`Quarantine`], [`Passage`] |
//! | divide the retry budget | [`retry_budget`] |
//! | forward only complete events of a stream | [`EventCutter`] |
//! | decide whether a failed attempt may be retried | [`Attempts`], [`Verdict`] |
//!
//! All times are durations since a fixed reference moment, which is the same for all calls to a
//! value.

mod attempts;
mod backoff;
mod catalog;
mod endings;
mod events;
mod grants;
mod lease;
mod ledger;
mod notices;
mod order;
mod placement;
mod prelude;
mod quarantine;
mod reading;
mod renewals;
mod roster;
mod shares;
mod watch;

pub use attempts::{Attempts, Outcome, Verdict};
pub use backoff::Backoff;
pub use catalog::{Catalog, EngineSpec, Limits, ModelSpec, RequestClass, Route, Service, Target};
pub use endings::{AfterBreak, Break, Ending, Endings, Evidence, Probe};
pub use events::EventCutter;
pub use grants::{Grant, Grants};
pub use lease::{
    Claim, HostLease, LeaseBook, LeaseNext, LeaseTable, LeaseTimes, LeaseWrite, LeasesLast,
};
pub use ledger::EngineLedger;
pub use notices::{Notices, Said, Standing};
pub use order::{Order, OrderKind, OrderResult, Readiness, Step};
pub use placement::{LoadReport, Pick, Placement, PlacementKey};
pub use quarantine::{ContentNote, KnownContent, Passage, Quarantine, SavedContents, counters};
pub use reading::{Prompt, PromptKey, ReadingOrder, Turn};
pub use renewals::{RENEWAL_BATCH_DELAY, RenewalGroup};
pub use roster::{AdapterId, HeldAdapter, HeldModel, Roster, RosterChange, Server, ServerState};
pub use shares::{retry_budget, slack_part};
pub use watch::{Hearsay, PassedOn, followed, watchers};
