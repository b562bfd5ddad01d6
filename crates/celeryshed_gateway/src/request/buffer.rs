//! Bounds the memory that unfinished answers take, over all requests of an entry.
//!
//! An endpoint in trouble may send bytes without end that never become an event or an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Part of the budget that a single answer or event may take.
const MAX_SINGLE_FRACTION: usize = 16;

/// The memory for unfinished answers of all requests.
#[derive(Clone, Debug)]
pub(crate) struct BufferBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// The answer doesn't fit into the memory that is left, or is larger than a single one may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BufferExceeded;

/// The part of a [`BufferBudget`] that one answer takes; returned when dropped.
#[derive(Debug)]
pub(crate) struct BufferLease {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
    }

    /// A lease without bytes.
    pub(crate) fn lease(&self) -> BufferLease {
        BufferLease { budget: self.clone(), bytes: 0 }
    }
}

impl BufferLease {
    /// Changes the lease to `bytes`.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BufferExceeded> {
        let BufferBudget { limit, used } = &self.budget;
        let others = used.load(Ordering::Relaxed) - self.bytes;
        if bytes > limit / MAX_SINGLE_FRACTION || others + bytes > *limit {
            return Err(BufferExceeded);
        }
        used.store(others + bytes, Ordering::Relaxed);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
