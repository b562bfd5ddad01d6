//! Passes sidecar reports and the crash notices of peers to the completion tasks.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_wire::{CrashNotice, EndpointReport};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{broadcast, mpsc, watch};

use crate::completions::CompletionsHandle;
use crate::configuration::CrashExchange;

/// Pause between two updates of the crash notices for peers. Sidecars notify running entries at
/// once; only entries that are starting ask peers.
const CRASH_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Most exchanges whose notices wait.
const LEARNED_QUEUE: usize = 16;

/// The ends of the channels of a [`CrashExchange`] that the completions use.
pub(super) struct CrashFeed {
    known: watch::Sender<Arc<Vec<CrashNotice>>>,
    learned: mpsc::Receiver<Vec<CrashNotice>>,
}

/// Creates the channels for the crash notices that revision exchanges carry.
pub(super) fn crash_exchange() -> (CrashExchange, CrashFeed) {
    let (known, known_receiver) = watch::channel(Arc::default());
    let (learned, learned_receiver) = mpsc::channel(LEARNED_QUEUE);
    let exchange = CrashExchange { known: known_receiver, learned };
    (exchange, CrashFeed { known, learned: learned_receiver })
}

/// Starts the tasks that pass reports and crash notices on.
pub(super) fn spawn_feeds(
    reports: broadcast::Receiver<Arc<EndpointReport>>,
    crashes: CrashFeed,
    completions: &CompletionsHandle,
) {
    tokio::spawn(pass_reports(reports, completions.clone()));
    tokio::spawn(pass_crashes(crashes, completions.clone()));
}

async fn pass_reports(
    mut reports: broadcast::Receiver<Arc<EndpointReport>>,
    completions: CompletionsHandle,
) {
    loop {
        match reports.recv().await {
            Ok(report) => completions.observe_report(EndpointReport::clone(&report)),
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

async fn pass_crashes(mut crashes: CrashFeed, completions: CompletionsHandle) {
    let mut ticks = tokio::time::interval(CRASH_UPDATE_INTERVAL);
    loop {
        tokio::select! {
            notices = crashes.learned.recv() => {
                let Some(notices) = notices else { return };
                for notice in notices {
                    completions.observe_crash(notice).await;
                }
            }
            _ = ticks.tick() => {
                crashes.known.send_replace(Arc::new(completions.recent_crashes().await));
            }
        }
    }
}
