//! Which piece a sidecar fetches next, and where from.
//!
//! Load pattern: all sidecars want a new version at once, while the origin's link carries one copy
//! in the time in which each sidecar's own link does. Every sidecar ranks all of them in the same
//! way for each piece. The first of all fetches the piece from the origin, the first of each other
//! region fetches it for its region, and within a region whoever has a piece passes it on. Later
//! ranks step in when an earlier one takes too long.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{MonoTime, RegionName, common_derives};

use super::PieceSet;
use crate::rendezvous::rendezvous;

/// Pieces that are fetched at once.
const MAX_FETCHES: usize = 5;
/// Pieces that are fetched from one place at once.
const MAX_FETCHES_EACH: usize = 2;
/// Pieces that one sidecar fetches from the origin at once: it may rank first for several of the last.
const MAX_ORIGIN_FETCHES: usize = 3;
/// Time after which the next rank fetches a piece from the origin, in times of one copy.
const ORIGIN_STEP: f64 = 1.25;
/// Pieces that are on their way from the origin at once, over all sidecars: enough to keep its link
/// busy until notices of their arrival are heard, and few enough that the first ones arrive early
/// and spread meanwhile.
const ORIGIN_WINDOW: usize = 16;
/// Time in which every sidecar that fetches the version is heard of again and again; one that is
/// not heard for as long has no rank.
const HEARD_WITHIN: Duration = Duration::from_millis(1200);
/// Time after which the next rank of a region fetches a piece from another region.
const REGION_STEP: Duration = Duration::from_millis(900);
/// Pause before a sidecar is asked again for a piece that it failed to give.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Pause before the origin is asked again: all sidecars wait for it.
const ORIGIN_PAUSE: Duration = Duration::from_millis(150);

common_derives! { value:
    /// Another sidecar.
    pub struct SidecarPeer {
        /// Address of its own service as `IP:PORT`.
        pub address: String,
        /// Its region.
        pub region: RegionName,
        /// Whether its endpoint serves the version, so that all pieces lie there.
        pub has_all_pieces: bool,
    }

    /// A place to fetch a piece from.
    #[derive(PartialOrd, Ord)]
    pub enum PieceSource {
        /// The origin of weights.
        Origin,
        /// Another sidecar, by address.
        Peer(String),
    }

    /// A piece to fetch.
    pub struct PieceFetch {
        /// Number of the piece.
        pub piece: u32,
        /// Where from.
        pub source: PieceSource,
    }
}

/// Sidecars of a region that are asked for the digests of a version before the origin is.
const MANIFEST_SOURCES: usize = 2;

/// The sidecars that the one at `own` asks for the digests of a version; none if it ranks first.
///
/// ```
/// use celeryshed_base::RegionName;
/// use celeryshed_dispatch::manifest_sources;
/// let region = RegionName::try_from("north").unwrap();
/// assert!(manifest_sources("10.0.0.1:7700", &region, &[], 2).is_empty());
/// ```
pub fn manifest_sources(
    own: &str,
    region: &RegionName,
    peers: &[SidecarPeer],
    version: u64,
) -> Vec<String> {
    let own_rank = rendezvous(own, version);
    let mut before: Vec<(u64, &str)> = peers
        .iter()
        .filter(|peer| peer.region == *region)
        .map(|peer| (rendezvous(&peer.address, version), peer.address.as_str()))
        .filter(|(rank, _)| *rank < own_rank)
        .collect();
    before.sort_unstable();
    before.into_iter().take(MANIFEST_SOURCES).map(|(_, address)| address.to_owned()).collect()
}

#[derive(Clone, Debug)]
struct PeerPieces {
    region: RegionName,
    has_all_pieces: bool,
    /// When it last said that it fetches the version.
    heard_at: Option<MonoTime>,
    pieces: PieceSet,
}

impl PeerPieces {
    fn has(&self, now: MonoTime, piece: u32) -> bool {
        self.has_all_pieces || self.is_heard(now) && self.pieces.contains(piece)
    }

    fn is_heard(&self, now: MonoTime) -> bool {
        self.heard_at.is_some_and(|at| now - at < HEARD_WITHIN)
    }
}

/// The state of one sidecar's fetches for one version.
///
/// ```
/// use celeryshed_base::{MonoTime, RegionName};
/// use celeryshed_dispatch::{PiecePicker, PieceSource};
/// let region = RegionName::try_from("north").unwrap();
/// let copy = std::time::Duration::from_secs(3);
/// let mut picker = PiecePicker::new("10.0.0.1:7700", &region, 2, 0..4, copy, MonoTime::ZERO);
/// let fetch = picker.next(MonoTime::ZERO, 0).unwrap();
/// assert_eq!(fetch.source, PieceSource::Origin);
/// ```
#[derive(Clone, Debug)]
pub struct PiecePicker {
    own: String,
    region: RegionName,
    version: u64,
    started_at: MonoTime,
    origin_transfer: Duration,
    missing: BTreeSet<u32>,
    /// When a fetch from the origin last failed.
    origin_failed_at: Option<MonoTime>,
    peers: BTreeMap<String, PeerPieces>,
    fetching: BTreeMap<u32, PieceSource>,
    /// Until when a place is not asked for a piece.
    paused: BTreeMap<(u32, PieceSource), MonoTime>,
    /// When a piece became known in another region.
    remote_since: BTreeMap<u32, MonoTime>,
}

impl PiecePicker {
    /// A picker for the sidecar at `own` that lacks the pieces `missing`; the origin's link carries
    /// one copy in `origin_transfer`.
    pub fn new(
        own: &str,
        region: &RegionName,
        version: u64,
        missing: impl IntoIterator<Item = u32>,
        origin_transfer: Duration,
        now: MonoTime,
    ) -> Self {
        let missing: BTreeSet<u32> = missing.into_iter().collect();
        Self {
            own: own.to_owned(),
            region: region.clone(),
            version,
            started_at: now,
            origin_transfer,
            origin_failed_at: None,
            missing,
            peers: BTreeMap::new(),
            fetching: BTreeMap::new(),
            paused: BTreeMap::new(),
            remote_since: BTreeMap::new(),
        }
    }

    /// Takes over who the other sidecars are.
    ///
    /// Sidecars that are not among them stay as long as they are heard.
    pub fn set_peers(&mut self, now: MonoTime, peers: &[SidecarPeer]) {
        self.peers.retain(|address, known| {
            known.is_heard(now) || peers.iter().any(|peer| peer.address == *address)
        });
        for peer in peers {
            let known = self.peers.entry(peer.address.clone()).or_insert_with(|| PeerPieces {
                region: peer.region.clone(),
                has_all_pieces: false,
                heard_at: None,
                pieces: PieceSet::default(),
            });
            known.has_all_pieces |= peer.has_all_pieces;
        }
        self.note_remote(now);
    }

    /// A peer said at `heard_at` which pieces it has.
    pub fn record_peer_pieces(
        &mut self,
        now: MonoTime,
        heard_at: MonoTime,
        peer: &SidecarPeer,
        pieces: &PieceSet,
    ) {
        let known = self.peers.entry(peer.address.clone()).or_insert_with(|| PeerPieces {
            region: peer.region.clone(),
            has_all_pieces: peer.has_all_pieces,
            heard_at: None,
            pieces: PieceSet::default(),
        });
        known.heard_at = Some(heard_at);
        known.pieces.extend_from(pieces);
        self.note_remote(now);
    }

    /// Sidecars that have the first missing piece.
    pub fn holders_of_first(&self, now: MonoTime) -> usize {
        let first = self.missing.first();
        first.map_or(0, |piece| self.peers.values().filter(|peer| peer.has(now, *piece)).count())
    }

    /// Fetches in progress.
    pub fn fetching(&self) -> usize {
        self.fetching.len()
    }

    /// Pieces that are still missing.
    pub fn missing(&self) -> &BTreeSet<u32> {
        &self.missing
    }

    /// A piece arrived and was verified.
    pub fn fetched(&mut self, piece: u32) {
        self.fetching.remove(&piece);
        self.missing.remove(&piece);
    }

    /// A fetch failed, or its piece did not match.
    pub fn failed(&mut self, now: MonoTime, fetch: PieceFetch) {
        self.fetching.remove(&fetch.piece);
        let pause = match fetch.source {
            PieceSource::Origin => {
                self.origin_failed_at = Some(now);
                ORIGIN_PAUSE
            }
            PieceSource::Peer(_) => FAILURE_PAUSE,
        };
        self.paused.insert((fetch.piece, fetch.source), now + pause);
    }

    /// The next piece to fetch, if there is one that may be fetched now; `draw` is any number.
    pub fn next(&mut self, now: MonoTime, draw: u64) -> Option<PieceFetch> {
        if self.fetching.len() >= MAX_FETCHES {
            return None;
        }
        let open: Vec<u32> = self
            .missing
            .iter()
            .copied()
            .filter(|piece| !self.fetching.contains_key(piece))
            .collect();
        let start = if open.is_empty() { 0 } else { draw as usize % open.len() };
        let (after, before) = open.split_at(start);
        let order: Vec<u32> = before.iter().chain(after).copied().collect();
        // Most pieces are told apart by these two sets, without a look at each sidecar.
        let local = self.held(now, |peer| peer.region == self.region);
        let anywhere = self.held(now, |_| true);
        let (near, far): (Vec<u32>, Vec<u32>) =
            order.into_iter().partition(|piece| local.contains(*piece));
        let (remote, nowhere): (Vec<u32>, Vec<u32>) =
            far.into_iter().partition(|piece| anywhere.contains(*piece));
        let unheld = self.missing.iter().filter(|piece| !anywhere.contains(**piece));
        let window_end = unheld.copied().nth(ORIGIN_WINDOW);
        let nowhere: Vec<u32> =
            nowhere.into_iter().filter(|piece| window_end.is_none_or(|end| *piece < end)).collect();
        let fetch = self
            .first(&nowhere, |picker, piece| picker.origin_duty(now, piece))
            .or_else(|| self.first(&remote, |picker, piece| picker.region_duty(now, draw, piece)))
            .or_else(|| self.first(&near, |picker, piece| picker.local_source(now, draw, piece)))
            .or_else(|| self.stranded(now, draw, &near, &remote))?;
        self.fetching.insert(fetch.piece, fetch.source.clone());
        Some(fetch)
    }

    /// The pieces that eligible sidecars have.
    fn held(&self, now: MonoTime, eligible: impl Fn(&PeerPieces) -> bool) -> PieceSet {
        let mut held = PieceSet::default();
        for peer in self.peers.values().filter(|peer| eligible(peer)) {
            if peer.has_all_pieces {
                return self.missing.iter().copied().collect();
            }
            if peer.is_heard(now) {
                held.extend_from(&peer.pieces);
            }
        }
        held
    }

    /// A source for a piece all of whose near holders, or all of whose holders, just failed.
    fn stranded(
        &self,
        now: MonoTime,
        draw: u64,
        near: &[u32],
        remote: &[u32],
    ) -> Option<PieceFetch> {
        if self.paused.values().all(|until| now >= *until) {
            return None;
        }
        self.first(near, |picker, piece| picker.region_duty(now, draw, piece))
            .or_else(|| self.first(near, |picker, piece| picker.origin_duty(now, piece)))
            .or_else(|| self.first(remote, |picker, piece| picker.origin_duty(now, piece)))
    }

    fn first(
        &self,
        order: &[u32],
        choose: impl Fn(&Self, u32) -> Option<PieceSource>,
    ) -> Option<PieceFetch> {
        order.iter().find_map(|piece| {
            choose(self, *piece).map(|source| PieceFetch { piece: *piece, source })
        })
    }

    /// The origin, for a piece that nobody else has and that is this sidecar's to fetch by now.
    fn origin_duty(&self, now: MonoTime, piece: u32) -> Option<PieceSource> {
        if self.has_holder(now, piece, |_| true) {
            return None;
        }
        let step = self.origin_transfer.mul_f64(ORIGIN_STEP);
        // While the origin is away nobody is late.
        let since = self.origin_failed_at.map_or(self.started_at, |at| at.max(self.started_at));
        let due = match self.rank(now, piece, |_| true) {
            0 => self.started_at,
            rank => since + step * rank,
        };
        (now >= due && self.is_free(now, piece, &PieceSource::Origin))
            .then_some(PieceSource::Origin)
    }

    /// A sidecar of another region, for a piece that this region lacks.
    fn region_duty(&self, now: MonoTime, draw: u64, piece: u32) -> Option<PieceSource> {
        let local = |peer: &PeerPieces| peer.region == self.region;
        if self.has_holder(now, piece, local) {
            return None;
        }
        let since = self.remote_since.get(&piece)?;
        let due = *since + REGION_STEP * self.rank(now, piece, local);
        if now < due {
            return None;
        }
        self.holder(now, draw, piece, |peer| !local(peer))
    }

    /// A sidecar of this region that has the piece.
    fn local_source(&self, now: MonoTime, draw: u64, piece: u32) -> Option<PieceSource> {
        self.holder(now, draw, piece, |peer| peer.region == self.region)
    }

    /// The holder that fewest fetches are in progress from.
    fn holder(
        &self,
        now: MonoTime,
        draw: u64,
        piece: u32,
        eligible: impl Fn(&PeerPieces) -> bool,
    ) -> Option<PieceSource> {
        self.peers
            .iter()
            .filter(|(_, peer)| eligible(peer) && peer.has(now, piece))
            .map(|(address, _)| PieceSource::Peer(address.clone()))
            .filter(|source| self.is_free(now, piece, source))
            .min_by_key(|source| (self.fetches_from(source), self.shuffle(source, draw, piece)))
    }

    fn is_free(&self, now: MonoTime, piece: u32, source: &PieceSource) -> bool {
        let limit = match source {
            PieceSource::Origin => MAX_ORIGIN_FETCHES,
            PieceSource::Peer(_) => MAX_FETCHES_EACH,
        };
        let paused = self.paused.get(&(piece, source.clone())).is_some_and(|until| now < *until);
        !paused && self.fetches_from(source) < limit
    }

    /// Whether an eligible sidecar has the piece and did not just fail to give it.
    fn has_holder(
        &self,
        now: MonoTime,
        piece: u32,
        eligible: impl Fn(&PeerPieces) -> bool,
    ) -> bool {
        let mut holders =
            self.peers.iter().filter(|(_, peer)| eligible(peer) && peer.has(now, piece));
        holders.any(|(address, _)| {
            let key = (piece, PieceSource::Peer(address.clone()));
            self.paused.get(&key).is_none_or(|until| now >= *until)
        })
    }

    fn fetches_from(&self, source: &PieceSource) -> usize {
        self.fetching.values().filter(|other| *other == source).count()
    }

    fn shuffle(&self, source: &PieceSource, draw: u64, piece: u32) -> u64 {
        match source {
            PieceSource::Origin => 0,
            PieceSource::Peer(address) => rendezvous(address, draw ^ u64::from(piece)),
        }
    }

    /// How many eligible sidecars are ranked before this one for a piece.
    fn rank(&self, now: MonoTime, piece: u32, eligible: impl Fn(&PeerPieces) -> bool) -> u32 {
        let settled = now - self.started_at >= HEARD_WITHIN;
        let salt = u64::from(piece) ^ (self.version << 32);
        let own = rendezvous(&self.own, salt);
        let before = self
            .peers
            .iter()
            .filter(|(_, peer)| eligible(peer) && !peer.has_all_pieces)
            .filter(|(_, peer)| !settled || peer.heard_at.is_some_and(|at| now - at < HEARD_WITHIN))
            .filter(|(address, _)| rendezvous(address, salt) < own);
        before.count() as u32
    }

    fn note_remote(&mut self, now: MonoTime) {
        let held = self.held(now, |_| true);
        for piece in &self.missing {
            if held.contains(*piece) {
                self.remote_since.entry(*piece).or_insert(now);
            }
        }
    }
}
