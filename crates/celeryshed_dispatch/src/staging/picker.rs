//! Chooses the piece that a sidecar fetches next, and its source.
//!
//! Load pattern: all sidecars need a new version at the same time, but the origin's link is no
//! faster than the link of a single sidecar. For each piece, every sidecar computes the same
//! ranking of all sidecars. The first sidecar of the ranking fetches the piece from the origin, and
//! the first one of each other region fetches it from another region. Within a region, sidecars
//! fetch the piece from any sidecar that has it. If a sidecar takes too long, the next one in the
//! ranking fetches the piece instead.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{MonoTime, RegionName, common_derives};

use super::PieceSet;
use crate::pacing::{PeerAudience, inventory_interval, message_lifetime};
use crate::rendezvous::rendezvous;

/// Maximum number of concurrent fetches of one sidecar.
const MAX_FETCHES: usize = 5;
/// Maximum number of concurrent fetches from one other sidecar.
const MAX_FETCHES_PER_PEER: usize = 2;
/// Maximum number of concurrent fetches from the origin by one sidecar, which may rank first for
/// several of the last pieces.
const MAX_ORIGIN_FETCHES: usize = 3;
/// Time after which the next sidecar of the ranking fetches a piece from the origin, as a multiple
/// of the time that one copy takes over the origin's link.
const ORIGIN_TURN_COPIES: f64 = 1.25;
/// Number of pieces that all sidecars together fetch from the origin concurrently, in addition to
/// those that its link carries until inventories arrive. It is small enough that the
/// first pieces arrive early and are passed on meanwhile.
const CONCURRENT_ORIGIN_PIECES: usize = 16;
/// Shortest time without a report after which a sidecar is left out of the ranking. Sidecars that
/// fetch the version report several times within this time.
const MIN_REPORT_LIFETIME: Duration = Duration::from_millis(1200);
/// Fetches of one piece that a holder serves before it refuses further ones.
const FETCHES_PER_HOLDER: usize = 4;
/// Time after which the next sidecar of a region's ranking fetches a piece from another region.
const REGION_TURN_DELAY: Duration = Duration::from_millis(900);
/// Time for which a sidecar is not asked again for a piece after a failed fetch.
const PEER_FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a sidecar that turned out to lack a piece isn't asked for any, unless it reports
/// pieces meanwhile.
const LACKING_TIME: Duration = Duration::from_secs(1);
/// Time for which the origin is not asked again for a piece after a failed fetch. It is short
/// because all sidecars wait for the piece.
const ORIGIN_FAILURE_PAUSE: Duration = Duration::from_millis(150);

common_derives! { value:
    /// Another sidecar that pieces may be fetched from.
    pub struct SidecarPeer {
        /// Address of the sidecar itself, not of its endpoint, as `IP:PORT`.
        pub address: String,
        /// Region that it runs in.
        pub region: RegionName,
        /// Whether its endpoint serves the version, so that the sidecar has all pieces.
        pub has_all_pieces: bool,
    }

    /// A source of pieces.
    #[derive(PartialOrd, Ord)]
    pub enum PieceSource {
        /// The origin of weights.
        Origin,
        /// Another sidecar, by address.
        Peer(String),
    }

    /// A fetch of one piece from one source.
    pub struct PieceFetch {
        /// Number of the piece, counted from zero.
        pub piece: u32,
        /// Source that the piece is fetched from.
        pub source: PieceSource,
    }
}

/// Maximum number of sidecars of a region that are asked for the digests of a version before the
/// origin is asked.
const MAX_MANIFEST_PEERS: usize = 2;

/// Addresses of the sidecars that the sidecar at `own` asks for the digests of a version, in order.
///
/// Empty if `own` ranks first in its region: it asks the origin.
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
    before.into_iter().take(MAX_MANIFEST_PEERS).map(|(_, address)| address.to_owned()).collect()
}

#[derive(Clone, Debug)]
struct PeerPieces {
    region: RegionName,
    has_all_pieces: bool,
    /// Time until which its last report that it fetches the version counts.
    heard_until: Option<MonoTime>,
    pieces: PieceSet,
    /// When it turned out to lack a piece that it was known to have.
    lacking_since: Option<MonoTime>,
}

impl PeerPieces {
    fn new(region: &RegionName, has_all_pieces: bool) -> Self {
        Self {
            region: region.clone(),
            has_all_pieces,
            heard_until: None,
            pieces: PieceSet::default(),
            lacking_since: None,
        }
    }

    fn has_piece(&self, now: MonoTime, piece: u32) -> bool {
        self.has_all_pieces(now)
            || !self.is_lacking(now) && self.is_heard(now) && self.pieces.contains(piece)
    }

    fn has_all_pieces(&self, now: MonoTime) -> bool {
        self.has_all_pieces && !self.is_lacking(now)
    }

    fn is_lacking(&self, now: MonoTime) -> bool {
        self.lacking_since.is_some_and(|since| now < since + LACKING_TIME)
    }

    fn is_heard(&self, now: MonoTime) -> bool {
        self.heard_until.is_some_and(|until| now < until)
    }
}

/// Chooses the fetches of one sidecar for one version.
///
/// ```
/// use celeryshed_base::{MonoTime, RegionName};
/// use celeryshed_dispatch::{PiecePicker, PieceSource};
/// let region = RegionName::try_from("north").unwrap();
/// let copy = std::time::Duration::from_secs(3);
/// let mut picker = PiecePicker::new("10.0.0.1:7700", &region, 2, 0..4, copy, MonoTime::ZERO);
/// let fetch = picker.start_next_fetch(MonoTime::ZERO, 0).unwrap();
/// assert_eq!(fetch.source, PieceSource::Origin);
/// ```
#[derive(Clone, Debug)]
pub struct PiecePicker {
    own_address: String,
    region: RegionName,
    version: u64,
    started_at: MonoTime,
    origin_transfer: Duration,
    /// Time that one piece takes over the origin's link.
    piece_transfer: Duration,
    missing: BTreeSet<u32>,
    /// Time of the last failed fetch from the origin.
    origin_failed_at: Option<MonoTime>,
    peers: BTreeMap<String, PeerPieces>,
    fetching: BTreeMap<u32, PieceSource>,
    /// Time until which a source is not asked for a piece.
    paused: BTreeMap<(u32, PieceSource), MonoTime>,
    /// Time at which this sidecar learned that any other sidecar has a missing piece.
    known_since: BTreeMap<u32, MonoTime>,
}

impl PiecePicker {
    /// Creates a picker for the sidecar at the address `own`, which lacks the pieces `missing`.
    ///
    /// `origin_transfer` is the time that one copy of the weights takes over the origin's link.
    pub fn new(
        own: &str,
        region: &RegionName,
        version: u64,
        missing: impl IntoIterator<Item = u32>,
        origin_transfer: Duration,
        now: MonoTime,
    ) -> Self {
        let missing: BTreeSet<u32> = missing.into_iter().collect();
        // The origin's link matters only while most pieces are missing, the last one among them.
        let piece_count = missing.last().map_or(1, |last| last + 1);
        Self {
            own_address: own.to_owned(),
            region: region.clone(),
            version,
            started_at: now,
            origin_transfer,
            piece_transfer: origin_transfer / piece_count,
            origin_failed_at: None,
            missing,
            peers: BTreeMap::new(),
            fetching: BTreeMap::new(),
            paused: BTreeMap::new(),
            known_since: BTreeMap::new(),
        }
    }

    /// Replaces the list of other sidecars.
    ///
    /// Unlisted sidecars are kept as long as they report.
    pub fn set_peers(&mut self, now: MonoTime, peers: &[SidecarPeer]) {
        self.peers.retain(|address, known| {
            known.is_heard(now) || peers.iter().any(|peer| peer.address == *address)
        });
        for peer in peers {
            let known = self.peers.entry(peer.address.clone());
            let known = known.or_insert_with(|| PeerPieces::new(&peer.region, false));
            known.has_all_pieces |= peer.has_all_pieces;
        }
        self.record_known_pieces(now);
    }

    /// Records which pieces a peer reported at `heard_at`.
    pub fn record_peer_pieces(
        &mut self,
        now: MonoTime,
        heard_at: MonoTime,
        peer: &SidecarPeer,
        pieces: &PieceSet,
    ) {
        let lifetime = self.report_lifetime(peer.region == self.region);
        let known = self.peers.entry(peer.address.clone());
        let known = known.or_insert_with(|| PeerPieces::new(&peer.region, peer.has_all_pieces));
        if !pieces.is_empty() {
            known.lacking_since.take_if(|since| *since < heard_at);
        }
        known.heard_until = Some(heard_at + lifetime);
        known.pieces.union_with(pieces);
        self.record_known_pieces(now);
    }

    /// Number of sidecars that have the first missing piece.
    pub fn first_piece_holder_count(&self, now: MonoTime) -> usize {
        let first = self.missing.first();
        first.map_or(0, |piece| {
            self.peers.values().filter(|peer| peer.has_piece(now, *piece)).count()
        })
    }

    /// Number of fetches in progress.
    pub fn fetch_count(&self) -> usize {
        self.fetching.len()
    }

    /// Pieces that are still missing.
    pub fn missing(&self) -> &BTreeSet<u32> {
        &self.missing
    }

    /// Records that a piece was received and verified.
    pub fn record_fetched(&mut self, piece: u32) {
        self.fetching.remove(&piece);
        self.missing.remove(&piece);
    }

    /// The sidecars that may not know yet that any of them can send a piece: all if it came from the
    /// origin, those of the own region if it came from another one. They get an inventory at once.
    ///
    /// ```
    /// # use celeryshed_base::{MonoTime, RegionName};
    /// # use celeryshed_dispatch::{PeerAudience, PieceFetch, PiecePicker, PieceSource};
    /// # let region = RegionName::try_from("north").unwrap();
    /// # let copy = std::time::Duration::from_secs(3);
    /// let picker = PiecePicker::new("10.0.0.1:7700", &region, 2, 0..4, copy, MonoTime::ZERO);
    /// let fetch = PieceFetch { piece: 0, source: PieceSource::Origin };
    /// assert_eq!(picker.uninformed(&fetch), PeerAudience::ALL);
    /// ```
    pub fn uninformed(&self, fetch: &PieceFetch) -> &'static [PeerAudience] {
        match &fetch.source {
            PieceSource::Origin => &PeerAudience::ALL,
            PieceSource::Peer(address) => {
                let source = self.peers.get(address);
                let is_local = source.is_some_and(|peer| peer.region == self.region);
                if is_local { &[] } else { &[PeerAudience::OwnRegion] }
            }
        }
    }

    /// Records that a fetch failed, or that its piece did not match the digest.
    pub fn record_failure(&mut self, now: MonoTime, fetch: PieceFetch) {
        self.fetching.remove(&fetch.piece);
        let pause = match fetch.source {
            PieceSource::Origin => {
                self.origin_failed_at = Some(now);
                ORIGIN_FAILURE_PAUSE
            }
            PieceSource::Peer(_) => PEER_FAILURE_PAUSE,
        };
        self.paused.insert((fetch.piece, fetch.source), now + pause);
    }

    /// Records that a fetch failed because its source doesn't have the piece. Another sidecar that lacks
    /// one has lost what it was known to have.
    ///
    /// ```
    /// # use celeryshed_base::{MonoTime, RegionName};
    /// # use celeryshed_dispatch::{PiecePicker, PieceSource, SidecarPeer};
    /// # let region = RegionName::try_from("north").unwrap();
    /// # let copy = std::time::Duration::from_secs(3);
    /// let now = MonoTime::ZERO;
    /// let mut picker = PiecePicker::new("10.0.0.1:7700", &region, 2, 0..4, copy, now);
    /// let peer = SidecarPeer { address: "10.0.0.2:7700".into(), region, has_all_pieces: true };
    /// picker.set_peers(now, &[peer]);
    /// let fetch = picker.start_next_fetch(now, 0).unwrap();
    /// picker.record_missing(now, fetch);
    /// assert_eq!(picker.start_next_fetch(now, 0).unwrap().source, PieceSource::Origin);
    /// ```
    pub fn record_missing(&mut self, now: MonoTime, fetch: PieceFetch) {
        if let PieceSource::Peer(address) = &fetch.source
            && let Some(peer) = self.peers.get_mut(address)
        {
            peer.pieces = PieceSet::default();
            peer.lacking_since = Some(now);
        }
        self.record_failure(now, fetch);
    }

    /// Starts the next fetch; `None` if no piece may be fetched now.
    ///
    /// `random` is a random number that varies the order of pieces and sources.
    pub fn start_next_fetch(&mut self, now: MonoTime, random: u64) -> Option<PieceFetch> {
        if self.fetching.len() >= MAX_FETCHES {
            return None;
        }
        let unrequested: Vec<u32> = self
            .missing
            .iter()
            .copied()
            .filter(|piece| !self.fetching.contains_key(piece))
            .collect();
        let start = if unrequested.is_empty() { 0 } else { random as usize % unrequested.len() };
        let (after, before) = unrequested.split_at(start);
        let order: Vec<u32> = before.iter().chain(after).copied().collect();
        // These two sets classify the pieces without a search through all sidecars for each piece.
        let held_locally = self.held_pieces(now, |peer| peer.region == self.region);
        let held_anywhere = self.held_pieces(now, |_| true);
        let (local, not_local): (Vec<u32>, Vec<u32>) =
            order.into_iter().partition(|piece| held_locally.contains(*piece));
        let (remote, origin_only): (Vec<u32>, Vec<u32>) =
            not_local.into_iter().partition(|piece| held_anywhere.contains(*piece));
        let unheld = self.missing.iter().filter(|piece| !held_anywhere.contains(**piece));
        let window_end = unheld.copied().nth(self.origin_window());
        let origin_only: Vec<u32> = origin_only
            .into_iter()
            .filter(|piece| window_end.is_none_or(|end| *piece < end))
            .collect();
        let fetch = self
            .first_available(&origin_only, |picker, piece| picker.origin_source(now, piece))
            .or_else(|| {
                self.first_available(&remote, |picker, piece| {
                    picker.other_region_source(now, random, piece)
                })
            })
            .or_else(|| {
                self.first_available(&local, |picker, piece| {
                    picker.local_source(now, random, piece)
                })
            })
            .or_else(|| self.fallback_fetch(now, random, &local, &remote))?;
        self.fetching.insert(fetch.piece, fetch.source.clone());
        Some(fetch)
    }

    /// Time for which a report of a sidecar counts.
    fn report_lifetime(&self, is_local: bool) -> Duration {
        MIN_REPORT_LIFETIME.max(message_lifetime(self.inventory_interval(is_local)))
    }

    /// Time until an inventory of a sidecar of the own region, or of another one, is sent again.
    fn inventory_interval(&self, is_local: bool) -> Duration {
        let local_count = self.peers.values().filter(|peer| peer.region == self.region).count();
        inventory_interval(if is_local { local_count } else { self.peers.len() - local_count })
    }

    /// Number of pieces that no sidecar is known to have and that may be fetched from the origin.
    /// Its link would idle if all of them had arrived before other regions learn so.
    fn origin_window(&self) -> usize {
        let piece_us = self.piece_transfer.as_micros().max(1);
        let unreported = self.inventory_interval(true).as_micros() / piece_us;
        CONCURRENT_ORIGIN_PIECES + unreported as usize
    }

    /// The pieces that eligible sidecars have.
    fn held_pieces(&self, now: MonoTime, eligible: impl Fn(&PeerPieces) -> bool) -> PieceSet {
        let mut held = PieceSet::default();
        for peer in self.peers.values().filter(|peer| eligible(peer)) {
            if peer.has_all_pieces(now) {
                return self.missing.iter().copied().collect();
            }
            if peer.is_heard(now) && !peer.is_lacking(now) {
                held.union_with(&peer.pieces);
            }
        }
        held
    }

    /// A fetch from another region or the origin, for a piece whose nearer holders have all failed
    /// recently.
    fn fallback_fetch(
        &self,
        now: MonoTime,
        random: u64,
        local: &[u32],
        remote: &[u32],
    ) -> Option<PieceFetch> {
        if self.paused.values().all(|until| now >= *until) {
            return None;
        }
        self.first_available(local, |picker, piece| picker.other_region_source(now, random, piece))
            .or_else(|| {
                self.first_available(local, |picker, piece| picker.origin_source(now, piece))
            })
            .or_else(|| {
                self.first_available(remote, |picker, piece| picker.origin_source(now, piece))
            })
    }

    fn first_available(
        &self,
        order: &[u32],
        choose: impl Fn(&Self, u32) -> Option<PieceSource>,
    ) -> Option<PieceFetch> {
        order.iter().find_map(|piece| {
            choose(self, *piece).map(|source| PieceFetch { piece: *piece, source })
        })
    }

    /// The origin, if no sidecar has the piece and this sidecar's turn in the ranking has come.
    fn origin_source(&self, now: MonoTime, piece: u32) -> Option<PieceSource> {
        if self.has_holder(now, piece, |_| true) {
            return None;
        }
        let turn_delay = self.origin_transfer.mul_f64(ORIGIN_TURN_COPIES);
        // An outage of the origin restarts the delay, so that a later rank doesn't fetch the same
        // piece as an earlier one that was only waiting for the origin.
        let since = self.origin_failed_at.map_or(self.started_at, |at| at.max(self.started_at));
        let due = match self.rank(now, piece, |_| true) {
            0 => self.started_at,
            rank => since + turn_delay * rank,
        };
        (now >= due && self.is_available(now, piece, &PieceSource::Origin))
            .then_some(PieceSource::Origin)
    }

    /// A sidecar of another region, if no sidecar of this region has the piece and this sidecar's
    /// turn in the region's ranking has come.
    fn other_region_source(&self, now: MonoTime, random: u64, piece: u32) -> Option<PieceSource> {
        let local = |peer: &PeerPieces| peer.region == self.region;
        if self.has_holder(now, piece, local) {
            return None;
        }
        let since = self.known_since.get(&piece)?;
        let due = *since + REGION_TURN_DELAY * self.rank(now, piece, local);
        if now < due {
            return None;
        }
        self.least_used_holder(now, random, piece, |peer| !local(peer))
    }

    /// A sidecar of this region that has the piece.
    ///
    /// As long as few sidecars have the piece, only as many others ask for it, chosen at random, as
    /// the holders serve at a time.
    fn local_source(&self, now: MonoTime, random: u64, piece: u32) -> Option<PieceSource> {
        let local = || self.peers.values().filter(|peer| peer.region == self.region);
        let holder_count = local().filter(|peer| peer.has_piece(now, piece)).count();
        let lacking_count = 1 + local().count() - holder_count;
        let random_rank = rendezvous(&self.own_address, random ^ u64::from(piece));
        if random_rank % lacking_count as u64 >= (holder_count * FETCHES_PER_HOLDER) as u64 {
            return None;
        }
        self.least_used_holder(now, random, piece, |peer| peer.region == self.region)
    }

    /// The eligible sidecar that has the piece and serves the fewest fetches of this sidecar.
    fn least_used_holder(
        &self,
        now: MonoTime,
        random: u64,
        piece: u32,
        eligible: impl Fn(&PeerPieces) -> bool,
    ) -> Option<PieceSource> {
        self.peers
            .iter()
            .filter(|(_, peer)| eligible(peer) && peer.has_piece(now, piece))
            .map(|(address, _)| PieceSource::Peer(address.clone()))
            .filter(|source| self.is_available(now, piece, source))
            .min_by_key(|source| {
                (self.source_fetch_count(source), self.random_rank(source, random, piece))
            })
    }

    fn is_available(&self, now: MonoTime, piece: u32, source: &PieceSource) -> bool {
        let limit = match source {
            PieceSource::Origin => MAX_ORIGIN_FETCHES,
            PieceSource::Peer(_) => MAX_FETCHES_PER_PEER,
        };
        let paused = self.paused.get(&(piece, source.clone())).is_some_and(|until| now < *until);
        !paused && self.source_fetch_count(source) < limit
    }

    /// Whether an eligible sidecar has the piece and is not paused after a failed fetch of it.
    fn has_holder(
        &self,
        now: MonoTime,
        piece: u32,
        eligible: impl Fn(&PeerPieces) -> bool,
    ) -> bool {
        let mut holders =
            self.peers.iter().filter(|(_, peer)| eligible(peer) && peer.has_piece(now, piece));
        holders.any(|(address, _)| {
            let key = (piece, PieceSource::Peer(address.clone()));
            self.paused.get(&key).is_none_or(|until| now >= *until)
        })
    }

    fn source_fetch_count(&self, source: &PieceSource) -> usize {
        self.fetching.values().filter(|other| *other == source).count()
    }

    fn random_rank(&self, source: &PieceSource, random: u64, piece: u32) -> u64 {
        match source {
            PieceSource::Origin => 0,
            PieceSource::Peer(address) => rendezvous(address, random ^ u64::from(piece)),
        }
    }

    /// Number of eligible sidecars before this one in the ranking for a piece.
    fn rank(&self, now: MonoTime, piece: u32, eligible: impl Fn(&PeerPieces) -> bool) -> u32 {
        let reports_expected = now - self.started_at >= self.report_lifetime(false);
        let salt = u64::from(piece) ^ (self.version << 32);
        let own = rendezvous(&self.own_address, salt);
        let before = self
            .peers
            .iter()
            .filter(|(_, peer)| eligible(peer) && !peer.has_all_pieces(now))
            .filter(|(_, peer)| !reports_expected || peer.is_heard(now))
            .filter(|(address, _)| rendezvous(address, salt) < own);
        before.count() as u32
    }

    fn record_known_pieces(&mut self, now: MonoTime) {
        let held = self.held_pieces(now, |_| true);
        for piece in &self.missing {
            if held.contains(*piece) {
                self.known_since.entry(*piece).or_insert(now);
            }
        }
    }
}
