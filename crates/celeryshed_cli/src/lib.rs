//! The operators' command line.

pub mod publish;
