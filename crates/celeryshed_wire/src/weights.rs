//! Manifests of model versions.

use celeryshed_base::{ContentDigest, ModelName, VersionName, common_derives};

common_derives! { wire:
    /// Lists the chunks of a version; its digest stands in the configuration.
    pub struct WeightManifest {
        /// The model.
        pub model: ModelName,
        /// The version.
        pub version: VersionName,
        /// Size of each chunk but the last, in bytes.
        pub chunk_bytes: u32,
        /// Size of all weights, in bytes.
        pub total_bytes: u64,
        /// Digest of each chunk, in order.
        pub chunks: Vec<ContentDigest>,
    }
}
