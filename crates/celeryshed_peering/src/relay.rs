//! Control records from a peer: the way around a store that a process can't reach.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{LogOffset, common_derives};
use celeryshed_http::{CallTimeouts, HttpClient, HttpError};
use hyper::{Method, StatusCode};
use serde_bytes::ByteBuf;

use crate::log::{ControlLog, ControlPosition};
use crate::record::{ControlBatch, ControlRecord, ControlStream};
use crate::services::ServicesNotice;

/// Path of the relay at each entry.
const RELAY_PATH: &str = "/control";
/// Longest time that a peer may take to begin its answer, and longest silence within it.
const RELAY_LIMIT: Duration = Duration::from_millis(600);
/// Longest time that an answer may take to arrive: a large configuration crosses a narrow link.
const TRANSFER_LIMIT: Duration = Duration::from_secs(5);

common_derives! { index:
    /// What a process follows.
    pub enum ControlScope {
        /// Everything, as entries do.
        Everything,
        /// What concerns weights, as sidecars do.
        Weights,
    }
}

impl ControlScope {
    fn name(self) -> &'static str {
        match self {
            Self::Everything => "everything",
            Self::Weights => "weights",
        }
    }
}

common_derives! { value:
    /// What a peer asks for.
    #[derive(Copy)]
    pub struct RelayQuery {
        /// Up to where it knows the records.
        pub position: ControlPosition,
        /// What it follows.
        pub scope: ControlScope,
    }
}

common_derives! { wire:
    /// A record on its way between processes.
    struct RelayRecord {
        key: String,
        offset: u64,
        value: Option<ByteBuf>,
    }

    /// The records of both streams that the caller lacks.
    pub struct RelayAnswer {
        operator: Vec<RelayRecord>,
        endpoints: Vec<RelayRecord>,
        /// In place of the configuration, for a caller that follows weights only.
        services: Option<ServicesNotice>,
        position: ControlPosition,
    }
}

/// A peer that gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] HttpError),
    /// The peer refused.
    #[error("the peer refused with status {0}")]
    Refused(StatusCode),
    /// The answer can't be read.
    #[error("the peer's answer is malformed: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
}

impl From<ControlRecord> for RelayRecord {
    fn from(record: ControlRecord) -> Self {
        let value = record.value.map(|value| ByteBuf::from(value.to_vec()));
        Self { key: record.key, offset: record.offset.0, value }
    }
}

impl From<RelayRecord> for ControlRecord {
    fn from(record: RelayRecord) -> Self {
        let value = record.value.map(|value| Bytes::from(value.into_vec()));
        Self { key: record.key, offset: LogOffset(record.offset), value }
    }
}

impl RelayAnswer {
    /// The answer to a caller that knows the records before `position`.
    pub fn since(log: &ControlLog, position: ControlPosition) -> Self {
        let records = |stream, from| {
            log.since(stream, from).records.into_iter().map(RelayRecord::from).collect()
        };
        Self {
            operator: records(ControlStream::Operator, position.operator),
            endpoints: records(ControlStream::Endpoints, position.endpoints),
            services: None,
            position: log.position(),
        }
    }

    /// The answer to a caller that follows weights only: `services` replace the record at
    /// `configuration`.
    pub(crate) fn for_weights(
        log: &ControlLog,
        position: ControlPosition,
        configuration: Option<&str>,
        services: Option<ServicesNotice>,
    ) -> Self {
        let mut answer = Self::since(log, position);
        answer.operator.retain(|record| configuration != Some(record.key.as_str()));
        Self { services, ..answer }
    }

    /// The answer as bytes.
    pub fn encode(&self) -> Bytes {
        // Plain data without maps of unknown types always encodes.
        rmp_serde::to_vec(self).unwrap_or_default().into()
    }

    /// Up to where the answering process knows the records.
    pub(crate) fn position(&self) -> ControlPosition {
        self.position
    }

    /// The services in place of a configuration.
    pub(crate) fn take_services(&mut self) -> Option<ServicesNotice> {
        self.services.take()
    }

    /// Both streams as batches.
    pub fn into_batches(self) -> [(ControlStream, ControlBatch); 2] {
        let batch = |records: Vec<RelayRecord>, end| ControlBatch {
            records: records.into_iter().map(ControlRecord::from).collect(),
            end,
            is_snapshot: false,
        };
        [
            (ControlStream::Operator, batch(self.operator, self.position.operator)),
            (ControlStream::Endpoints, batch(self.endpoints, self.position.endpoints)),
        ]
    }
}

/// Reads a relay request's target; none if it is another one.
///
/// ```
/// use celeryshed_peering::{ControlScope, parse_relay_query};
/// let query = parse_relay_query("/control?operator=4&endpoints=9&scope=weights").unwrap();
/// assert_eq!(query.position.endpoints.0, 9);
/// assert_eq!(query.scope, ControlScope::Weights);
/// assert!(parse_relay_query("/other").is_none());
/// ```
pub fn parse_relay_query(target: &str) -> Option<RelayQuery> {
    let (path, query) = target.split_once('?')?;
    if path != RELAY_PATH {
        return None;
    }
    let mut position = ControlPosition::default();
    let mut scope = ControlScope::Everything;
    for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match key {
            "operator" => position.operator = LogOffset(value.parse().ok()?),
            "endpoints" => position.endpoints = LogOffset(value.parse().ok()?),
            "scope" if value == ControlScope::Weights.name() => scope = ControlScope::Weights,
            _ => {}
        }
    }
    Some(RelayQuery { position, scope })
}

/// Asks the process at `address` for what the query says.
pub async fn fetch_control(address: &str, query: RelayQuery) -> Result<RelayAnswer, RelayError> {
    let client = HttpClient::new(address, "application/msgpack");
    let RelayQuery { position, scope } = query;
    let target = format!(
        "{RELAY_PATH}?operator={}&endpoints={}&scope={}",
        position.operator,
        position.endpoints,
        scope.name()
    );
    let timeouts = CallTimeouts {
        connect: RELAY_LIMIT,
        head: RELAY_LIMIT,
        idle: RELAY_LIMIT,
        total: RELAY_LIMIT + TRANSFER_LIMIT,
    };
    let reply = client.call(Method::GET, &target, Bytes::new(), timeouts).await?;
    if reply.status != StatusCode::OK {
        return Err(RelayError::Refused(reply.status));
    }
    Ok(rmp_serde::from_slice(&reply.body)?)
}
