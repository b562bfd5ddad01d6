//! Connects the completions with the membership's reports and the peers' crash notices.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_wire::{CrashNotice, EndpointReport};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{broadcast, mpsc, watch};

use crate::completions::CompletionsHandle;
use crate::configuration::CrashExchange;

/// Pause between two looks at the crash notices; sidecars tell running entries at once, and only
/// entries that start ask for them.
const CRASH_PERIOD: Duration = Duration::from_secs(1);

/// Exchanges whose notices may wait.
const LEARNED_AHEAD: usize = 16;

/// The other ends of a [`CrashExchange`].
pub(super) struct CrashFeed {
    known: watch::Sender<Arc<Vec<CrashNotice>>>,
    learned: mpsc::Receiver<Vec<CrashNotice>>,
}

/// Channels for the crash notices that travel with revision exchanges.
pub(super) fn crash_exchange() -> (CrashExchange, CrashFeed) {
    let (known, known_watch) = watch::channel(Arc::default());
    let (learned, learned_inbox) = mpsc::channel(LEARNED_AHEAD);
    let exchange = CrashExchange { known: known_watch, learned };
    (exchange, CrashFeed { known, learned: learned_inbox })
}

/// Starts the tasks.
pub(super) fn spawn_feeds(
    reports: broadcast::Receiver<Arc<EndpointReport>>,
    crashes: CrashFeed,
    completions: &CompletionsHandle,
) {
    tokio::spawn(follow_reports(reports, completions.clone()));
    tokio::spawn(follow_crashes(crashes, completions.clone()));
}

async fn follow_reports(
    mut reports: broadcast::Receiver<Arc<EndpointReport>>,
    completions: CompletionsHandle,
) {
    loop {
        match reports.recv().await {
            Ok(report) => completions.report(EndpointReport::clone(&report)),
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

async fn follow_crashes(mut crashes: CrashFeed, completions: CompletionsHandle) {
    let mut ticks = tokio::time::interval(CRASH_PERIOD);
    loop {
        tokio::select! {
            notices = crashes.learned.recv() => {
                let Some(notices) = notices else { return };
                for notice in notices {
                    completions.crash(notice).await;
                }
            }
            _ = ticks.tick() => {
                crashes.known.send_replace(Arc::new(completions.recent_crashes().await));
            }
        }
    }
}
