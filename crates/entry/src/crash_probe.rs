//! Detects server crashes: probes a server after a request lost its connection to it.

use guavaspread_fleet::{
    Availability, ConnectionLoss, CrashEvidence, LossAction, ProbeResult, PromptParts, Server,
    ServerCrash,
};
use guavaspread_model::ContentId;
use http::StatusCode;
use http::response::Parts;

use crate::connection_pool::{SendError, send_once};
use crate::metrics::CrashLabels;
use crate::prelude::*;
use crate::rate_limits::{self, Permit};
use crate::state::EntryState;

/// How long a server may take to respond to a probe; a busy server responds only after the requests
/// that it runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Priority of a probe at a server with a rate limit: retries wait for its result.
const PROBE_PRIORITY: u8 = 0;
/// How long a probe waits for its turn at such a server.
const PROBE_PERMIT_WAIT: Duration = Duration::from_millis(200);

impl EntryState {
    /// Records that a request lost its connection to a server, and starts a probe if needed.
    pub(crate) fn on_connection_lost(
        self: &Rc<Self>,
        server: &Arc<Server>,
        content: ContentId,
        parts: &PromptParts,
        loss: ConnectionLoss,
    ) {
        let now = self.clock.now();
        let known = self.server_list.borrow().get(&server.id).cloned();
        // Uses the current row: the server may have announced its shutdown after the request was
        // sent.
        let current = known.filter(|known| known.started_at_ms == server.started_at_ms);
        let is_draining =
            self.availability(current.as_ref().unwrap_or(server)) == Availability::Draining;
        let mut crashes = Vec::new();
        for suspect in std::iter::once(content).chain(parts.iter()) {
            let next = self.crash_detector.borrow_mut().on_connection_lost(
                server,
                is_draining,
                (suspect, loss),
                now,
            );
            match next {
                LossAction::Crashed(crash) => crashes.push(crash),
                LossAction::Probe => {
                    tokio::task::spawn_local(probe(self.clone(), server.clone()));
                }
                LossAction::Wait => {}
                LossAction::Ignore => {
                    log::info!(
                        "server {} shut down as announced while it ran content {content}",
                        server.id
                    );
                    return;
                }
            }
        }
        self.on_server_crashes(crashes);
    }

    /// Records that another server responded at a server's address.
    pub(crate) fn on_other_server(&self, server: &Server) {
        let crashes = self.crash_detector.borrow_mut().on_other_server(server, self.clock.now());
        self.on_server_crashes(crashes);
    }

    /// Records server crashes and reports them to other hosts.
    pub(crate) fn on_server_crashes(&self, crashes: Vec<ServerCrash>) {
        let now = self.clock.now();
        let mut changed = Vec::new();
        for crash in crashes {
            let is_new = self.quarantine.borrow_mut().on_crash(&crash, now);
            self.on_crash_counted(&crash, is_new);
            if is_new {
                changed.push(crash.content);
            }
        }
        if !changed.is_empty() {
            self.quarantine.borrow_mut().clear_explained(now);
            self.crash_gossip.notify_change();
        }
        for content in changed {
            self.log_quarantine(content, "this host");
        }
    }

    /// Updates the metrics and the log after a crash was attributed to a request or a prompt part.
    fn on_crash_counted(&self, crash: &ServerCrash, is_new: bool) {
        let ServerCrash { content, server, started_at_ms, evidence } = crash;
        let evidence = evidence_label(*evidence);
        let count = self.quarantine.borrow().crash_count(*content);
        if content.prompt_part().is_some() {
            self.metrics.parts_suspected.inc_by(u64::from(is_new && count == 1));
            return;
        }
        self.metrics.servers_ended.get_or_create(&CrashLabels { evidence }).inc();
        log::warn!(
            "server {server} (incarnation {started_at_ms}) crashed under content {content}: \
             {evidence}; {count} crashes in total"
        );
    }
}

fn evidence_label(evidence: CrashEvidence) -> &'static str {
    match evidence {
        CrashEvidence::Refused => "refused",
        CrashEvidence::Replaced => "replaced",
        CrashEvidence::Restarted => "restarted",
        CrashEvidence::RowRemoved => "row-gone",
    }
}

/// Probes a server, and repeats the probe while the result is unclear or further connections to
/// the server fail.
async fn probe(entry: Rc<EntryState>, server: Arc<Server>) {
    let mut due_at = Some(entry.clock.now());
    while let Some(at) = due_at {
        tokio::time::sleep(at.saturating_sub(entry.clock.now())).await;
        let sent_at = entry.clock.now();
        let result = send_probe(&entry, &server).await;
        log::info!("probe of server {} after a lost connection: {result:?}", server.id);
        let now = entry.clock.now();
        let (crashes, next_probe_at) =
            entry.crash_detector.borrow_mut().on_probe_result(&server, result, sent_at, now);
        entry.on_server_crashes(crashes);
        entry.crash_gossip.notify_probe_ended();
        due_at = next_probe_at;
    }
}

async fn send_probe(entry: &Rc<EntryState>, server: &Server) -> ProbeResult {
    match check_health(entry, server).await {
        Some(Ok(Ok(head))) => {
            let response_info = entry.platform.protocol.parse_response(head.status, &head.headers);
            let is_replaced = head.status == StatusCode::MISDIRECTED_REQUEST
                || response_info.is_other_server(&server.id);
            if is_replaced {
                return ProbeResult::OtherServer;
            }
            entry.on_rate_limit(server, response_info.notice.rate_limit);
            ProbeResult::SameServer
        }
        Some(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            // A partition of this host may refuse connections to all servers.
            match entry.reaches_other_servers(server).await {
                true => ProbeResult::Refused,
                false => ProbeResult::TimedOut,
            }
        }
        Some(Ok(Err(_)) | Err(_)) | None => ProbeResult::TimedOut,
    }
}

/// Sends a health check on a new connection and returns the head of the response; `None` if the
/// server's rate limit allows none, or there is no response in time.
///
/// The outer error means that no connection could be opened.
pub(crate) async fn check_health(
    entry: &Rc<EntryState>,
    server: &Server,
) -> Option<std::io::Result<Result<Parts, SendError>>> {
    // A server's rate limit includes health checks.
    let permit =
        rate_limits::acquire_permit(entry, server, PROBE_PRIORITY, PROBE_PERMIT_WAIT).await;
    if permit == Permit::Denied {
        return None;
    }
    let path = {
        let catalog = entry.catalog.borrow();
        let service = catalog.as_ref().and_then(|catalog| catalog.service(&server.service));
        service.map_or_else(|| "/".into(), |service| service.health_path.clone())
    };
    let req = entry.platform.protocol.probe_request(server, &path);
    tokio::time::timeout(PROBE_TIMEOUT, send_once(server.address, req)).await.ok()
}
