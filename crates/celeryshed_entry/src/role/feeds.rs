//! Carries messages between the entry's tasks.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_wire::{CrashNotice, EndpointReport};
use tokio::sync::broadcast::{self, error::RecvError};
use tokio::sync::{mpsc, watch};
use tokio::time::interval;

use crate::completions::CompletionsHandle;
use crate::configuration::CrashExchange;

/// Lists of learned notices that may wait; each comes from one exchange with a peer.
const LEARNED_QUEUE: usize = 16;

/// Pause between looks at the notices in force, which are only told to entries that start.
const KNOWN_INTERVAL: Duration = Duration::from_secs(1);

/// Passes the sidecars' reports on to routing.
pub(super) async fn feed_reports(
    mut reports: broadcast::Receiver<Arc<EndpointReport>>,
    completions: CompletionsHandle,
) {
    loop {
        match reports.recv().await {
            Ok(report) => completions.report(EndpointReport::clone(&report)),
            // Later reports say the same anew.
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

/// The ends of a crash exchange that belong to the requests' side.
pub(super) struct CrashFeed {
    known: watch::Sender<Arc<Vec<CrashNotice>>>,
    learned: mpsc::Receiver<Vec<CrashNotice>>,
}

/// An exchange and its feed.
pub(super) fn crash_exchange() -> (CrashExchange, CrashFeed) {
    let (known_sender, known) = watch::channel(Arc::default());
    let (learned, learned_receiver) = mpsc::channel(LEARNED_QUEUE);
    let feed = CrashFeed { known: known_sender, learned: learned_receiver };
    (CrashExchange { known, learned }, feed)
}

impl CrashFeed {
    /// Takes notices from peers, and keeps the known ones current for them.
    pub(super) async fn run(mut self, completions: CompletionsHandle) {
        let mut looks = interval(KNOWN_INTERVAL);
        loop {
            tokio::select! {
                _ = looks.tick() => {
                    let known = completions.recent_crashes().await;
                    self.known.send_replace(Arc::new(known));
                }
                learned = self.learned.recv() => {
                    let Some(notices) = learned else { return };
                    for notice in notices {
                        completions.crash(notice).await;
                    }
                }
            }
        }
    }
}
