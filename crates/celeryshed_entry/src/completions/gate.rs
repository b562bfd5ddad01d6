//! The hand-over of bookings.

use async_trait::async_trait;
use celeryshed_wire::{BookingForward, BookingReply};

/// The task that runs bookings.
#[async_trait]
pub trait BookingGate: Send + Sync {
    /// Runs a booking exactly once, or returns its recorded answer.
    async fn book(&self, booking: BookingForward) -> BookingReply;
}
