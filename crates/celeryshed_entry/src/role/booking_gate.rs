//! Implements the booking gate of the completions with the booking tasks.

use async_trait::async_trait;
use celeryshed_wire::{BookingForward, BookingReply};

use crate::bookings::BookingHandle;
use crate::completions::BookingGate;

#[async_trait]
impl BookingGate for BookingHandle {
    async fn book(&self, booking: BookingForward) -> BookingReply {
        Self::book(self, booking).await
    }
}
