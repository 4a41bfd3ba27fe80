//! The memory that the bodies of all requests take together.
//!
//! The configuration limits each body. A host keeps the body of a request until a server has
//! responded, so that many large ones would use up its memory.

use crate::prelude::*;

/// Bytes of all bodies together. Twice as much, while the last ones are received, leaves room for the
/// rest of the process on machines with 160 MB.
const BODIES_BYTES_MAX: usize = 48 * 1024 * 1024;

/// Counts the bytes of all bodies.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyBudget(Rc<Cell<usize>>);

impl BodyBudget {
    /// Returns the part of a request that has no body yet.
    pub(crate) fn share(&self) -> BodyShare {
        BodyShare { budget: self.clone(), bytes: 0 }
    }
}

/// The part of one request; released when dropped.
#[derive(Debug)]
pub(crate) struct BodyShare {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyShare {
    /// Reserves more bytes; returns whether there was room for them.
    ///
    /// There is always room for the only body, so that the configuration may allow a larger one.
    pub(crate) fn reserve(&mut self, bytes: usize) -> bool {
        let used = self.budget.0.get();
        if used + bytes > BODIES_BYTES_MAX && used > self.bytes {
            return false;
        }
        self.budget.0.set(used + bytes);
        self.bytes += bytes;
        true
    }

    /// Gives all bytes back.
    pub(crate) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.0.set(self.budget.0.get() - bytes);
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.release();
    }
}
