//! One module per command.

pub(crate) mod burn;
pub(crate) mod check;
pub(crate) mod config;
pub(crate) mod contract;
pub(crate) mod demo;
pub(crate) mod drill;
pub(crate) mod measure;
pub(crate) mod model;
mod output;
pub(crate) mod standin;
