//! Group commit: many small transactions in few commits.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use ntex::channel::oneshot;

use crate::error::{Category, Error, Result};
use crate::table::{CommitReceipt, PlatformClient, Transaction};

/// The maximum number of transactions in one commit.
const GROUP_TRANSACTIONS_MAX: usize = 64;

struct Pending {
    tx: Transaction,
    reply: oneshot::Sender<Result<CommitReceipt>>,
}

/// Combines the transactions that arrive during a commit into the next commit.
///
/// A combined commit is atomic. If a condition of one transaction does not hold,
/// all of them fail, and the transactions are then committed one by one.
/// Transactions of one group have no rows in common.
pub struct GroupCommit {
    platform: Rc<dyn PlatformClient>,
    pending: RefCell<Vec<Pending>>,
    running: Cell<bool>,
}

impl GroupCommit {
    /// Creates a group commit for the transactions of one thread.
    pub fn new(platform: Rc<dyn PlatformClient>) -> Rc<Self> {
        Rc::new(GroupCommit { platform, pending: RefCell::default(), running: Cell::new(false) })
    }

    /// Commits a transaction, combined with others that are pending.
    ///
    /// # Errors
    ///
    /// Fails as [`PlatformClient::commit`] does.
    pub async fn commit(self: &Rc<Self>, tx: Transaction) -> Result<CommitReceipt> {
        let (reply, result) = oneshot::channel();
        self.pending.borrow_mut().push(Pending { tx, reply });
        if !self.running.replace(true) {
            let this = self.clone();
            ntex::rt::spawn(async move { this.run().await });
        }
        result.await.unwrap_or_else(|_| {
            Err(Error::response_lost("the group commit was dropped before it sent a result"))
        })
    }

    async fn run(&self) {
        loop {
            let group = self.take_group();
            if group.is_empty() {
                self.running.set(false);
                return;
            }
            self.commit_group(group).await;
        }
    }

    /// Removes and returns pending transactions without common rows, in order of arrival.
    fn take_group(&self) -> Vec<Pending> {
        let mut keys = BTreeSet::new();
        let (mut group, mut deferred) = (Vec::new(), Vec::new());
        for pending in self.pending.borrow_mut().drain(..) {
            let rows: BTreeSet<String> = row_keys(&pending.tx).map(str::to_owned).collect();
            if group.len() < GROUP_TRANSACTIONS_MAX && keys.is_disjoint(&rows) {
                keys.extend(rows);
                group.push(pending);
            } else {
                deferred.push(pending);
            }
        }
        *self.pending.borrow_mut() = deferred;
        group
    }

    async fn commit_group(&self, group: Vec<Pending>) {
        let mut combined = Transaction::default();
        for pending in &group {
            combined.conditions.extend(pending.tx.conditions.iter().cloned());
            combined.writes.extend(pending.tx.writes.iter().cloned());
        }
        let result = self.platform.commit(&combined).await;
        let conflict = matches!(&result, Err(e) if e.classify() == Category::Conflict);
        if conflict && group.len() > 1 {
            for pending in group {
                let result = self.platform.commit(&pending.tx).await;
                send_result(pending, result);
            }
            return;
        }
        for pending in group {
            let result = match &result {
                Ok(receipt) => Ok(*receipt),
                Err(e) => Err(copy_error(e)),
            };
            send_result(pending, result);
        }
    }
}

fn row_keys(tx: &Transaction) -> impl Iterator<Item = &str> {
    let conditions = tx.conditions.iter().map(|condition| condition.key.as_str());
    conditions.chain(tx.writes.iter().map(|write| write.key.as_str()))
}

fn copy_error(error: &Error) -> Error {
    match error.classify() {
        Category::NotCommitted => Error::unreachable(error),
        Category::MaybeCommitted => Error::response_lost(error),
        Category::Conflict => Error::conflict(error),
    }
}

fn send_result(pending: Pending, result: Result<CommitReceipt>) {
    // An error means that the caller no longer waits for the result.
    let _ = pending.reply.send(result);
}
