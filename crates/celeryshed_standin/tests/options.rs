//! Errors for invalid options name the option and the valid values.

use celeryshed_standin::engine::{EngineOptions, RawEngineOptions};
use celeryshed_standin::platform::{
    BlobOptions, ListOptions, LogOptions, RawBlobOptions, RawListOptions, RawLogOptions,
};
use celeryshed_standin::service::{RawServiceOptions, ServiceOptions};
use celeryshed_standin::{Result, StandinError};

fn rejected_key<T>(result: Result<T>) -> &'static str {
    match result {
        Err(StandinError::Option { key, expected, .. }) => {
            assert!(!expected.is_empty());
            key
        }
        Err(error) => panic!("{error}"),
        Ok(_) => "",
    }
}

/// Guards against accepting options that make a stand-in hang or divide by zero.
#[test]
fn invalid_options_are_rejected() {
    let engine = |raw| rejected_key(EngineOptions::try_from(raw));
    let blobs = |raw| rejected_key(BlobOptions::try_from(raw));
    let default = RawEngineOptions::default;
    assert_eq!(engine(default()), "");
    assert_eq!(engine(RawEngineOptions { slots: 0, ..default() }), "slots");
    assert_eq!(engine(RawEngineOptions { tokens_per_s: 0, ..default() }), "tokens_per_s");
    let raw = RawEngineOptions { event_loss_permille: 1001, ..default() };
    assert_eq!(engine(raw), "event_loss_permille");
    let raw = RawEngineOptions { initial_version: Some("v1".to_owned()), ..default() };
    assert_eq!(engine(raw), "initial_version");
    let raw = RawEngineOptions { crash_marker: String::new(), ..default() };
    assert_eq!(engine(raw), "crash_marker");

    assert_eq!(blobs(RawBlobOptions::origin()), "");
    assert_eq!(blobs(RawBlobOptions::store(Some("127.0.0.1:9".to_owned()))), "");
    assert_eq!(blobs(RawBlobOptions::store(Some("localhost:9".to_owned()))), "pull_from");
    assert_eq!(blobs(RawBlobOptions { bytes_per_s: 0, ..RawBlobOptions::origin() }), "bytes_per_s");

    let raw = RawLogOptions { appends_per_s: 0, ..RawLogOptions::default() };
    assert_eq!(rejected_key(LogOptions::try_from(raw)), "appends_per_s");
    let raw = RawListOptions { lag_ms: 600_001, ..RawListOptions::default() };
    assert_eq!(rejected_key(ListOptions::try_from(raw)), "lag_ms");
    let raw = RawServiceOptions { crash_marker: String::new(), ..RawServiceOptions::default() };
    assert_eq!(rejected_key(ServiceOptions::try_from(raw)), "crash_marker");
}
