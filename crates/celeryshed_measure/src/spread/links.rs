//! Simulated links of limited bandwidth.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::options::{REGION_LINK_BYTES_PER_S, SpreadMeasureOptions};

/// Size of the slices in which chunks pass a link; slices of different chunks alternate.
pub(super) const LINK_SLICE_BYTES: usize = 4096;

/// Idle time of a link that later bytes may use. A timer that fires late keeps the next slice back,
/// while a sender on a real link has its next packet ready.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// One-way latency within a region.
const LOCAL_LATENCY: Duration = Duration::from_micros(250);

/// A first-in, first-out link of a fixed rate.
#[derive(Debug)]
pub(super) struct ShapedLink {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
    /// Bytes of distribution traffic that passed the link.
    chunk_bytes: AtomicU64,
}

impl ShapedLink {
    fn new(bytes_per_s: f64) -> Arc<Self> {
        let free_at = Mutex::new(Instant::now());
        Arc::new(Self { bytes_per_s, free_at, chunk_bytes: AtomicU64::new(0) })
    }

    /// Reserves the link for `bytes`; returns the time at which the last byte has passed.
    fn reserve(&self, bytes: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let start = (*free_at).max(now.checked_sub(MAX_CATCH_UP).unwrap_or(now));
        *free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free_at
    }

    pub(super) fn chunk_bytes(&self) -> u64 {
        self.chunk_bytes.load(Ordering::Relaxed)
    }
}

/// The links between two places, and the latency between the places.
#[derive(Clone, Debug)]
pub(super) struct LinkPath {
    links: Vec<Arc<ShapedLink>>,
    latency: Duration,
}

impl LinkPath {
    /// Waits for the one-way latency of the path.
    pub(super) async fn wait_latency(&self) {
        sleep(self.latency).await;
    }

    /// Waits until `bytes` of live traffic, sent in one piece, have passed all links.
    pub(super) async fn pass_live_bytes(&self, bytes: usize) {
        self.pass(bytes).await;
    }

    /// Waits until a slice of distribution traffic has passed all links, and counts its bytes.
    pub(super) async fn pass_chunk_slice(&self, bytes: usize) {
        for link in &self.links {
            link.chunk_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        self.pass(bytes).await;
    }

    async fn pass(&self, bytes: usize) {
        let passed = self.links.iter().map(|link| link.reserve(bytes)).max();
        if let Some(passed) = passed {
            sleep_until(passed).await;
        }
    }
}

/// All links of a deployment.
#[derive(Debug)]
pub(super) struct LinkNetwork {
    origin: Arc<ShapedLink>,
    instances: Vec<Arc<ShapedLink>>,
    /// By sending and receiving region.
    regions: BTreeMap<(usize, usize), Arc<ShapedLink>>,
    region_count: usize,
    region_latency: Duration,
    client_latency: Duration,
}

impl LinkNetwork {
    pub(super) fn new(options: &SpreadMeasureOptions) -> Self {
        let region_count = options.regions().len();
        let pairs = (0..region_count).flat_map(|from| (0..region_count).map(move |to| (from, to)));
        let regions = pairs.filter(|(from, to)| from != to);
        let regions = regions.map(|pair| (pair, ShapedLink::new(REGION_LINK_BYTES_PER_S)));
        let instances =
            (0..options.replicas).map(|_| ShapedLink::new(options.instance_bytes_per_s()));
        Self {
            origin: ShapedLink::new(options.origin_bytes_per_s()),
            instances: instances.collect(),
            regions: regions.collect(),
            region_count,
            region_latency: options.region_latency(),
            client_latency: options.client_latency(),
        }
    }

    /// Index of an instance's region.
    pub(super) fn region_of(&self, instance: usize) -> usize {
        instance % self.region_count
    }

    pub(super) fn between_instances(&self, from: usize, to: usize) -> LinkPath {
        let mut path = self.between_regions(self.region_of(from), self.region_of(to));
        path.links.push(self.instances[from].clone());
        path.links.push(self.instances[to].clone());
        path
    }

    /// Path from the origin, in the home region, to an instance.
    pub(super) fn origin_to_instance(&self, to: usize) -> LinkPath {
        let mut path = self.between_regions(0, self.region_of(to));
        path.links.push(self.origin.clone());
        path.links.push(self.instances[to].clone());
        path
    }

    /// Path from a client through an entry in `entry_region` to an instance.
    pub(super) fn client_to_instance(&self, entry_region: usize, to: usize) -> LinkPath {
        let mut path = self.between_regions(entry_region, self.region_of(to));
        path.links.push(self.instances[to].clone());
        path.latency += self.client_latency;
        path
    }

    /// Path from an instance through an entry in `entry_region` to a client.
    pub(super) fn instance_to_client(&self, from: usize, entry_region: usize) -> LinkPath {
        let mut path = self.between_regions(self.region_of(from), entry_region);
        path.links.push(self.instances[from].clone());
        path.latency += self.client_latency;
        path
    }

    /// Bytes of distribution traffic that left the origin.
    pub(super) fn origin_bytes(&self) -> u64 {
        self.origin.chunk_bytes()
    }

    /// Bytes of distribution traffic over the busiest direction of an inter-region link.
    pub(super) fn max_region_bytes(&self) -> u64 {
        self.regions.values().map(|link| link.chunk_bytes()).max().unwrap_or_default()
    }

    /// Bytes of distribution traffic over each instance's link, both ways.
    pub(super) fn instance_bytes(&self) -> Vec<u64> {
        self.instances.iter().map(|link| link.chunk_bytes()).collect()
    }

    fn between_regions(&self, from: usize, to: usize) -> LinkPath {
        match self.regions.get(&(from, to)) {
            Some(link) => LinkPath { links: vec![link.clone()], latency: self.region_latency },
            None => LinkPath { links: Vec::new(), latency: LOCAL_LATENCY },
        }
    }
}
