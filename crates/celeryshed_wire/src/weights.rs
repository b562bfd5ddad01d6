//! Manifests of model versions.

use celeryshed_base::{ContentDigest, ModelName, VersionName, common_derives};

common_derives! { wire:
    /// Lists the chunks of a version. The configuration refers to the manifest by its digest.
    pub struct WeightManifest {
        /// Name of the model.
        pub model: ModelName,
        /// Name of the version.
        pub version: VersionName,
        /// Size of every chunk except the last, in bytes.
        pub chunk_bytes: u32,
        /// Total size of the weights, in bytes.
        pub total_bytes: u64,
        /// Digest of each chunk, in order.
        pub chunks: Vec<ContentDigest>,
    }
}
