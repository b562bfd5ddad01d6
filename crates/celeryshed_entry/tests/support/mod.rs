//! Test rig: scripted engines, real sidecars and a real entry over loopback.

pub(crate) mod rig;
pub(crate) mod scripted;
