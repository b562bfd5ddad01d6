//! The pieces that are stored at the endpoint, which holds those of one version at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use celeryshed_observe::EventLine;
use tokio::sync::{Mutex, MutexGuard};

use crate::platform::{Result, WeightPlatform};

/// The stored pieces, as far as this process knows.
#[derive(Debug, Default)]
struct StoredPieces {
    version: Option<u64>,
    pieces: BTreeSet<u32>,
}

/// Writes pieces to the endpoint, so that they outlast this process.
///
/// While a version is reserved for a load, pieces of other versions are not written: the endpoint
/// would load a mixture.
#[derive(Debug)]
pub(crate) struct EndpointStage<P> {
    platform: Arc<P>,
    stored: Mutex<StoredPieces>,
    is_reserved: AtomicBool,
    write_count: AtomicU64,
}

/// Exclusive use of the endpoint's stage until a load is ordered.
pub(crate) struct StageReservation<'s, P> {
    stage: &'s EndpointStage<P>,
    stored: MutexGuard<'s, StoredPieces>,
}

impl<P: WeightPlatform> EndpointStage<P> {
    pub(crate) fn new(platform: Arc<P>) -> Self {
        Self {
            platform,
            stored: Mutex::default(),
            is_reserved: AtomicBool::new(false),
            write_count: AtomicU64::new(0),
        }
    }

    /// Number of writes that this process has begun.
    pub(crate) fn write_count(&self) -> u64 {
        self.write_count.load(Ordering::Relaxed)
    }

    async fn write_piece(&self, model: &str, piece: u32, bytes: Bytes) -> Result<()> {
        self.write_count.fetch_add(1, Ordering::Relaxed);
        self.platform.write_piece(model, piece, bytes).await
    }

    /// Stores a piece of a version that is being collected, unless the stage is reserved. A piece
    /// that can't be stored is written again before the load. Returns whether it was stored.
    pub(crate) async fn write_through(
        &self,
        model: &str,
        version: u64,
        piece: u32,
        bytes: Bytes,
    ) -> bool {
        if self.is_reserved.load(Ordering::Relaxed) {
            return false;
        }
        let mut stored = self.stored.lock().await;
        if self.is_reserved.load(Ordering::Relaxed) {
            return false;
        }
        stored.select(version);
        let is_stored = self.write_piece(model, piece, bytes).await.is_ok();
        if is_stored {
            stored.pieces.insert(piece);
        }
        is_stored
    }

    /// Records that valid pieces of a version were found at the endpoint.
    pub(crate) async fn record_found(&self, version: u64, pieces: impl IntoIterator<Item = u32>) {
        let mut stored = self.stored.lock().await;
        stored.select(version);
        stored.pieces.extend(pieces);
    }

    /// Reserves the stage for the load of a version.
    pub(crate) async fn reserve(&self, version: u64) -> StageReservation<'_, P> {
        self.is_reserved.store(true, Ordering::Relaxed);
        let mut stored = self.stored.lock().await;
        stored.select(version);
        StageReservation { stage: self, stored }
    }
}

impl StoredPieces {
    /// Forgets the pieces of other versions, which are about to be replaced.
    fn select(&mut self, version: u64) {
        if self.version.replace(version) != Some(version) {
            self.pieces.clear();
        }
    }
}

impl<P: WeightPlatform> StageReservation<'_, P> {
    /// Stores the pieces that the endpoint lacks, and returns whether that succeeded.
    pub(crate) async fn write(&mut self, model: &str, pieces: &BTreeMap<u32, Bytes>) -> bool {
        for (piece, bytes) in pieces {
            if self.stored.pieces.contains(piece) {
                continue;
            }
            if let Err(error) = self.stage.write_piece(model, *piece, bytes.clone()).await {
                EventLine::new("stage_failed").field("piece", piece).field("error", error).warn();
                return false;
            }
            self.stored.pieces.insert(*piece);
        }
        true
    }

    /// Records that pieces at the endpoint are damaged.
    pub(crate) fn record_damaged(&mut self, damaged: &[u32]) {
        for piece in damaged {
            self.stored.pieces.remove(piece);
        }
    }
}

impl<P> Drop for StageReservation<'_, P> {
    fn drop(&mut self) {
        self.stage.is_reserved.store(false, Ordering::Relaxed);
    }
}
