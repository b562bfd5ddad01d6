//! Placeholder until this module lands.
