//! Fetches control records from a peer. Sidecars prefer peers to the store; entries ask a peer if
//! the store is slow or fails.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{LogPosition, common_derives};
use celeryshed_http::{CallLimits, HttpClient, HttpError};
use hyper::{Method, StatusCode};
use serde_bytes::ByteBuf;

use crate::decode::decode_peer_bytes;
use crate::log::{ControlLog, ControlPosition};
use crate::recency::RecordAge;
use crate::record::{ControlBatch, ControlRecord, ControlStream};
use crate::services::ServiceCatalog;

/// HTTP path at which entries and sidecars answer a [`ControlQuery`].
const CONTROL_PATH: &str = "/control";
/// Limit for connecting, for the head of the reply, and for each pause within its body.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Added to [`FETCH_TIMEOUT`] for the whole call, because a large configuration takes seconds to
/// arrive over a narrow link.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

common_derives! { index:
    /// Which control records a process needs.
    pub enum ControlScope {
        /// All records; used by entries.
        Everything,
        /// Records that concern weights; used by sidecars.
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
    /// A request for the control records that the sender lacks.
    #[derive(Copy)]
    pub struct ControlQuery {
        /// Position up to which the sender has read the records.
        pub position: ControlPosition,
        /// Which records the sender needs.
        pub scope: ControlScope,
        /// Whether the sender decodes the ages of declared versions.
        pub with_ages: bool,
        /// Whether the sender orders records by era, and not by offset only.
        pub with_eras: bool,
    }
}

common_derives! { wire:
    /// A [`ControlRecord`] as it is sent to a peer.
    struct FetchedRecord {
        key: String,
        position: LogPosition,
        value: Option<ByteBuf>,
    }

    /// The records of both streams that the sender of a [`ControlQuery`] lacks.
    pub struct ControlReply {
        operator: Vec<FetchedRecord>,
        endpoints: Vec<FetchedRecord>,
        /// Sent instead of the configuration's record if the scope is [`ControlScope::Weights`].
        services: Option<ServiceCatalog>,
        position: ControlPosition,
        /// Milliseconds since the read of the list of endpoints was sent to the store; none if it never
        /// was.
        list_age_ms: Option<u64>,
        /// Ages of declared versions by the record's key; those of unknown age are missing. None in
        /// replies to processes that didn't ask for ages, whose build may not decode them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        ages: Option<BTreeMap<String, FetchedAge>>,
    }

    /// A [`RecordAge`] as it is sent to a peer.
    struct FetchedAge {
        age_ms: u64,
        /// Whether the age is known, and not only limited.
        is_known: bool,
    }
}

/// A query to a peer that returned no records.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed, or the reply did not arrive in time.
    #[error(transparent)]
    Call(#[from] HttpError),
    /// The peer replied with a status other than 200.
    #[error("the peer refused with status {0}")]
    Refused(StatusCode),
    /// The body of the reply can't be decoded.
    #[error("the peer's answer is malformed: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
}

impl From<ControlRecord> for FetchedRecord {
    fn from(record: ControlRecord) -> Self {
        let value = record.value.map(|value| ByteBuf::from(value.to_vec()));
        Self { key: record.key, position: record.position, value }
    }
}

impl From<FetchedRecord> for ControlRecord {
    fn from(record: FetchedRecord) -> Self {
        let value = record.value.map(|value| Bytes::from(value.into_vec()));
        Self { key: record.key, position: record.position, value }
    }
}

impl FetchedAge {
    /// `None` for an unknown age, which isn't sent.
    fn new(age: RecordAge) -> Option<Self> {
        let age_ms = age.limit()?.as_millis() as u64;
        Some(Self { age_ms, is_known: matches!(age, RecordAge::Known(_)) })
    }
}

impl From<&FetchedAge> for RecordAge {
    fn from(fetched: &FetchedAge) -> Self {
        let age = Duration::from_millis(fetched.age_ms);
        if fetched.is_known { Self::Known(age) } else { Self::AtMost(age) }
    }
}

impl ControlReply {
    /// The reply for a peer with [`ControlScope::Everything`] that has read up to `position`.
    pub fn changed_since(log: &ControlLog, position: ControlPosition) -> Self {
        let records = |stream, from| {
            log.changed_since(stream, from).records.into_iter().map(FetchedRecord::from).collect()
        };
        Self {
            operator: records(ControlStream::Operator, position.operator),
            endpoints: records(ControlStream::Endpoints, position.endpoints),
            services: None,
            position: log.position(),
            list_age_ms: None,
            ages: None,
        }
    }

    /// The reply for a peer with [`ControlScope::Weights`]: it holds `services` instead of the
    /// record with the key `configuration`.
    pub(crate) fn for_weights(
        log: &ControlLog,
        position: ControlPosition,
        configuration: Option<&str>,
        services: Option<ServiceCatalog>,
    ) -> Self {
        let mut reply = Self::changed_since(log, position);
        reply.operator.retain(|record| configuration != Some(record.key.as_str()));
        Self { services, ..reply }
    }

    /// The reply with the time since the list of endpoints was read from the store.
    pub(crate) fn with_list_age(self, age: Option<Duration>) -> Self {
        Self { list_age_ms: age.map(|age| age.as_millis() as u64), ..self }
    }

    /// The reply with the ages of declared versions, by the record's key.
    pub(crate) fn with_version_ages(self, ages: impl Iterator<Item = (String, RecordAge)>) -> Self {
        let ages = ages.filter_map(|(key, age)| Some((key, FetchedAge::new(age)?)));
        Self { ages: Some(ages.collect()), ..self }
    }

    /// Ages of declared versions, by the record's key; `None` if the peer doesn't tell them.
    pub(crate) fn version_ages(&self) -> Option<BTreeMap<String, RecordAge>> {
        let ages = self.ages.as_ref()?.iter();
        Some(ages.map(|(key, age)| (key.clone(), RecordAge::from(age))).collect())
    }

    /// Time from the read of the list of endpoints to the sending of the reply; `None` if it was never
    /// read.
    pub(crate) fn list_age(&self) -> Option<Duration> {
        self.list_age_ms.map(Duration::from_millis)
    }

    /// The reply to a process that orders records by offset only: its own reads of the store must not
    /// seem older than what peers send.
    pub(crate) fn without_eras(mut self) -> Self {
        for records in [&mut self.operator, &mut self.endpoints] {
            records.retain(|record| !record.position.is_before_era());
            for record in records {
                record.position = record.position.without_era();
            }
        }
        self.position.operator = self.position.operator.without_era();
        self.position.endpoints = self.position.endpoints.without_era();
        self
    }

    /// Encodes the reply for the wire.
    pub fn encode(&self) -> Bytes {
        // Encoding fails only for types that this struct doesn't contain.
        rmp_serde::to_vec(self).unwrap_or_default().into()
    }

    /// Position up to which the replying process has read the records.
    pub(crate) fn position(&self) -> ControlPosition {
        self.position
    }

    /// Takes the services that were sent instead of the configuration.
    pub(crate) fn take_services(&mut self) -> Option<ServiceCatalog> {
        self.services.take()
    }

    /// The records as one batch per stream.
    pub fn into_batches(self) -> [(ControlStream, ControlBatch); 2] {
        let batch = |records: Vec<FetchedRecord>, end| ControlBatch {
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

/// Parses a request target such as `/control?operator=4&endpoints=9&scope=weights`; none if the
/// target has another path or an invalid position.
///
/// ```
/// use celeryshed_peering::{ControlScope, parse_control_query};
/// let query = parse_control_query("/control?operator=4&endpoints=9&scope=weights").unwrap();
/// assert_eq!(u64::from(query.position.endpoints), 9);
/// assert_eq!(query.scope, ControlScope::Weights);
/// assert!(parse_control_query("/other").is_none());
/// ```
pub fn parse_control_query(target: &str) -> Option<ControlQuery> {
    let (path, query) = target.split_once('?')?;
    if path != CONTROL_PATH {
        return None;
    }
    let mut position = ControlPosition::default();
    let mut scope = ControlScope::Everything;
    let mut with_ages = false;
    let mut with_eras = false;
    for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match key {
            "operator" => position.operator = parse_position(value)?,
            "endpoints" => position.endpoints = parse_position(value)?,
            "scope" if value == ControlScope::Weights.name() => scope = ControlScope::Weights,
            "ages" => with_ages = value == "1",
            "eras" => with_eras = value == "1",
            _ => {}
        }
    }
    Some(ControlQuery { position, scope, with_ages, with_eras })
}

/// Parses an encoded position; none if the text is no integer or encodes none.
fn parse_position(text: &str) -> Option<LogPosition> {
    text.parse::<u64>().ok()?.try_into().ok()
}

/// Sends the query to the peer at `address`.
pub async fn fetch_control(address: &str, query: ControlQuery) -> Result<ControlReply, FetchError> {
    let client = HttpClient::new(address, "application/msgpack");
    let ControlQuery { position, scope, with_ages, with_eras } = query;
    let target = format!(
        "{CONTROL_PATH}?operator={}&endpoints={}&scope={}&ages={}&eras={}",
        u64::from(position.operator),
        u64::from(position.endpoints),
        scope.name(),
        u8::from(with_ages),
        u8::from(with_eras)
    );
    let limits =
        CallLimits { total: FETCH_TIMEOUT + TRANSFER_TIMEOUT, ..CallLimits::from(FETCH_TIMEOUT) };
    let reply = client.call(Method::GET, &target, Bytes::new(), limits).await?;
    if reply.status != StatusCode::OK {
        return Err(FetchError::Refused(reply.status));
    }
    Ok(decode_peer_bytes(&reply.body)?)
}
