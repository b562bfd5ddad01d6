//! Client trait of the instance list.

use async_trait::async_trait;
use celeryshed_wire::ListedInstance;

use crate::error::Result;

/// Client of the platform's instance list, which shows changes with a delay.
#[async_trait]
pub trait ListClient: Send + Sync {
    /// Returns the instances that the platform lists now.
    async fn instances(&self) -> Result<Vec<ListedInstance>>;
}
