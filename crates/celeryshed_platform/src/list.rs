//! The instance list.

use async_trait::async_trait;
use celeryshed_wire::ListedInstance;

use crate::error::Result;

/// Client of the platform's lagging list of instances.
#[async_trait]
pub trait ListClient: Send + Sync {
    /// The instances as the platform lists them now.
    async fn instances(&self) -> Result<Vec<ListedInstance>>;
}
