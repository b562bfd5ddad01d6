//! The tree of each chunk, by rendezvous hashing.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use celeryshed_base::{ContentDigest, InstanceName, RegionName, ServiceName, common_derives};

use super::options::DistributionGoal;
use crate::membership::{MemberState, MembershipView};

/// Children of each position of a tree.
const TREE_FANOUT: usize = 2;

/// First positions of a region that are asked when all ancestors fail.
const TOP_POSITIONS: usize = 3;

common_derives! { index:
    /// A source outside of the sidecars.
    pub enum ExternalSource {
        /// The weight store.
        Store,
        /// The origin of the weights.
        Origin,
    }
}

/// Where a chunk comes from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChunkSource {
    /// Another sidecar.
    Peer(InstanceName),
    /// The store or the origin.
    External(ExternalSource),
}

common_derives! { value:
    /// The place of one sidecar in the tree of one chunk.
    pub struct ChunkRoute {
        /// Position in the order of its region, from 0.
        pub position: usize,
        /// Hops from the external source, from 0.
        pub depth: u32,
        /// Sidecars of the same region to ask: parent, further ancestors, first positions.
        pub near: Vec<InstanceName>,
        /// Sidecars of other regions to ask after those; empty in the home region.
        pub far: Vec<InstanceName>,
    }

    struct PlanMember {
        instance: InstanceName,
        key: u64,
    }

    struct RegionMembers {
        region: RegionName,
        members: Vec<PlanMember>,
    }

    /// The trees of all chunks, as one sidecar sees them.
    ///
    /// Sidecars are ordered by region, the home region first, then by rendezvous score. A sidecar
    /// only asks those before it in this order, whatever its view of the membership is, so that
    /// differing views never form a cycle.
    pub struct DistributionPlan {
        own: InstanceName,
        own_region: usize,
        regions: Vec<RegionMembers>,
        weighing: DistributionGoal,
    }
}

impl DistributionPlan {
    /// The plan of sidecar `own` in `region` for versions that the endpoints of `services` need.
    ///
    /// `home` is the region of the store. Leaving and silent sidecars are left out.
    pub fn new(
        view: &MembershipView,
        own: &InstanceName,
        region: &RegionName,
        services: &BTreeSet<ServiceName>,
        home: &RegionName,
        weighing: DistributionGoal,
    ) -> Self {
        let mut regions: Vec<RegionMembers> = Vec::new();
        let mut add = |region: &RegionName, instance: &InstanceName| {
            let key = ContentDigest::of(instance.as_str().as_bytes()).leading_u64();
            let member = PlanMember { instance: instance.clone(), key };
            match regions.iter_mut().find(|known| known.region == *region) {
                Some(known) => known.members.push(member),
                None => {
                    regions.push(RegionMembers { region: region.clone(), members: vec![member] });
                }
            }
        };
        add(region, own);
        let others = view.sides.iter().filter(|(instance, side)| {
            *instance != own && side.state == MemberState::Live && services.contains(&side.service)
        });
        for (instance, side) in others {
            add(&side.region, instance);
        }
        regions.sort_by_key(|known| (known.region != *home, known.region.clone()));
        let own_region = regions.iter().position(|known| known.region == *region).unwrap_or(0);
        Self { own: own.clone(), own_region, regions, weighing }
    }

    /// Number of sidecars, this one included.
    pub fn len(&self) -> usize {
        self.regions.iter().map(|region| region.members.len()).sum()
    }

    /// Whether no sidecar is in the plan; never, as it includes its own.
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// Position and depth of this sidecar in the tree of `chunk`.
    pub fn place(&self, chunk: &ContentDigest) -> (usize, u32) {
        let members = &self.regions[self.own_region].members;
        let own = members.iter().find(|member| member.instance == self.own);
        let own_rank = own.map(|member| rank(chunk, member));
        let ahead = |member: &&PlanMember| Some(rank(chunk, member)) < own_rank;
        let position = members.iter().filter(ahead).count();
        (position, self.depth(position))
    }

    /// The sources of `chunk`, in order.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use celeryshed_base::{ContentDigest, InstanceName, RegionName};
    /// use celeryshed_core::membership::MembershipView;
    /// use celeryshed_core::distribution::{DistributionGoal, DistributionPlan};
    /// let own = InstanceName::try_from("side-1").unwrap();
    /// let home = RegionName::try_from("fukuoka").unwrap();
    /// let view = MembershipView::default();
    /// let plan = DistributionPlan::new(
    ///     &view, &own, &home, &BTreeSet::new(), &home, DistributionGoal::OriginBytes,
    /// );
    /// let route = plan.route(&ContentDigest::of(b"chunk"));
    /// assert!(route.near.is_empty() && route.far.is_empty());
    /// ```
    pub fn route(&self, chunk: &ContentDigest) -> ChunkRoute {
        let order = ordered(chunk, &self.regions[self.own_region].members);
        let own = order.iter().position(|member| member.instance == self.own);
        let position = own.unwrap_or_default();
        let mut places = Vec::new();
        let mut ancestor = position;
        while ancestor > 0 {
            ancestor = (ancestor - 1) / TREE_FANOUT;
            places.push(ancestor);
        }
        for top in 0..TOP_POSITIONS.min(position) {
            if !places.contains(&top) {
                places.push(top);
            }
        }
        let near = places.iter().map(|place| order[*place].instance.clone()).collect();
        let far = self.regions[..self.own_region].iter().flat_map(|region| {
            let order = ordered(chunk, &region.members);
            order.into_iter().take(TOP_POSITIONS).map(|member| member.instance.clone())
        });
        ChunkRoute { position, depth: self.depth(position), near, far: far.collect() }
    }

    /// Sidecars whose parent in the tree of `chunk` is this one.
    pub fn children(&self, chunk: &ContentDigest) -> Vec<InstanceName> {
        let order = ordered(chunk, &self.regions[self.own_region].members);
        let own = order.iter().position(|member| member.instance == self.own);
        let position = own.unwrap_or_default();
        let first = position * TREE_FANOUT + 1;
        let near = order.iter().skip(first).take(TREE_FANOUT).copied();
        let later = &self.regions[self.own_region + 1..];
        let is_head = position == 0 && self.own_region == 0;
        let heads = later
            .iter()
            .filter(|_| is_head)
            .filter_map(|region| region.members.iter().min_by_key(|member| rank(chunk, member)));
        heads.chain(near).map(|member| member.instance.clone()).collect()
    }

    /// Which measure the plan prefers.
    pub fn weighing(&self) -> DistributionGoal {
        self.weighing
    }

    fn depth(&self, position: usize) -> u32 {
        let in_region = (position + 1).ilog2();
        if self.own_region == 0 { in_region } else { in_region + 1 }
    }
}

/// Members in the order of their scores for `chunk`, highest first.
fn ordered<'a>(chunk: &ContentDigest, members: &'a [PlanMember]) -> Vec<&'a PlanMember> {
    let mut order: Vec<_> = members.iter().collect();
    order.sort_by_cached_key(|member| rank(chunk, member));
    order
}

/// Sorts a member before those with lower scores; the name decides between equal scores.
fn rank<'a>(chunk: &ContentDigest, member: &'a PlanMember) -> (Reverse<u64>, &'a InstanceName) {
    (Reverse(mix(chunk.leading_u64() ^ member.key)), &member.instance)
}

/// The finalizer of splitmix64: both inputs are hashes already and only need to be combined.
fn mix(mut value: u64) -> u64 {
    value ^= value >> 30;
    value = value.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^= value >> 27;
    value = value.wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
