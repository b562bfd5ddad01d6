//! HTTP/1.1 connections of the entry and sidecar programs for small instances, which run without
//! rocket; built on `hyper`.
//!
//! [`HttpConnection`] carries one request at a time, [`HttpClient`] reuses one connection for
//! repeatable calls to an address, and [`ConnectionServer`] accepts connections until it is told to
//! drain.

mod activity;
mod client;
mod connection;
mod end;
mod exchange;
mod idle_limit;
mod open_connections;
mod request_body;
mod server;
mod status;

pub use client::{CONNECT_TIMEOUT, CallLimits, HttpClient, HttpResponse};
pub use connection::{HttpConnection, HttpError};
pub use exchange::ResponseBody;
pub use request_body::RequestBody;
pub use server::{ConnectionServer, ServerSettings};
pub use status::{FinalStatus, InvalidStatus};
