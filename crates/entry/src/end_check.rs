//! Checks of responses that ended with their connection: waits for evidence that their server
//! ended them itself.

use std::pin::Pin;

use guavaspread_fleet::{EndAction, EndEvidence, ResponseEnd, Server, ServerStanding};
use http::StatusCode;

use crate::platform::Feed;
use crate::prelude::*;
use crate::state::EntryState;
use crate::{crash_probe, store_watch};

/// How long the end of a stream that could be resumed waits for evidence. The rest of the longest
/// stall is left for the resumption.
const RESUMABLE_EVIDENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a read of the servers' rows waits for a change.
const DEPARTURE_READ_WAIT: Duration = Duration::from_millis(500);
/// Interval between reads of the servers' rows, which other servers change as well.
const DEPARTURE_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed read.
const DEPARTURE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Health checks of a server whose row was removed, while they are rejected or not answered.
const HEALTH_CHECKS_MAX: usize = 3;
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Whether a server ended a response itself, once that is known.
pub(crate) type EndCheck = Pin<Box<dyn Future<Output = CheckedEnd>>>;

/// The result of a check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckedEnd {
    /// `None` if the response may have been cut off.
    pub(crate) evidence: Option<EndEvidence>,
    /// What was known of the server then.
    pub(crate) standing: ServerStanding,
    /// How long the check took.
    pub(crate) took: Duration,
}

/// Counts a response of a server as open until dropped.
pub(crate) struct OpenResponse {
    entry: Rc<EntryState>,
    server: Arc<Server>,
    /// Whether it ends with its connection.
    is_unframed: bool,
}

impl OpenResponse {
    pub(crate) fn start(entry: &Rc<EntryState>, server: &Arc<Server>) -> Self {
        entry.response_ends.borrow_mut().on_response_opened(server);
        OpenResponse { entry: entry.clone(), server: server.clone(), is_unframed: false }
    }

    /// Records that the response will end with its connection.
    pub(crate) fn on_unframed_head(&mut self) {
        self.is_unframed = true;
        self.entry.response_ends.borrow_mut().on_unframed_head(&self.server);
        self.entry.ask_unlisted(&self.server);
    }

    /// Records that the end of the connection cut off the response visibly.
    pub(crate) fn on_cut(&self) {
        let now = self.entry.clock.now();
        self.entry.response_ends.borrow_mut().on_response_cut(&self.server, now);
    }

    /// Records bytes that were waited for since `since`.
    pub(crate) fn on_awaited_bytes(&self, since: Duration, now: Duration) {
        let mut response_ends = self.entry.response_ends.borrow_mut();
        if response_ends.has_checks() && response_ends.on_awaited_bytes(&self.server, since, now) {
            self.entry.ends_changed.notify_waiters();
        }
    }
}

impl Drop for OpenResponse {
    fn drop(&mut self) {
        self.entry.response_ends.borrow_mut().on_response_closed(&self.server, self.is_unframed);
        self.entry.on_ends_changed();
    }
}

/// Counts an end as being checked until dropped.
struct CheckGuard {
    entry: Rc<EntryState>,
    server: Arc<Server>,
    end: ResponseEnd,
}

impl CheckGuard {
    fn start(entry: &Rc<EntryState>, server: &Arc<Server>, end: ResponseEnd) -> Self {
        entry.response_ends.borrow_mut().on_check_started(server, end.at);
        CheckGuard { entry: entry.clone(), server: server.clone(), end }
    }

    fn next_action(&self) -> EndAction {
        let server_list = self.entry.server_list.borrow();
        let listed = server_list.get(&self.server.id).map(|listed| &**listed);
        let (servers, now) = ((&*self.server, listed), self.entry.clock.now());
        self.entry.response_ends.borrow().next_action(servers, self.end, now)
    }

    /// Waits until the end can be decided on.
    async fn evidence(&self) -> Option<EndEvidence> {
        let CheckGuard { entry, server, end } = self;
        if entry.server_accepts_connections(server).await {
            entry.response_ends.borrow_mut().on_accepted(server, end.at);
            entry.on_ends_changed();
        }
        loop {
            let changed = entry.ends_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            match self.next_action() {
                EndAction::Complete(evidence) => return Some(evidence),
                EndAction::BreakOff => return None,
                EndAction::WaitUntil(until) => {
                    entry.watch_departures();
                    let wait = until.saturating_sub(entry.clock.now());
                    // The next action is decided after the timeout as well as after a change.
                    let _ = tokio::time::timeout(wait, changed).await;
                }
            }
        }
    }
}

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.entry.response_ends.borrow_mut().on_check_ended(&self.server);
        self.entry.on_ends_changed();
    }
}

impl EntryState {
    /// Decides again on the ends that are being checked.
    pub(crate) fn on_ends_changed(&self) {
        if self.response_ends.borrow().has_checks() {
            self.ends_changed.notify_waiters();
        }
    }

    /// Starts the check of a response that ended with its connection at this moment.
    pub(crate) fn check_end(
        self: &Rc<Self>,
        server: &Arc<Server>,
        response: OpenResponse,
        is_resumable: bool,
    ) -> EndCheck {
        let at = self.clock.now();
        let wait_until = at + self.evidence_timeout(server, is_resumable);
        let check = CheckGuard::start(self, server, ResponseEnd { at, wait_until });
        drop(response);
        Box::pin(async move {
            let evidence = check.evidence().await;
            let (standing, now) = (check.entry.standing(&check.server), check.entry.clock.now());
            CheckedEnd { evidence, standing, took: now.saturating_sub(at) }
        })
    }

    /// Asks a server whose row was removed if it leaves, in case that one of its responses ends with
    /// its connection. The row may have expired, or the server serves on without it.
    pub(crate) fn ask_unlisted(self: &Rc<Self>, server: &Arc<Server>) {
        let is_listed = self.server_list.borrow().get(&server.id).is_some();
        if !is_listed && self.response_ends.borrow_mut().should_ask(server) {
            tokio::task::spawn_local(ask_whether_leaving(self.clone(), server.clone()));
        }
    }

    /// Returns how long the end of a response of a server that accepts no connections waits.
    fn evidence_timeout(&self, server: &Server, is_resumable: bool) -> Duration {
        match (is_resumable, self.standing(server)) {
            (false, _) => self.cfg.borrow().end_evidence_timeout(),
            (true, ServerStanding::Leaving) => RESUMABLE_EVIDENCE_TIMEOUT,
            // The server most likely crashed, and another one can continue the stream at once.
            (true, _) => Duration::ZERO,
        }
    }

    fn standing(&self, server: &Server) -> ServerStanding {
        let server_list = self.server_list.borrow();
        let listed = server_list.get(&server.id).map(|listed| &**listed);
        self.response_ends.borrow().standing(server, listed)
    }

    /// Reads changes of the servers' rows as they happen while the end of a response of a leaving
    /// server is checked; the usual reads have longer intervals.
    fn watch_departures(self: &Rc<Self>) {
        let is_due = self.response_ends.borrow().awaits_departure();
        if is_due && !self.watches_departures.replace(true) {
            let entry = self.clone();
            tokio::task::spawn_local(async move {
                while entry.response_ends.borrow().awaits_departure() {
                    let delay = read_departures(&entry).await;
                    tokio::time::sleep(delay).await;
                }
                entry.watches_departures.set(false);
            });
        }
    }
}

/// Asks a server for its health until it answers. One that leaves is not healthy; one whose row has
/// expired, because it was partitioned from the store, does not know that.
async fn ask_whether_leaving(entry: Rc<EntryState>, server: Arc<Server>) {
    for _ in 0..HEALTH_CHECKS_MAX {
        if let Some(Ok(Ok(head))) = crash_probe::check_health(&entry, &server).await {
            let info = entry.platform.protocol.parse_response(head.status, &head.headers);
            let (status, id) = (head.status, &server.id);
            if info.is_other_server(id) {
                return;
            }
            if status == StatusCode::SERVICE_UNAVAILABLE && !info.is_not_run() {
                log::info!("server {id}, whose row was removed, answers {status}: it leaves");
                let drain_time = Duration::from_millis(entry.cfg.borrow().drain_ms);
                let now = entry.clock.now();
                entry.response_ends.borrow_mut().on_leaving_when_asked(&server, drain_time, now);
                return entry.on_ends_changed();
            }
            if status.is_success() {
                return log::info!("server {id}, whose row was removed, does not leave");
            }
        }
        tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
    }
    log::info!("server {}, whose row was removed, does not say whether it leaves", server.id);
}

/// Applies the next changes of the servers' rows; returns when to read again.
async fn read_departures(entry: &Rc<EntryState>) -> Duration {
    let after = entry.server_list.borrow().revision();
    let store = &entry.platform.store;
    match store.changes_since(Feed::Servers, after, DEPARTURE_READ_WAIT).await {
        Ok(batch) => {
            store_watch::apply_batch(entry, Feed::Servers, batch, false, entry.clock.now());
            DEPARTURE_READ_INTERVAL
        }
        Err(e) => {
            log::info!("reading whether a server has left failed, will retry: {e}");
            DEPARTURE_RETRY_INTERVAL
        }
    }
}
