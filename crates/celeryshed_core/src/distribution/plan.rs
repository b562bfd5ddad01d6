//! A tree of sidecars for each chunk, computed by rendezvous hashing.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use celeryshed_base::{ContentDigest, InstanceName, RegionName, ServiceName, common_derives};

use super::options::DistributionGoal;
use crate::membership::{MemberState, MembershipView};

/// Number of children of each position in a tree.
const TREE_FANOUT: usize = 2;

/// Number of positions at the top of a region's tree that are asked when all ancestors fail.
const TOP_POSITIONS: usize = 3;

common_derives! { index:
    /// A source of weights other than a sidecar.
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
    /// The weight store or the origin.
    External(ExternalSource),
}

common_derives! { value:
    /// Position of one sidecar in the tree of one chunk, and the sidecars that it asks.
    pub struct ChunkRoute {
        /// Position in the order of the sidecar's region, from 0 for the region's root.
        pub position: usize,
        /// Hops from the external source, from 0 for the root of the home region.
        pub depth: u32,
        /// Sidecars of the same region, in the order in which they are asked: parent, further
        /// ancestors, top positions. Empty for the region's root.
        pub region_peers: Vec<InstanceName>,
        /// Sidecars at the top of other regions' trees, which are asked after `region_peers`; empty
        /// in the home region.
        pub remote_peers: Vec<InstanceName>,
    }

    struct PlanMember {
        instance: InstanceName,
        /// Hash of the instance name.
        key: u64,
    }

    struct RegionMembers {
        region: RegionName,
        members: Vec<PlanMember>,
    }

    /// The trees of all chunks, as one sidecar computes them from its view of the membership.
    ///
    /// Sidecars are ordered by region, the home region first, then by rendezvous score. A sidecar
    /// asks only sidecars before it in this order, which doesn't depend on the view. Two sidecars
    /// with different views therefore never wait for each other.
    pub struct DistributionPlan {
        own: InstanceName,
        own_region: usize,
        regions: Vec<RegionMembers>,
        goal: DistributionGoal,
    }
}

impl DistributionPlan {
    /// The plan of sidecar `own` in `region` for versions that the endpoints of `services` need.
    ///
    /// `home` is the region of the weight store. Only live sidecars are included.
    pub fn new(
        view: &MembershipView,
        own: &InstanceName,
        region: &RegionName,
        services: &BTreeSet<ServiceName>,
        home: &RegionName,
        goal: DistributionGoal,
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
        Self { own: own.clone(), own_region, regions, goal }
    }

    /// Number of sidecars, including this one.
    pub fn len(&self) -> usize {
        self.regions.iter().map(|region| region.members.len()).sum()
    }

    /// Whether the plan has no sidecars; always `false`, because it includes this one.
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// Position and depth of this sidecar in the tree of `chunk`.
    pub fn tree_position(&self, chunk: &ContentDigest) -> (usize, u32) {
        let members = &self.regions[self.own_region].members;
        let own = members.iter().find(|member| member.instance == self.own);
        let own_key = own.map(|member| sort_key(chunk, member));
        let is_before = |member: &&PlanMember| Some(sort_key(chunk, member)) < own_key;
        let position = members.iter().filter(is_before).count();
        (position, self.depth(position))
    }

    /// Position in the tree of `chunk`, and the sidecars to ask for it.
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
    /// assert!(route.region_peers.is_empty() && route.remote_peers.is_empty());
    /// ```
    pub fn route(&self, chunk: &ContentDigest) -> ChunkRoute {
        let order = ordered_members(chunk, &self.regions[self.own_region].members);
        let own = order.iter().position(|member| member.instance == self.own);
        let position = own.unwrap_or_default();
        let mut positions = Vec::new();
        let mut ancestor = position;
        while ancestor > 0 {
            ancestor = (ancestor - 1) / TREE_FANOUT;
            positions.push(ancestor);
        }
        for top in 0..TOP_POSITIONS.min(position) {
            if !positions.contains(&top) {
                positions.push(top);
            }
        }
        let region_peers =
            positions.iter().map(|position| order[*position].instance.clone()).collect();
        let remote_peers = self.regions[..self.own_region].iter().flat_map(|region| {
            let order = ordered_members(chunk, &region.members);
            order.into_iter().take(TOP_POSITIONS).map(|member| member.instance.clone())
        });
        ChunkRoute {
            position,
            depth: self.depth(position),
            region_peers,
            remote_peers: remote_peers.collect(),
        }
    }

    /// Sidecars to which this one offers `chunk`: its children in the tree and, at the root of the
    /// home region, the roots of the other regions.
    pub fn children(&self, chunk: &ContentDigest) -> Vec<InstanceName> {
        let order = ordered_members(chunk, &self.regions[self.own_region].members);
        let own = order.iter().position(|member| member.instance == self.own);
        let position = own.unwrap_or_default();
        let first_child = position * TREE_FANOUT + 1;
        let children = order.iter().skip(first_child).take(TREE_FANOUT).copied();
        let later = &self.regions[self.own_region + 1..];
        let is_root = position == 0 && self.own_region == 0;
        let region_roots = later.iter().filter(|_| is_root).filter_map(|region| {
            region.members.iter().min_by_key(|member| sort_key(chunk, member))
        });
        region_roots.chain(children).map(|member| member.instance.clone()).collect()
    }

    /// Measure that the plan optimizes.
    pub fn goal(&self) -> DistributionGoal {
        self.goal
    }

    fn depth(&self, position: usize) -> u32 {
        let in_region = (position + 1).ilog2();
        if self.own_region == 0 { in_region } else { in_region + 1 }
    }
}

/// Returns the members by their scores for `chunk`, highest first.
fn ordered_members<'a>(chunk: &ContentDigest, members: &'a [PlanMember]) -> Vec<&'a PlanMember> {
    let mut order: Vec<_> = members.iter().collect();
    order.sort_by_cached_key(|member| sort_key(chunk, member));
    order
}

/// Sort key that puts higher scores first; the name decides between equal scores.
fn sort_key<'a>(chunk: &ContentDigest, member: &'a PlanMember) -> (Reverse<u64>, &'a InstanceName) {
    (Reverse(mix(chunk.leading_u64() ^ member.key)), &member.instance)
}

/// The finalizer of splitmix64, which suffices because both inputs are already hashes.
fn mix(mut value: u64) -> u64 {
    value ^= value >> 30;
    value = value.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^= value >> 27;
    value = value.wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
