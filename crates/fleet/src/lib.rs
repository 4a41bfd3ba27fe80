//! # guavaspread fleet
//!
//! Decision logic of an entry host that forwards callers' requests directly to the backend
//! servers. The crate reads no clock and does no I/O: callers pass the current time and carry
//! out the returned actions. The daemon and the tests therefore run the same code.
//!
//! | task | types |
//! |---|---|
//! | find the route of a request | [`Catalog`], [`Route`] |
//! | apply the limits in force to open connections | [`CallerConnection`], [`ConnectionAction`] |
//! | find the organisation of a key | [`Organisations`], [`Caller`] |
//! | track the backend servers | [`ServerList`], [`Server`] |
//! | notice that the store came back from an older copy | [`StoreEra`], [`revision`] |
//! | choose a server | [`Placement`], [`Pick`] |
//! | decide whether a request leaves its zone | [`leaving_share`], [`ZoneChoice`] |
//! | respect drain and busy notices of servers | [`ServerNotices`], [`Availability`] |
//! | track the rate limits that servers name | [`RateLimits`], [`RateLimit`] |
//! | notice that no server of a service can be reached | [`Reachability`], [`PathChange`] |
//! | choose the peers through which a host that is cut off reaches servers | [`TunnelPeers`] |
//! | divide a server's rate limit among hosts | [`PermitIssuer`], [`permit_coordinators`] |
//! | grant requests within organisations' quotas | [`QuotaLedger`], [`QuotaHosts`] |
//! | schedule the load and unload commands to an engine | [`AdapterScheduler`], [`SchedulerStep`] |
//! | know the newest versions of adapters | [`AdapterVersions`], [`KnownVersion`] |
//! | schedule the prefills of an engine | [`PrefillQueue`], [`PrefillAdmission`] |
//! | acquire and renew leases on engines | [`LeaseManager`], [`LeaseAction`] |
//! | batch the lease renewals of a zone | [`RenewalBatch`] |
//! | elect the watchers of a zone | [`zone_watchers`], [`WatcherFreshness`] |
//! | read a feed often enough to notice a silent channel | [`FeedTiming`] |
//! | cache which engine has which adapter loaded | [`GrantCache`] |
//! | attribute server crashes to requests | [`CrashDetector`], [`ServerCrash`] |
//! | quarantine content that crashes servers | [`Quarantine`], [`Admission`] |
//! | quarantine prompt parts that crash servers | [`PromptParts`], [`PartsAdmission`] |
//! | tell an engine out of its owner's reach from one that pauses | [`EngineReach`] |
//! | divide the retry budget of a service among hosts | [`RetryShares`] |
//! | forward only complete events of a stream | [`EventFramer`] |
//! | tell a complete stream from one that broke off | [`EventScanner`], [`StreamPosition`] |
//! | tell a complete response without a length from a cut one | [`ResponseEnds`], [`EndAction`] |
//! | know which software version began a stream | [`VersionHistory`] |
//! | decide what a stopping host still does | [`StopSchedule`], [`StopAction`] |
//! | decide whether a failed attempt may be retried | [`Attempts`], [`RetryDecision`] |
//!
//! All times are durations since a fixed reference moment, which is the same for all calls to a
//! value.

mod adapter_scheduler;
mod adapter_versions;
mod appended_field;
mod attempts;
mod backoff;
mod caller_connection;
mod catalog;
mod crash_detector;
mod engine_command;
mod engine_reach;
mod event_framer;
mod event_scanner;
mod feed_timing;
mod grant_cache;
mod lease;
mod notices;
mod organisations;
mod permits;
mod persisted_contents;
mod placement;
mod prefill_queue;
mod prelude;
mod prompt_parts;
mod quarantine;
mod quotas;
mod rate_limit;
mod reachability;
mod renewal_batch;
mod response_end;
mod retry_shares;
mod revision;
mod server_list;
mod stop_schedule;
mod store_era;
mod tunnel_peers;
mod version_history;
mod watch;

pub use adapter_scheduler::AdapterScheduler;
pub use adapter_versions::{AdapterVersions, KnownVersion, OLD_VERSION_BEGIN_TIMEOUT};
pub use appended_field::appended;
pub use attempts::{AttemptOutcome, Attempts, RetryDecision};
pub use backoff::Backoff;
pub use caller_connection::{CallerConnection, ConnectionAction};
pub use catalog::{
    Catalog, EngineSpec, ModelSpec, RequestClass, RequestLimits, Route, Service, Target,
};
pub use crash_detector::{
    ConnectionLoss, CrashDetector, CrashEvidence, LossAction, ProbeResult, ServerCrash,
};
pub use engine_command::{CommandKind, CommandResult, EngineCommand, Readiness, SchedulerStep};
pub use engine_reach::{CallOutcome, EngineReach, Reach};
pub use event_framer::{EventBuffers, EventFramer};
pub use event_scanner::{EventScanner, StreamPosition};
pub use feed_timing::FeedTiming;
pub use grant_cache::{Grant, GrantCache};
pub use lease::{
    Claim, EraCondition, EraStart, HostLease, LeaseAction, LeaseManager, LeaseSummary, LeaseTable,
    LeaseTimes, LeaseWrite, LostEngine, NewEra,
};
pub use notices::{Availability, ServerNotice, ServerNotices};
pub use organisations::{
    Caller, KEY_BYTES_MAX, KeySalt, Organisation, Organisations, Quota, QuotaTolerance, QuotaUnit,
    UnusedKey,
};
pub use permits::{
    CoordinatorRole, PermitDecision, PermitIssuer, PermitRequest, hosts_digest,
    permit_coordinators, zone_count,
};
pub use persisted_contents::PersistedContents;
pub use placement::{
    LoadReport, Pick, Placement, PlacementKey, RejectionNotice, ServerFilter, ZoneChoice,
    choose_zone, leaving_share,
};
pub use prefill_queue::{PrefillAdmission, PrefillQueue, Prompt, PromptKey};
pub use prompt_parts::{ClearedParts, PartsAdmission, PromptParts};
pub use quarantine::{Admission, ContentReport, ContentSummary, Quarantine, tracking_hosts};
pub use quotas::{QUOTA_PING_INTERVAL, QuotaDecision, QuotaHosts, QuotaLedger, QuotaUse};
pub use rate_limit::{LimitChange, LimitReport, NamedLimit, RateLimit, RateLimits};
pub use reachability::{PathChange, Reachability};
pub use renewal_batch::{RENEWAL_BATCH_DELAY, RenewalBatch};
pub use response_end::{EndAction, EndEvidence, ResponseEnd, ResponseEnds, ServerStanding};
pub use retry_shares::RetryShares;
pub use revision::{ERA_MAX, revision, revision_era, revision_number};
pub use server_list::{
    AdapterId, LoadedAdapter, LoadedModel, Server, ServerChange, ServerList, ServerState,
};
pub use stop_schedule::{StopAction, StopSchedule};
pub use store_era::{EraCheck, StatedEra, StoreEra};
pub use tunnel_peers::{TunnelFailure, TunnelPeers};
pub use version_history::{
    FirstVersion, HistoryReads, VersionCounts, VersionHistory, VersionStart,
};
pub use watch::{RelayedServers, WatcherFreshness, watchers_to_follow, zone_watchers};
