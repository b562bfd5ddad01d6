//! HTTP/1.1 connections of the thin entries and sidecars, on `hyper`.
//!
//! [`HttpConnection`] carries one request to an endpoint, [`HttpClient`] keeps a connection to a
//! dependency, and [`ConnectionServer`] accepts connections until it is told to drain.

mod client;
mod connection;
mod server;

pub use client::{CONNECT_TIMEOUT, CallTimeouts, HttpClient, HttpReply};
pub use connection::{HttpConnection, HttpError};
pub use server::{ConnectionServer, ServerSettings};
