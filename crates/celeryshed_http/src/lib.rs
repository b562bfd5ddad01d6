//! HTTP/1.1 connections of the thin entries and sidecars, on `hyper`.
//!
//! [`HttpChannel`] carries one request to an endpoint, [`HttpClient`] keeps a connection to a
//! dependency, and [`ConnectionServer`] accepts connections until it is told to drain.

mod channel;
mod client;
mod server;

pub use channel::{ChannelError, HttpChannel};
pub use client::{CONNECT_LIMIT, CallLimits, HttpClient, HttpReply};
pub use server::{ConnectionServer, ServerSettings};
