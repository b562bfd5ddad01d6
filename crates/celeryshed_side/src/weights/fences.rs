//! Registration of the fence number of this sidecar's engine commands.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{FenceNumber, InstanceName, ProcessIncarnation};
use celeryshed_observe::EventLine;
use celeryshed_platform::LogClient;
use celeryshed_wire::{FenceRegistration, encode};
use tokio::sync::watch;
use tokio::time::sleep;

/// Log stream of the registrations.
const FENCE_STREAM: &str = "fences";

/// Pause after the first failed registration; it doubles with each further failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause after a failed registration.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(10);

/// Appends a registration to the log, retries until an append is confirmed, and publishes its
/// offset as the fence number.
///
/// A registration whose reply was lost is appended again, and the later offset is the fence number.
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
    let mut pause = FIRST_RETRY_PAUSE;
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
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}
