//! # guavaspread fleet
//!
//! Decides for one entry host that sends callers' requests straight to the backend
//! servers. No clock and no I/O: callers pass the time and carry out what they get
//! back, so that the daemon and the tests drive the same code.
//!
//! | to | reach for |
//! |---|---|
//! | find the route of a request | [`Catalog`], [`Route`] |
//! | follow the backend servers | [`Roster`], [`Server`] |
//! | choose a server | [`Placement`], [`Pick`] |
//! | heed what servers say of themselves | [`Notices`], [`Standing`] |
//! | decide which orders an engine gets | [`EngineLedger`], [`Step`] |
//! | let an engine's prompts be read in turn | [`ReadingOrder`], [`Turn`] |
//! | own an engine's orders | [`LeaseBook`], [`LeaseNext`] |
//! | choose who speaks to the store for a zone | [`watchers`], [`Hearsay`] |
//! | renew the leases of a zone in one write | [`RenewalGroup`] |
//! | remember which engine holds what | [`Grants`] |
//! | tell which requests servers ended under | [`Endings`], [`Ending`] |
//! | hold content that ends servers | [`Quarantine`], [`Passage`] |
//! | share the budget of repeated sends | [`retry_budget`] |
//! | pass on whole events of a stream | [`EventCutter`] |
//! | tell a failure that another server may make good | [`Attempts`], [`Verdict`] |
//!
//! Times are durations since any fixed moment, the same for all calls to a value.

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
pub use renewals::{COLLECT_TIME, RenewalGroup};
pub use roster::{AdapterId, HeldAdapter, HeldModel, Roster, RosterChange, Server, ServerState};
pub use shares::{retry_budget, slack_part};
pub use watch::{Hearsay, PassedOn, followed, watchers};
