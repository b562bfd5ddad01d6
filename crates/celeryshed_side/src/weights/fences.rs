//! The fence number of this sidecar's commands.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{FenceNumber, InstanceName, ProcessIncarnation};
use celeryshed_observe::EventLine;
use celeryshed_platform::LogClient;
use celeryshed_wire::{FenceRegistration, encode};
use tokio::sync::watch;
use tokio::time::sleep;

/// Stream of the registrations.
const FENCE_STREAM: &str = "fences";

/// First pause after a failed registration.
const FIRST_RETRY: Duration = Duration::from_millis(500);

/// Longest pause after a failed registration.
const RETRY_LIMIT: Duration = Duration::from_secs(10);

/// Appends a registration until the log confirms one.
///
/// A registration whose reply was lost is appended again: only a later offset counts then.
pub(super) async fn register(
    log: Arc<dyn LogClient>,
    instance: InstanceName,
    incarnation: ProcessIncarnation,
    fence: watch::Sender<Option<FenceNumber>>,
) {
    let registration = FenceRegistration { instance, incarnation };
    let record = match encode(&registration) {
        Ok(record) => record,
        Err(error) => {
            EventLine::new("fence_registration_invalid").field("error", error).error();
            return;
        }
    };
    let mut pause = FIRST_RETRY;
    loop {
        match log.append(FENCE_STREAM, vec![record.clone()]).await {
            Ok(offset) => {
                EventLine::new("fence_registered").field("fence", offset).info();
                fence.send_replace(Some(FenceNumber(offset.0)));
                return;
            }
            Err(error) => {
                EventLine::new("fence_registration_failed").field("error", error).warn();
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_LIMIT);
    }
}
