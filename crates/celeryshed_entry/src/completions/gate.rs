//! The interface between the callers' routes and the bookings.

use async_trait::async_trait;
use celeryshed_wire::{BookingForward, BookingReply};

/// Runs calls that carry an idempotency key.
#[async_trait]
pub trait BookingGate: Send + Sync {
    /// Runs a booking exactly once; a repeated key gets the recorded answer.
    async fn book(&self, booking: BookingForward) -> BookingReply;
}
