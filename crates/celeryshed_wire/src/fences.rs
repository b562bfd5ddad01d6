//! Records of stream `fences`.

use celeryshed_base::{InstanceName, ProcessIncarnation, common_derives};

common_derives! { wire:
    /// A sidecar registers before its first command to its engine; the offset of the record is
    /// its fence number.
    pub struct FenceRegistration {
        /// Instance of the sidecar and its engine.
        pub instance: InstanceName,
        /// Incarnation of the sidecar.
        pub incarnation: ProcessIncarnation,
    }
}
