//! Records of stream `fences`.

use celeryshed_base::{InstanceName, ProcessIncarnation, common_derives};

common_derives! { wire:
    /// Appended by a sidecar before the first command to its engine. The offset of the record
    /// becomes the sidecar's fence number.
    pub struct FenceRegistration {
        /// Instance that runs the sidecar and its engine.
        pub instance: InstanceName,
        /// Incarnation of the sidecar.
        pub incarnation: ProcessIncarnation,
    }
}
