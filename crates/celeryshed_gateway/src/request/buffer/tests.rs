//! Leases of a shared budget.

use super::storage::ByteStorage;
use super::{BufferBudget, BufferExceeded, LeaseRule, LeasedBuffer};

/// Guards against large bodies that leave no room for small ones.
#[test]
fn large_leases_leave_room_for_small_ones() {
    let budget = BufferBudget::new(1000, LeaseRule::FreeShare);
    let mut leases = Vec::new();
    for bytes in [500, 250, 125, 62] {
        let mut lease = budget.lease();
        assert_eq!(lease.resize(bytes + 1), Err(BufferExceeded), "{bytes}");
        assert_eq!(lease.resize(bytes), Ok(()), "{bytes}");
        leases.push(lease);
    }
    assert_eq!(budget.lease().check(31), Ok(()));
    leases.clear();
    assert_eq!(budget.lease().check(500), Ok(()));
}

/// Guards against a largest body that is refused although it is the only one.
#[test]
fn largest_single_lease_fits() {
    for (rule, limit) in [(LeaseRule::FreeShare, 1100), (LeaseRule::Fraction(16), 9000)] {
        let budget = BufferBudget::new(limit, rule).with_room_for(1000);
        let mut lease = budget.lease();
        assert_eq!(lease.resize(1000), Ok(()), "{rule:?}");
        assert_eq!(lease.resize(1001), Err(BufferExceeded), "{rule:?}");
    }
}

/// Guards against a largest body of the configuration that exceeds the machine's memory.
#[test]
fn single_lease_does_not_lift_the_budget_without_end() {
    for bytes in [1_000_000, usize::MAX] {
        let budget = BufferBudget::new(1000, LeaseRule::FreeShare).with_room_for(bytes);
        let mut lease = budget.lease();
        assert_eq!(lease.resize(1000), Ok(()));
        assert_eq!(lease.resize(1001), Err(BufferExceeded));
    }
}

/// Guards against answers that exceed their share or the budget, and against large ones that leave no
/// room for the events of other streams.
#[test]
fn answers_share_the_budget() {
    let budget = BufferBudget::new(160, LeaseRule::Fraction(16));
    let mut leases: Vec<_> = (0..15).map(|_| budget.lease()).collect();
    for lease in &mut leases {
        assert_eq!(lease.resize(11), Err(BufferExceeded));
        assert_eq!(lease.resize(10), Ok(()));
    }
    for (refused, bytes) in [(6, 5), (3, 2), (2, 1), (2, 1)] {
        let mut lease = budget.lease();
        assert_eq!(lease.resize(refused), Err(BufferExceeded));
        assert_eq!(lease.resize(bytes), Ok(()));
        leases.push(lease);
    }
    assert_eq!(budget.lease().resize(1), Err(BufferExceeded));
    leases.truncate(14);
    assert_eq!(budget.lease().resize(10), Ok(()));
}

/// Guards against waiting events in memory that the allocator keeps once they have been dropped.
#[test]
fn bytes_of_a_whole_read_have_pages_of_their_own() {
    for bytes in [16 * 1024, 32 * 1024, 64 * 1024] {
        let lease = BufferBudget::new(1 << 21, LeaseRule::Fraction(16)).lease();
        let mut buffer = LeasedBuffer::new(lease, usize::MAX);
        buffer.append(&vec![1; bytes]).unwrap();
        assert!(matches!(buffer.storage, ByteStorage::Mapped { .. }), "{bytes} bytes");
    }
}
