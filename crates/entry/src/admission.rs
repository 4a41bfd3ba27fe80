//! Decides whether a request's content and prompt parts may be sent to servers, and requests trials
//! after a quarantine.

use std::net::SocketAddr;

use guavaspread_fleet::{Admission, PartsAdmission, PromptParts, tracking_hosts};
use guavaspread_model::ContentId;

use crate::crash_gossip::{Label, PEER};
use crate::peer_message::CrashUpdate;
use crate::prelude::*;
use crate::state::EntryState;

/// How long a request waits for the probe of the server that ran its last attempt.
const PROBE_WAIT_TIMEOUT: Duration = Duration::from_millis(450);
/// Tracking hosts from which a trial is requested, one after another until one responds.
const TRIAL_GRANTERS_MAX: usize = 2;
/// How long content is refused when no host responds to the request for a trial.
const NO_GRANTER_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Waits for the probe of the content's last server.
///
/// Returns at once for the first attempt of a content without crashes or suspect prompt parts.
pub(crate) async fn await_crash_probe(
    entry: &EntryState,
    content: ContentId,
    parts: &PromptParts,
    sent: u32,
) {
    let until = entry.clock.now() + PROBE_WAIT_TIMEOUT;
    loop {
        let probe_ended = entry.crash_gossip.probe_ended.notified();
        tokio::pin!(probe_ended);
        probe_ended.as_mut().enable();
        let now = entry.clock.now();
        let is_suspect = sent > 1 || {
            let quarantine = entry.quarantine.borrow();
            quarantine.crash_count(content) > 0 || quarantine.has_suspect_part(parts)
        };
        if !is_suspect || now >= until || !entry.crash_detector.borrow().is_probing(content) {
            return;
        }
        // The loop checks the state again, whether a probe ended or the wait timed out.
        let _ = tokio::time::timeout(until - now, probe_ended).await;
    }
}

/// Decides whether a content may be sent to servers; [`Admission::Trial`] means that a trial was
/// granted.
pub(crate) async fn check_admission(entry: &Rc<EntryState>, content: ContentId) -> Admission {
    let admission = entry.quarantine.borrow().admission(content, entry.clock.now());
    match admission {
        Admission::Allowed | Admission::Quarantined(_) => admission,
        Admission::Trial => match request_trial(entry, content).await {
            Ok(()) => Admission::Trial,
            Err(remaining) => Admission::Quarantined(remaining),
        },
    }
}

/// Decides whether a request with these prompt parts may be sent to servers;
/// [`PartsAdmission::Trial`] means that all its trials were granted.
pub(crate) async fn check_parts(entry: &Rc<EntryState>, parts: &PromptParts) -> PartsAdmission {
    let admission = entry.quarantine.borrow().parts_admission(parts, entry.clock.now());
    if let PartsAdmission::Trial(parts) = &admission {
        for part in parts {
            if let Admission::Quarantined(remaining) = check_admission(entry, *part).await {
                return PartsAdmission::Quarantined(*part, remaining);
            }
        }
    }
    admission
}

/// Requests a trial of a content whose quarantine has expired.
///
/// # Errors
///
/// Returns how long to refuse the content when no trial is granted.
async fn request_trial(entry: &Rc<EntryState>, content: ContentId) -> Result<(), Duration> {
    let trial_granters = trial_granters(entry, content);
    for (holder, address) in trial_granters {
        if holder == entry.holder {
            return if entry.grant_trial(content) {
                Ok(())
            } else {
                Err(remaining_quarantine(entry, content))
            };
        }
        let report = entry.quarantine.borrow().report(content, entry.clock.now());
        let reports = report.into_iter().collect();
        let update = CrashUpdate { reports, trial: Some(content), ..CrashUpdate::default() };
        let Some(reply) = entry.peers.send_crash_update(address, update, entry.clock).await else {
            let content = Label(content);
            log::warn!("{holder} did not respond to a request for a trial of {content}");
            continue;
        };
        entry.merge_reports(&reply.reports, PEER);
        return if reply.is_granted { Ok(()) } else { Err(remaining_quarantine(entry, content)) };
    }
    Err(NO_GRANTER_RETRY_AFTER)
}

fn remaining_quarantine(entry: &EntryState, content: ContentId) -> Duration {
    match entry.quarantine.borrow().admission(content, entry.clock.now()) {
        Admission::Quarantined(remaining) => remaining,
        Admission::Allowed | Admission::Trial => NO_GRANTER_RETRY_AFTER,
    }
}

/// Lists the hosts from which a content's trial is requested: the first tracking hosts, and the
/// first one of this zone in case the zone is partitioned from the others.
fn trial_granters(entry: &EntryState, content: ContentId) -> Vec<(Arc<str>, SocketAddr)> {
    let zone = entry.cfg.borrow().zone.clone();
    let leases = entry.leases.borrow();
    let tracking_hosts = tracking_hosts(content, leases.live_hosts_at_last_read());
    let zone_tracker = tracking_hosts.iter().find(|host| host.zone == zone);
    let mut trial_granters: Vec<(Arc<str>, SocketAddr)> = Vec::new();
    for host in tracking_hosts.iter().take(TRIAL_GRANTERS_MAX).chain(zone_tracker) {
        if trial_granters.iter().all(|(holder, _)| *holder != host.holder) {
            trial_granters.push((host.holder.clone(), host.address));
        }
    }
    trial_granters
}
