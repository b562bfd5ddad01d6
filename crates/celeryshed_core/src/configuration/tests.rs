//! Placeholder, replaced below.
