//! Many small transactions in few commits.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use ntex::channel::oneshot;

use crate::error::{Category, Error, Result};
use crate::table::{Committed, Platform, Transaction};

/// Transactions in one commit.
const GROUP_MAX: usize = 64;

struct Pending {
    tx: Transaction,
    reply: oneshot::Sender<Result<Committed>>,
}

/// Commits transactions that arrive while a commit is under way together in the next one.
///
/// A group is all or nothing, so when one condition in it does not hold, its
/// transactions are committed one by one. No two transactions of a group touch
/// the same row.
pub struct GroupCommit {
    platform: Rc<dyn Platform>,
    pending: RefCell<Vec<Pending>>,
    running: Cell<bool>,
}

impl GroupCommit {
    /// Makes a group for one thread.
    pub fn new(platform: Rc<dyn Platform>) -> Rc<Self> {
        Rc::new(GroupCommit { platform, pending: RefCell::default(), running: Cell::new(false) })
    }

    /// Commits a transaction, together with others.
    ///
    /// # Errors
    ///
    /// Fails as [`Platform::commit`] does.
    pub async fn commit(self: &Rc<Self>, tx: Transaction) -> Result<Committed> {
        let (reply, result) = oneshot::channel();
        self.pending.borrow_mut().push(Pending { tx, reply });
        if !self.running.replace(true) {
            let this = self.clone();
            ntex::rt::spawn(async move { this.run().await });
        }
        result.await.unwrap_or_else(|_| Err(Error::answer_lost("the group was given up")))
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

    /// Takes transactions with distinct rows, in the order of their arrival.
    fn take_group(&self) -> Vec<Pending> {
        let mut keys = BTreeSet::new();
        let (mut group, mut later) = (Vec::new(), Vec::new());
        for pending in self.pending.borrow_mut().drain(..) {
            let rows: BTreeSet<String> = touched(&pending.tx).map(str::to_owned).collect();
            if group.len() < GROUP_MAX && keys.is_disjoint(&rows) {
                keys.extend(rows);
                group.push(pending);
            } else {
                later.push(pending);
            }
        }
        *self.pending.borrow_mut() = later;
        group
    }

    async fn commit_group(&self, group: Vec<Pending>) {
        let mut joined = Transaction::default();
        for pending in &group {
            joined.conditions.extend(pending.tx.conditions.iter().cloned());
            joined.writes.extend(pending.tx.writes.iter().cloned());
        }
        let result = self.platform.commit(&joined).await;
        let conflict = matches!(&result, Err(e) if e.classify() == Category::Conflict);
        if conflict && group.len() > 1 {
            for pending in group {
                let result = self.platform.commit(&pending.tx).await;
                answer(pending, result);
            }
            return;
        }
        for pending in group {
            let result = match &result {
                Ok(committed) => Ok(*committed),
                Err(e) => Err(same_error(e)),
            };
            answer(pending, result);
        }
    }
}

fn touched(tx: &Transaction) -> impl Iterator<Item = &str> {
    let conditions = tx.conditions.iter().map(|condition| condition.key.as_str());
    conditions.chain(tx.writes.iter().map(|write| write.key.as_str()))
}

fn same_error(error: &Error) -> Error {
    match error.classify() {
        Category::NotDone => Error::unreachable(error),
        Category::Unknown => Error::answer_lost(error),
        Category::Conflict => Error::conflict(error),
    }
}

fn answer(pending: Pending, result: Result<Committed>) {
    // A caller that has gone away needs no result.
    let _ = pending.reply.send(result);
}
