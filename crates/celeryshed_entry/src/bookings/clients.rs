//! Client traits for sidecars and other entries.

use async_trait::async_trait;
use celeryshed_core::booking::{DispatchResult, SealResult};
use celeryshed_wire::{AttemptRequest, BookingForward, BookingReply, SealRequest, ServiceAnswer};

/// Client for bookings that sidecars run.
#[async_trait]
pub trait DispatchClient: Send + Sync {
    /// Sends a booking to the sidecar at `address` and waits for its result.
    ///
    /// Returns [`DispatchResult::NotRun`] only when the sidecar reported it or when no byte of the
    /// request was sent. Without a result, a booking that may have run is
    /// [`DispatchResult::Unknown`].
    async fn dispatch(
        &self,
        address: &str,
        request: AttemptRequest,
    ) -> DispatchResult<ServiceAnswer>;

    /// Asks the sidecar at `address` to seal a claim, so that the claim can't run later.
    async fn seal(&self, address: &str, request: SealRequest) -> SealResult<ServiceAnswer>;
}

/// A forwarded booking for which no reply arrived.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("forwarding a booking to entry {address} failed: {reason}")]
pub struct ForwardError {
    /// IP address and port of the entry.
    pub address: String,
    /// Text of the underlying error, such as a timeout or an unexpected HTTP status.
    pub reason: String,
    /// Whether the entry may have received the booking, and so may still serve it.
    pub maybe_received: bool,
}

/// Client for bookings that other entries serve.
#[async_trait]
pub trait ForwardClient: Send + Sync {
    /// Forwards a booking to the entry at `address` and waits for its reply.
    async fn forward(
        &self,
        address: &str,
        booking: &BookingForward,
    ) -> Result<BookingReply, ForwardError>;
}
