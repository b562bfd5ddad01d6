//! Reads the crash notices of the log, so that a fresh entry knows what was convicted before.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::LogOffset;
use celeryshed_observe::EventLine;
use celeryshed_platform::LogClient;
use celeryshed_wire::{CrashNotice, decode};

use super::board::BoardHandle;

/// Stream of the crash notices.
const CRASH_STREAM: &str = "crashes";

/// Pause between two reads. Sidecars send notices to the entries directly; the log only serves
/// entries that missed them, and a read costs about 100 bytes.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// Records of one read.
const READ_LIMIT: u32 = 256;

/// Notices older than this no longer matter: convictions end after an hour.
const OLDEST_NOTICE: Duration = Duration::from_secs(3600);

/// Starts the task; it ends with the board.
pub(super) fn spawn_reader(log: Arc<dyn LogClient>, board: BoardHandle) {
    tokio::spawn(async move {
        let mut next = LogOffset(0);
        let mut ticks = tokio::time::interval(READ_PERIOD);
        loop {
            ticks.tick().await;
            while let Some(more_from) = read_once(&*log, &board, next).await {
                next = more_from;
            }
        }
    });
}

/// Reads once; returns the offset to go on from while there is more.
async fn read_once(log: &dyn LogClient, board: &BoardHandle, next: LogOffset) -> Option<LogOffset> {
    let reply = log.read(CRASH_STREAM, next, READ_LIMIT).await.ok()?;
    let mut after = next;
    for entry in &reply.entries {
        after = entry.offset.next();
        if reply.now.since(entry.appended_at) > OLDEST_NOTICE {
            continue;
        }
        match decode::<CrashNotice>(&entry.payload) {
            Ok(notice) => board.crash(notice).await,
            Err(error) => {
                EventLine::new("crash_record_unreadable")
                    .field("offset", entry.offset)
                    .field("error", error)
                    .warn();
            }
        }
    }
    (after > next).then_some(after)
}
