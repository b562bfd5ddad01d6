//! Bounds the memory that bodies and answers take, over all requests of an entry.
//!
//! An endpoint in trouble may send bytes without end, and callers may hold many large bodies open at
//! once, or not receive their answers.

mod storage;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

use self::storage::{ByteStorage, MAX_ALLOCATED_BYTES};

/// Capacity from which answers and events have pages of their own. Half of what a connection receives at
/// once, so that the waiting events of busy streams are among them.
const MIN_MAPPED_ANSWER_BYTES: usize = 16 * 1024;
/// Largest growth of a budget for the sake of a single lease.
const MAX_BUDGET_GROWTH: usize = 2;

/// How much of a budget a single lease may take. However many large leases there are, they leave room
/// for small ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseRule {
    /// The budget divided by this number, but no more than remains free beside it.
    Fraction(usize),
    /// As much as remains free beside it.
    FreeShare,
}

impl LeaseRule {
    /// Capacity from which a buffer has pages of its own. Bodies grow in small steps, in blocks that
    /// former ones have left.
    fn min_mapped_bytes(self) -> usize {
        match self {
            Self::Fraction(_) => MIN_MAPPED_ANSWER_BYTES,
            Self::FreeShare => MAX_ALLOCATED_BYTES,
        }
    }
}

/// Memory that all requests share.
#[derive(Clone, Debug)]
pub(crate) struct BufferBudget {
    limit: usize,
    rule: LeaseRule,
    used: Arc<AtomicUsize>,
}

/// The bytes don't fit into the memory that is left, or are more than a single lease may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BufferExceeded;

/// The part of a [`BufferBudget`] that one body or answer takes; returned when dropped.
#[derive(Debug)]
pub(crate) struct BufferLease {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    pub(crate) fn new(limit: usize, rule: LeaseRule) -> Self {
        Self { limit, rule, used: Arc::default() }
    }

    /// The same memory, large enough for a lease of `bytes` while there is no other, but no larger than
    /// [`MAX_BUDGET_GROWTH`] times the budget: the size may come from a configuration that doesn't
    /// know the machine.
    pub(crate) fn with_room_for(&self, bytes: usize) -> Self {
        let needed = match self.rule {
            LeaseRule::Fraction(parts) => bytes.saturating_mul(parts),
            LeaseRule::FreeShare => bytes.saturating_mul(2),
        };
        let max_limit = self.limit.saturating_mul(MAX_BUDGET_GROWTH);
        Self { limit: needed.clamp(self.limit, max_limit), ..self.clone() }
    }

    /// Bytes of all leases.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A lease without bytes.
    pub(crate) fn lease(&self) -> BufferLease {
        BufferLease { budget: self.clone(), bytes: 0 }
    }
}

impl BufferLease {
    /// Checks that the lease could be changed to `bytes`.
    pub(crate) fn check(&self, bytes: usize) -> Result<(), BufferExceeded> {
        let BufferBudget { limit, rule, used } = &self.budget;
        let left = limit.saturating_sub(used.load(Ordering::Relaxed) - self.bytes);
        let allowed = match rule {
            LeaseRule::Fraction(parts) => (left / 2).min(limit / parts),
            LeaseRule::FreeShare => left / 2,
        };
        if bytes > allowed { Err(BufferExceeded) } else { Ok(()) }
    }

    /// Changes the lease to `bytes`.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BufferExceeded> {
        self.check(bytes)?;
        let used = &self.budget.used;
        used.fetch_add(bytes, Ordering::Relaxed);
        used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes that are collected, and the memory that they take.
#[derive(Debug)]
pub(crate) struct LeasedBuffer {
    storage: ByteStorage,
    lease: BufferLease,
    /// Capacity above which the buffer grows only as far as it must.
    max_capacity: usize,
}

impl LeasedBuffer {
    pub(crate) fn new(lease: BufferLease, max_capacity: usize) -> Self {
        Self { storage: ByteStorage::Allocated(Vec::new()), lease, max_capacity }
    }

    pub(crate) fn as_slice(&self) -> &[u8] {
        self.storage.as_slice()
    }

    pub(crate) fn len(&self) -> usize {
        self.as_slice().len()
    }

    /// Copies `data`: a frame shares the much larger buffer into which its connection is read.
    pub(crate) fn append(&mut self, data: &[u8]) -> Result<(), BufferExceeded> {
        let length = self.len() + data.len();
        let capacity = self.storage.capacity();
        if length > capacity {
            let doubled = capacity.saturating_mul(2).min(self.max_capacity).max(length);
            let grown = if self.lease.check(doubled).is_ok() { doubled } else { length };
            self.lease.resize(grown)?;
            self.storage.grow(grown, self.lease.budget.rule.min_mapped_bytes())?;
        }
        self.storage.append(data);
        Ok(())
    }

    /// Removes the first `length` bytes, whose memory stays leased until their last copy is dropped.
    pub(crate) fn split_to(&mut self, length: usize) -> Result<Bytes, BufferExceeded> {
        let mut rest = Self::new(self.lease.budget.lease(), self.max_capacity);
        rest.append(&self.as_slice()[length..])?;
        let mut first = std::mem::replace(self, rest);
        first.storage.truncate(length);
        Ok(first.into_bytes())
    }

    /// The bytes, whose memory stays leased until their last copy is dropped.
    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for LeasedBuffer {
    fn as_ref(&self) -> &[u8] {
        self.as_slice()
    }
}
