//! The software version that began a resumable stream, and the one at which new streams begin.
//!
//! A host knows the version of a stream that it served itself, and of any other stream if all streams
//! of the service began at one version (see [`VersionHistory`]), which the store has to confirm for
//! each stream that is taken up. Otherwise it asks the other hosts. What nobody can tell is not
//! continued. A store that does not respond delays no request for long.

use std::net::SocketAddr;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use guavaspread_fleet::{FirstVersion, HistoryReads, VersionCounts, VersionHistory};
use guavaspread_model::{Refusal, content_hash};

use crate::feed_relay::STREAM_VERSIONS_FEED_TTL;
use crate::forward::Call;
use crate::platform::{Feed, StoreError, StreamVersionRow, WriteOutcome};
use crate::prelude::*;
use crate::refusals::{no_stream_version, stream_version_gone, stream_version_unknown};
use crate::resume::LAST_EVENT_ID;
use crate::state::EntryState;
use crate::store_watch::apply_batch;

/// Streams that a host remembers at most. Beyond that, it remembers no new ones.
const SERVED_STREAMS_MAX: usize = 65_536;
/// Attempts to change the current version while other hosts change it too.
const WRITE_ATTEMPTS_MAX: usize = 3;
/// Shortest interval between checks whether the current versions still have enough servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts that are asked for the version of a stream; those of the own zone come first, as a caller's
/// tries reach them first.
const ASKED_HOSTS_MAX: usize = 64;
/// How long a request waits for the versions to be read again; a slow store takes 240 ms.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);
/// How long requests do without a store that failed a call for one of them.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a request waits for a process that has just started to read the versions.
const START_TIMEOUT: Duration = Duration::from_millis(150);
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The versions of a service's streams, as the store keeps them.
#[derive(Default)]
struct StoredHistory {
    history: VersionHistory,
    /// The revision of the row; 0 if the store has none.
    revision: u64,
    /// Whether the row lacks a part of the history, as one of an older copy of the store does.
    is_incomplete: bool,
}

/// A stream that this host served.
struct ServedStream {
    software: Arc<str>,
    forget_at: Duration,
}

/// What this host knows of the software versions of streams.
#[derive(Default)]
pub(crate) struct StreamVersions {
    services: RefCell<HashMap<Arc<str>, StoredHistory>>,
    served: RefCell<HashMap<u64, ServedStream>>,
    /// The available servers by service and version, counted since the servers last changed.
    counts: RefCell<HashMap<Arc<str>, Rc<VersionCounts>>>,
    /// The store's clock in its last response, in milliseconds, and when that arrived.
    store_clock: Cell<Option<(u64, Duration)>>,
    /// Held while this host writes; the earliest time of the next write.
    writing: tokio::sync::Mutex<Duration>,
    /// The reads of the versions for requests.
    reads: Cell<HistoryReads>,
    /// Held while this host reads for a request. Requests that arrived earlier need no other read.
    reading: tokio::sync::Mutex<()>,
}

impl StreamVersions {
    /// Applies rows and the clock of the store.
    pub(crate) fn on_read(
        &self,
        rows: Vec<StreamVersionRow>,
        store_time_ms: u64,
        is_snapshot: bool,
        now: Duration,
    ) {
        let known_ms = self.store_time_ms(now).unwrap_or(0);
        self.store_clock.set(Some((known_ms.max(store_time_ms), now)));
        let mut services = self.services.borrow_mut();
        if is_snapshot {
            for stored in services.values_mut() {
                stored.revision = 0;
                stored.is_incomplete = true;
            }
        }
        for StreamVersionRow { service, history, revision } in rows {
            let stored = services.entry(service).or_default();
            if revision < stored.revision {
                continue;
            }
            stored.history.merge(&history);
            stored.is_incomplete = stored.history != history;
            stored.revision = revision;
        }
    }

    /// Forgets the counts of available servers.
    pub(crate) fn on_server_changes(&self) {
        self.counts.borrow_mut().clear();
    }

    /// Returns the rows for a follower.
    pub(crate) fn rows(&self) -> Vec<StreamVersionRow> {
        let services = self.services.borrow();
        let row = |(service, stored): (&Arc<str>, &StoredHistory)| StreamVersionRow {
            service: service.clone(),
            history: stored.history.clone(),
            revision: stored.revision,
        };
        services.iter().filter(|(_, stored)| stored.revision > 0).map(row).collect()
    }

    /// Returns the highest revision of a row.
    pub(crate) fn revision(&self) -> u64 {
        let services = self.services.borrow();
        services.values().map(|stored| stored.revision).max().unwrap_or(0)
    }

    /// Returns the store's clock, in milliseconds; `None` before its first response.
    pub(crate) fn store_time_ms(&self, now: Duration) -> Option<u64> {
        let (time_ms, at) = self.store_clock.get()?;
        Some(time_ms + now.saturating_sub(at).as_millis() as u64)
    }

    /// Returns the version of a stream that this host served.
    pub(crate) fn served_at(&self, stream: u64) -> Option<Arc<str>> {
        self.served.borrow().get(&stream).map(|served| served.software.clone())
    }

    fn remember(&self, stream: u64, software: Arc<str>, forget_at: Duration) {
        let mut served = self.served.borrow_mut();
        if served.len() < SERVED_STREAMS_MAX || served.contains_key(&stream) {
            served.insert(stream, ServedStream { software, forget_at });
        }
    }

    /// Forgets the streams that their callers can't take up any more.
    fn expire(&self, now: Duration) {
        self.served.borrow_mut().retain(|_, served| served.forget_at > now);
    }
}

/// Identifies a stream by its service and the request that began it.
fn stream_id(service: &str, request: &str) -> u64 {
    content_hash(format!("{service}\n{request}").as_bytes())
}

impl EntryState {
    /// Counts the available servers of a service by version.
    ///
    /// Servers of no known version count only if no server has one.
    fn version_counts(&self, service: &Arc<str>) -> Rc<VersionCounts> {
        let counted = self.stream_versions.counts.borrow().get(service).cloned();
        if let Some(counts) = counted {
            return counts;
        }
        let mut counts = VersionCounts::new();
        for (server, _) in self.server_list.borrow().rows() {
            if server.service == *service && server.is_ready() {
                *counts.entry(server.software.clone().unwrap_or_default()).or_default() += 1;
            }
        }
        if counts.len() > 1 {
            counts.remove("");
        }
        let counts = Rc::new(counts);
        self.stream_versions.counts.borrow_mut().insert(service.clone(), counts.clone());
        counts
    }

    /// Returns how long after a change of the current version a stream may be taken up that began
    /// before, or at a host that had not learned of the change.
    fn stream_age_max(&self, service: &str) -> Duration {
        let catalog = self.catalog.borrow();
        let age = catalog.as_ref().and_then(|catalog| catalog.stream_age_max(service));
        age.unwrap_or_default() + STREAM_VERSIONS_FEED_TTL
    }

    /// Lists the versions at which a stream of the service may have begun; none if nothing is known.
    fn possible_versions(&self, service: &str) -> Vec<Arc<str>> {
        let Some(now_ms) = self.stream_versions.store_time_ms(self.clock.now()) else {
            return Vec::new();
        };
        let age_max_ms = self.stream_age_max(service).as_millis() as u64;
        let services = self.stream_versions.services.borrow();
        services
            .get(service)
            .map(|stored| stored.history.possible(age_max_ms, now_ms))
            .unwrap_or_default()
    }

    /// Returns the row to write if streams have to begin at another version, or if the store lacks
    /// a part of the history.
    fn due_row(&self, service: &Arc<str>) -> Option<StreamVersionRow> {
        let now_ms = self.stream_versions.store_time_ms(self.clock.now())?;
        let age_max_ms = self.stream_age_max(service).as_millis() as u64;
        let counts = self.version_counts(service);
        let services = self.stream_versions.services.borrow();
        let unknown = StoredHistory::default();
        let stored = services.get(service).unwrap_or(&unknown);
        let next = stored.history.next(&counts, age_max_ms, now_ms);
        let history = next.or(stored.is_incomplete.then(|| stored.history.clone()))?;
        Some(StreamVersionRow { service: service.clone(), history, revision: stored.revision })
    }

    /// Returns the version at which streams of the service begin. Changes it first if it has no server,
    /// as nothing could begin; other changes don't delay requests.
    async fn current_version(self: &Rc<Self>, service: &Arc<str>) -> Option<Arc<str>> {
        let current = self.known_version(service);
        if current.as_ref().is_some_and(|current| self.has_version(service, current)) {
            return current;
        }
        self.change_version(service).await;
        let counts = self.version_counts(service);
        match self.known_version(service) {
            Some(current) => Some(current).filter(|current| counts.contains_key(current)),
            // The store has not taken the first one yet; other hosts choose the same.
            None => counts.keys().next().filter(|_| counts.len() == 1).cloned(),
        }
    }

    fn known_version(&self, service: &str) -> Option<Arc<str>> {
        let services = self.stream_versions.services.borrow();
        services.get(service)?.history.current().cloned()
    }

    /// Returns whether an available server of the service runs this version.
    fn has_version(&self, service: &Arc<str>, software: &str) -> bool {
        self.version_counts(service).contains_key(software)
    }

    /// Writes the change of a service's current version that is due, if any.
    async fn change_version(self: &Rc<Self>, service: &Arc<str>) {
        for _ in 0..WRITE_ATTEMPTS_MAX {
            if self.due_row(service).is_none() {
                return;
            }
            let mut next_write_at = self.stream_versions.writing.lock().await;
            // Another request may have written the change meanwhile, or failed to.
            let row = self.due_row(service).filter(|_| self.clock.now() >= *next_write_at);
            let Some(row) = row else { return };
            if let Err(e) = self.write_versions(row).await {
                log::warn!("the version of {service}'s streams was not written, will retry: {e}");
                *next_write_at = self.clock.now() + STORE_RETRY_INTERVAL;
                return;
            }
        }
    }

    async fn write_versions(self: &Rc<Self>, row: StreamVersionRow) -> Result<(), StoreError> {
        match self.platform.store.write_stream_versions(&row).await? {
            WriteOutcome::Done { revision, store_time_ms } => {
                let current = row.history.current().map_or("", |version| version);
                log::info!("resumable streams of {} begin at version `{current}`", row.service);
                let row = StreamVersionRow { revision, ..row };
                let now = self.clock.now();
                self.stream_versions.on_read(vec![row], store_time_ms, false, now);
            }
            WriteOutcome::Conflict => {
                let batch = self.platform.store.snapshot(Feed::StreamVersions).await?;
                apply_batch(self, Feed::StreamVersions, batch, true, self.clock.now());
            }
        }
        Ok(())
    }

    /// Returns how to learn which version began a stream that was taken up at `taken_up_at`.
    fn first_version(&self, service: &str, taken_up_at: Duration) -> FirstVersion {
        let possible = self.possible_versions(service);
        self.stream_versions.reads.get().first_version(&possible, taken_up_at)
    }

    /// Reads the versions for a stream that was taken up at `taken_up_at`, unless another request
    /// has read them since.
    async fn read_versions(self: &Rc<Self>, service: &str, taken_up_at: Duration) {
        let _reading = self.stream_versions.reading.lock().await;
        if self.first_version(service, taken_up_at) != FirstVersion::ReadHistory {
            return;
        }
        let sent_at = self.clock.now();
        let read = self.platform.store.snapshot(Feed::StreamVersions);
        let result = tokio::time::timeout(REFRESH_TIMEOUT, read).await;
        let now = self.clock.now();
        let mut reads = self.stream_versions.reads.get();
        let error = match result {
            Ok(Ok(batch)) => {
                apply_batch(self, Feed::StreamVersions, batch, true, now);
                reads.on_read(sent_at);
                None
            }
            Ok(Err(e)) => Some(e.to_string()),
            Err(_) => Some(format!("no response in {} ms", REFRESH_TIMEOUT.as_millis())),
        };
        if let Some(e) = error {
            log::warn!("reading the streams' versions failed, asking the other hosts instead: {e}");
            reads.on_read_failed(now + STORE_RETRY_INTERVAL);
        }
        self.stream_versions.reads.set(reads);
    }

    /// Asks other hosts which version began a stream; returns the first answer.
    async fn ask_stream_version(&self, stream: u64) -> Option<Arc<str>> {
        let zone = self.cfg.borrow().zone.clone();
        let mut hosts: Vec<(bool, SocketAddr)> = {
            let leases = self.leases.borrow();
            let hosts = leases.live_hosts(self.clock.now());
            let others = hosts.filter(|host| host.holder != self.holder);
            others.map(|host| (host.zone != zone, host.address)).collect()
        };
        hosts.sort_unstable();
        hosts.truncate(ASKED_HOSTS_MAX);
        let asked = hosts.into_iter().map(|(_, address)| {
            let peers = self.peers.clone();
            async move { peers.stream_version(address, stream).await }
        });
        let mut replies: FuturesUnordered<_> = asked.collect();
        while let Some(reply) = replies.next().await {
            if reply.is_some() {
                return reply;
            }
        }
        None
    }
}

impl Call {
    /// Returns the software version that has to run the request; `None` if any may.
    ///
    /// # Errors
    ///
    /// Refuses to continue a stream whose version has left, or that nobody can tell.
    pub(crate) async fn required_software(&self) -> Result<Option<Arc<str>>, Refusal> {
        if !self.route.has_resumable_streams() {
            return Ok(None);
        }
        let arrived_at = self.entry.clock.now();
        self.await_versions().await;
        let is_continuation =
            self.info.resumes.is_some() || self.head.headers.contains_key(LAST_EVENT_ID);
        if !is_continuation {
            let current = self.entry.current_version(&self.service).await;
            return current.map(Some).ok_or_else(no_stream_version);
        }
        let software = self.first_software(arrived_at).await.ok_or_else(stream_version_unknown)?;
        match self.entry.has_version(&self.service, &software) {
            true => Ok(Some(software)),
            false => Err(stream_version_gone()),
        }
    }

    /// Returns the version that began the stream that the request continues.
    async fn first_software(&self, arrived_at: Duration) -> Option<Arc<str>> {
        let entry = &self.entry;
        let stream = self.info.resumes.as_ref().map(|id| stream_id(&self.service, id));
        let served = stream.and_then(|stream| entry.stream_versions.served_at(stream));
        if served.is_some() {
            return served;
        }
        loop {
            match entry.first_version(&self.service, arrived_at) {
                FirstVersion::Known(software) => return Some(software),
                FirstVersion::ReadHistory => {
                    entry.read_versions(&self.service, arrived_at).await;
                }
                FirstVersion::AskHosts => return entry.ask_stream_version(stream?).await,
            }
        }
    }

    async fn await_versions(&self) {
        let entry = &self.entry;
        let started = entry.clock.now();
        while entry.stream_versions.store_time_ms(started).is_none()
            && entry.clock.now() < started + START_TIMEOUT
        {
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Remembers which version responded to the request.
    pub(crate) fn remember_software(&self, software: Option<&Arc<str>>) {
        if !self.route.has_resumable_streams() {
            return;
        }
        let first = self.info.resumes.as_ref().unwrap_or(&self.info.id);
        let stream = stream_id(&self.service, first);
        let forget_at = self.entry.clock.now() + self.entry.stream_age_max(&self.service);
        let software = software.cloned().unwrap_or_default();
        self.entry.stream_versions.remember(stream, software, forget_at);
    }
}

/// Checks the current versions of all services with resumable streams, until the process ends.
pub(crate) async fn keep_versions(entry: Rc<EntryState>) {
    loop {
        // Hosts that check at different times rarely write the same change.
        let jitter = entry.leases.borrow().jitter_fraction();
        tokio::time::sleep(CHECK_INTERVAL.mul_f64(1.0 + jitter)).await;
        entry.stream_versions.expire(entry.clock.now());
        let Some(catalog) = entry.catalog.borrow().clone() else { continue };
        for service in catalog.services() {
            if catalog.stream_age_max(&service.name).is_some() {
                entry.change_version(&service.name).await;
            }
        }
    }
}
