//! Shaped links.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::options::{REGION_LINK_BYTES_PER_S, SpreadMeasureOptions};

/// Bytes that a link carries in one piece; others may come between two pieces.
pub(super) const LINK_SLICE_BYTES: usize = 4096;

/// Unused time that a link makes up for. Senders of a real link have the next packet ready; here
/// a late timer would leave the link idle.
const TIMER_LATENESS: Duration = Duration::from_millis(20);

/// One-way latency within a region.
const NEAR_LATENCY: Duration = Duration::from_micros(250);

/// A first-in, first-out link of a fixed rate.
#[derive(Debug)]
pub(super) struct ShapedLink {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
    /// Bytes of distribution traffic carried.
    carried: AtomicU64,
}

impl ShapedLink {
    fn new(bytes_per_s: f64) -> Arc<Self> {
        let free_at = Mutex::new(Instant::now());
        Arc::new(Self { bytes_per_s, free_at, carried: AtomicU64::new(0) })
    }

    /// Queues `bytes`; returns when the last of them has passed.
    fn reserve(&self, bytes: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let start = (*free_at).max(now.checked_sub(TIMER_LATENESS).unwrap_or(now));
        *free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free_at
    }

    pub(super) fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }
}

/// The links that some traffic crosses.
#[derive(Clone, Debug)]
pub(super) struct LinkPath {
    links: Vec<Arc<ShapedLink>>,
    latency: Duration,
}

impl LinkPath {
    /// Waits for the one-way latency.
    pub(super) async fn travel(&self) {
        sleep(self.latency).await;
    }

    /// Passes `bytes` of live traffic, sent at once.
    pub(super) async fn pass_live(&self, bytes: usize) {
        self.pass(bytes).await;
    }

    /// Passes one slice of distribution traffic.
    pub(super) async fn pass_chunk_slice(&self, bytes: usize) {
        for link in &self.links {
            link.carried.fetch_add(bytes as u64, Ordering::Relaxed);
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
        let instances = (0..options.replicas).map(|_| ShapedLink::new(options.instance_rate()));
        Self {
            origin: ShapedLink::new(options.origin_rate()),
            instances: instances.collect(),
            regions: regions.collect(),
            region_count,
            region_latency: options.region_latency(),
            client_latency: options.client_latency(),
        }
    }

    /// Region of an instance.
    pub(super) fn region_of(&self, instance: usize) -> usize {
        instance % self.region_count
    }

    pub(super) fn between_instances(&self, from: usize, to: usize) -> LinkPath {
        let mut path = self.between_regions(self.region_of(from), self.region_of(to));
        path.links.push(self.instances[from].clone());
        path.links.push(self.instances[to].clone());
        path
    }

    /// From the origin, in the home region, to an instance.
    pub(super) fn origin_to(&self, to: usize) -> LinkPath {
        let mut path = self.between_regions(0, self.region_of(to));
        path.links.push(self.origin.clone());
        path.links.push(self.instances[to].clone());
        path
    }

    /// From a client through an entry in `entry_region` to an instance.
    pub(super) fn to_engine(&self, entry_region: usize, to: usize) -> LinkPath {
        let mut path = self.between_regions(entry_region, self.region_of(to));
        path.links.push(self.instances[to].clone());
        path.latency += self.client_latency;
        path
    }

    /// The way back.
    pub(super) fn to_client(&self, from: usize, entry_region: usize) -> LinkPath {
        let mut path = self.between_regions(self.region_of(from), entry_region);
        path.links.push(self.instances[from].clone());
        path.latency += self.client_latency;
        path
    }

    /// Bytes of distribution traffic that left the origin.
    pub(super) fn origin_bytes(&self) -> u64 {
        self.origin.carried()
    }

    /// Most bytes of distribution traffic over one direction of an inter-region link.
    pub(super) fn region_bytes(&self) -> u64 {
        self.regions.values().map(|link| link.carried()).max().unwrap_or_default()
    }

    /// Bytes of distribution traffic over each instance's link, both ways.
    pub(super) fn instance_bytes(&self) -> Vec<u64> {
        self.instances.iter().map(|link| link.carried()).collect()
    }

    fn between_regions(&self, from: usize, to: usize) -> LinkPath {
        match self.regions.get(&(from, to)) {
            Some(link) => LinkPath { links: vec![link.clone()], latency: self.region_latency },
            None => LinkPath { links: Vec::new(), latency: NEAR_LATENCY },
        }
    }
}
