//! Placeholder until the first module lands.
