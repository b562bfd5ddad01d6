//! Reads crash notices from the log, so that a new entry knows the requests that are quarantined.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::LogOffset;
use celeryshed_observe::EventLine;
use celeryshed_platform::LogClient;
use celeryshed_wire::{CrashNotice, decode};

use super::decision_task::DecisionHandle;

/// Log stream of crash notices.
const CRASH_STREAM: &str = "crashes";

/// Interval between reads. Sidecars send notices to the entries directly; the log only serves
/// entries that missed them. A read costs about 100 bytes.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// Maximum number of records per read.
const READ_LIMIT_RECORDS: u32 = 256;

/// Older notices are ignored, since a quarantine ends after an hour.
const MAX_NOTICE_AGE: Duration = Duration::from_secs(3600);

/// Starts the task that reads crash notices until the process ends.
pub(super) fn spawn_crash_reader(log: Arc<dyn LogClient>, decisions: DecisionHandle) {
    tokio::spawn(async move {
        let mut next_offset = LogOffset(0);
        let mut ticks = tokio::time::interval(READ_PERIOD);
        loop {
            ticks.tick().await;
            while let Some(after_offset) = read_once(&*log, &decisions, next_offset).await {
                next_offset = after_offset;
            }
        }
    });
}

/// Reads one page and reports its notices. Returns the offset of the next page, or `None` if the
/// read failed or returned no records.
async fn read_once(
    log: &dyn LogClient,
    decisions: &DecisionHandle,
    next_offset: LogOffset,
) -> Option<LogOffset> {
    let reply = log.read(CRASH_STREAM, next_offset, READ_LIMIT_RECORDS).await.ok()?;
    let mut after_offset = next_offset;
    for entry in &reply.entries {
        after_offset = entry.offset.next();
        if reply.now.since(entry.appended_at) > MAX_NOTICE_AGE {
            continue;
        }
        match decode::<CrashNotice>(&entry.payload) {
            Ok(notice) => decisions.observe_crash(notice).await,
            Err(error) => {
                EventLine::new("crash_record_unreadable")
                    .field("offset", entry.offset)
                    .field("error", error)
                    .warn();
            }
        }
    }
    (after_offset > next_offset).then_some(after_offset)
}
