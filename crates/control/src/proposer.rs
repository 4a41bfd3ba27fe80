//! Proposal of a configuration change through the table.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use guavaspread_config::{
    Acknowledgement, ConfigHead, Outcome, Proposal, ProposalAction, ProposalTimeouts,
};
use guavaspread_model::{Change, Code, Config, Host, Name, Refusal};
use guavaspread_store::{Category, PlatformClient, Transaction, Write};
use guavaspread_wire::{DispatcherRequest, ObservedHead};
use ntex::time::sleep;
use rand::seq::IndexedRandom;

use crate::dispatcher_client::DispatcherClient;
use crate::follower::parse;
use crate::{Clock, HEAD_KEY, MEMBER_PREFIX, record_key};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of dispatchers per availability zone that the proposer notifies of a new head row.
const NOTIFIED_PER_ZONE: usize = 2;
const TABLE_FAILURES_MAX: u32 = 20;

/// Proposes `changes` to `config` and waits for the outcome.
pub async fn propose(
    platform: &Rc<dyn PlatformClient>,
    dispatcher_client: &Rc<DispatcherClient>,
    clock: Clock,
    proposer: Name,
    changes: Vec<Change>,
    config: &Config,
) -> Outcome {
    let timeouts = ProposalTimeouts::default();
    let proposal = match Proposal::new(proposer, rand::random(), changes, config, timeouts) {
        Ok(proposal) => proposal,
        Err(refusal) => return Outcome::Rejected(refusal),
    };
    let (platform, dispatcher_client) = (platform.clone(), dispatcher_client.clone());
    Driver { platform, dispatcher_client, clock, proposal, failures: 0 }.run().await
}

struct Driver {
    platform: Rc<dyn PlatformClient>,
    dispatcher_client: Rc<DispatcherClient>,
    clock: Clock,
    proposal: Proposal,
    failures: u32,
}

impl Driver {
    async fn run(mut self) -> Outcome {
        let mut action = self.proposal.next_action();
        loop {
            action = match action {
                ProposalAction::ReadHead => self.read_head().await,
                ProposalAction::Stage { head, record, revision } => {
                    let Ok(value) = serde_json::to_string(&record) else {
                        return not_serializable();
                    };
                    let record = Write { key: record_key(record.revision), value: Some(value) };
                    self.write_head(head, revision, Some(record)).await
                }
                ProposalAction::ReadMembers => self.read_members().await,
                ProposalAction::Decide { head, revision, delete } => {
                    let delete =
                        delete.map(|revision| Write { key: record_key(revision), value: None });
                    self.write_head(head, Some(revision), delete).await
                }
                ProposalAction::End(outcome) => return outcome,
            };
        }
    }

    async fn read_head(&mut self) -> ProposalAction {
        match self.platform.get(HEAD_KEY).await {
            Ok(row) => {
                self.failures = 0;
                let head: ConfigHead = parse(row.as_ref()).unwrap_or_default();
                let revision = row.map(|row| row.revision);
                let staged = head.staged.is_some();
                let action = self.proposal.on_head(head.clone(), revision, self.clock.now());
                if let Some(revision) =
                    revision.filter(|_| staged && action == ProposalAction::ReadMembers)
                {
                    // The response to the write was lost, so no dispatcher has been notified.
                    self.notify(&head, revision).await;
                }
                if action == ProposalAction::ReadHead {
                    sleep(POLL_INTERVAL).await;
                }
                action
            }
            Err(_) => self.table_failed().await,
        }
    }

    async fn write_head(
        &mut self,
        head: ConfigHead,
        revision: Option<u64>,
        record: Option<Write>,
    ) -> ProposalAction {
        let Ok(value) = serde_json::to_string(&head) else {
            return ProposalAction::End(not_serializable());
        };
        let mut tx = Transaction::default().compare_and_set(HEAD_KEY, revision, value);
        tx.writes.extend(record);
        match self.platform.commit(&tx).await {
            Ok(receipt) => {
                self.failures = 0;
                self.notify(&head, receipt.revision).await;
                self.proposal.on_head_written(head, receipt.revision, self.clock.now())
            }
            Err(e) if e.classify() == Category::Conflict => self.proposal.on_conflict(),
            Err(_) => self.table_failed().await,
        }
    }

    /// Sends the head row to a few dispatchers of every availability zone; the zone's other
    /// processes get the row by gossip.
    async fn notify(&self, head: &ConfigHead, revision: u64) {
        let Ok(hosts) = self.platform.list_hosts().await else {
            return;
        };
        let zones: BTreeSet<&Name> = hosts.iter().map(|host| &host.zone).collect();
        let request =
            DispatcherRequest::HeadUpdate(ObservedHead { head: head.clone(), revision, age_ms: 0 });
        let mut notifications = Vec::new();
        for zone in zones {
            let dispatchers: Vec<&Host> =
                hosts.iter().filter(|h| h.is_entry_host() && h.zone == *zone).collect();
            let chosen = dispatchers.sample(&mut rand::rng(), NOTIFIED_PER_ZONE);
            notifications.extend(
                chosen.map(|host| self.dispatcher_client.request::<bool>(host.address, &request)),
            );
        }
        // Processes that are not notified learn the head from a peer or from the table.
        join_all(notifications).await;
    }

    async fn read_members(&mut self) -> ProposalAction {
        sleep(POLL_INTERVAL).await;
        let members = self.platform.list(MEMBER_PREFIX).await;
        let hosts = self.platform.list_hosts().await;
        let (Ok(members), Ok(hosts)) = (members, hosts) else {
            return self.table_failed().await;
        };
        self.failures = 0;
        let members: Vec<Acknowledgement> =
            members.iter().filter_map(|row| parse(Some(row))).collect();
        let is_listed = |name: &Name| hosts.iter().any(|host: &Host| host.name == *name);
        self.proposal.on_members(&members, is_listed, self.clock.now())
    }

    /// Counts a failed call and retries from the state in the table, up to a limit.
    async fn table_failed(&mut self) -> ProposalAction {
        self.failures += 1;
        if self.failures >= TABLE_FAILURES_MAX {
            return ProposalAction::End(self.proposal.on_table_unavailable());
        }
        sleep(POLL_INTERVAL).await;
        self.proposal.next_action()
    }
}

fn not_serializable() -> Outcome {
    Outcome::Rejected(Refusal::not_run(Code::MalformedRequest, "the change can't be serialized"))
}
