//! Traits at the edge of the process: sidecars and other entries.

use async_trait::async_trait;
use celeryshed_core::booking::{DispatchResult, SealResult};
use celeryshed_wire::{AttemptRequest, BookingForward, BookingReply, SealRequest, ServiceAnswer};

/// Client of the sidecars.
#[async_trait]
pub trait SideDispatch: Send + Sync {
    /// Hands a booking over to the sidecar at `address`.
    ///
    /// [`DispatchResult::NotRun`] is allowed only when the sidecar said so or when no byte of the
    /// request was sent; any doubt is [`DispatchResult::Unknown`].
    async fn dispatch(
        &self,
        address: &str,
        request: AttemptRequest,
    ) -> DispatchResult<ServiceAnswer>;

    /// Asks the sidecar at `address` to seal a claim.
    async fn seal(&self, address: &str, request: SealRequest) -> SealResult<ServiceAnswer>;
}

/// A booking that another entry didn't reply to.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entry {address} didn't reply to a forwarded booking: {reason}")]
pub struct ForwardFailure {
    /// The entry's address.
    pub address: String,
    /// The reason.
    pub reason: String,
    /// Whether the entry may have received the booking.
    pub maybe_received: bool,
}

/// Client of the other entries.
#[async_trait]
pub trait EntryForward: Send + Sync {
    /// Forwards a booking to the entry at `address`.
    async fn forward(
        &self,
        address: &str,
        booking: &BookingForward,
    ) -> Result<BookingReply, ForwardFailure>;
}
