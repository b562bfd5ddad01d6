//! The part of a configuration that sidecars need: model services and origins of weights.
//!
//! A configuration with many routes is hundreds of times larger, and there are many sidecars behind
//! narrow links.

use std::collections::BTreeMap;

use celeryshed_base::{ConfigRevision, ModelName, ServiceName, common_derives};
use celeryshed_dispatch::{EngineProfile, OriginProfile, RoutingSnapshot, ServiceProfile};

common_derives! { wire:
    /// The timing and the weights of a service's engines.
    struct EngineNotice {
        slots: u32,
        step_us: u64,
        step_per_request_us: u64,
        step_per_context_token_ns: u64,
        read_per_s: u64,
        read_per_kilopair_ns: u64,
        read_chunk: u32,
        pass_steps: u32,
        mean_answer_tokens: u32,
        mean_prompt_tokens: u32,
        models: Vec<ModelName>,
        piece_count: u32,
        piece_bytes: u32,
    }

    /// An origin of weights.
    struct OriginNotice {
        address: String,
        link_bits_per_s: u64,
    }

    /// A service that engines or an origin belong to.
    struct ServiceNotice {
        engine: Option<EngineNotice>,
        origin: Option<OriginNotice>,
    }

    /// The model services and origins of one configuration.
    pub struct ServicesNotice {
        revision: u64,
        services: BTreeMap<ServiceName, ServiceNotice>,
    }
}

impl ServicesNotice {
    /// Whether another configuration has the same services, whatever its revision.
    pub(crate) fn matches(&self, other: &Self) -> bool {
        self.services == other.services
    }

    /// Revision of the configuration.
    pub(crate) fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.revision)
    }
}

impl From<&RoutingSnapshot> for ServicesNotice {
    fn from(snapshot: &RoutingSnapshot) -> Self {
        let services = snapshot.services.iter();
        let relevant =
            services.filter(|(_, service)| service.engine.is_some() || service.origin.is_some());
        Self {
            revision: snapshot.revision.0,
            services: relevant.map(|(name, service)| (name.clone(), service.into())).collect(),
        }
    }
}

/// A snapshot without routes and teams.
impl From<ServicesNotice> for RoutingSnapshot {
    fn from(notice: ServicesNotice) -> Self {
        let services = notice.services.into_iter();
        Self {
            revision: ConfigRevision(notice.revision),
            services: services.map(|(name, service)| (name, service.into())).collect(),
            ..Self::default()
        }
    }
}

impl From<&ServiceProfile> for ServiceNotice {
    fn from(service: &ServiceProfile) -> Self {
        Self {
            engine: service.engine.as_ref().map(EngineNotice::from),
            origin: service.origin.as_ref().map(|origin| OriginNotice {
                address: origin.address.clone(),
                link_bits_per_s: origin.link_bits_per_s,
            }),
        }
    }
}

impl From<ServiceNotice> for ServiceProfile {
    fn from(notice: ServiceNotice) -> Self {
        Self {
            engine: notice.engine.map(EngineProfile::from),
            origin: notice.origin.map(|origin| OriginProfile {
                address: origin.address,
                link_bits_per_s: origin.link_bits_per_s,
            }),
        }
    }
}

impl From<&EngineProfile> for EngineNotice {
    fn from(profile: &EngineProfile) -> Self {
        Self {
            slots: profile.slots,
            step_us: profile.step_us,
            step_per_request_us: profile.step_per_request_us,
            step_per_context_token_ns: profile.step_per_context_token_ns,
            read_per_s: profile.read_per_s,
            read_per_kilopair_ns: profile.read_per_kilopair_ns,
            read_chunk: profile.read_chunk,
            pass_steps: profile.pass_steps,
            mean_answer_tokens: profile.mean_answer_tokens,
            mean_prompt_tokens: profile.mean_prompt_tokens,
            models: profile.models.clone(),
            piece_count: profile.piece_count,
            piece_bytes: profile.piece_bytes,
        }
    }
}

impl From<EngineNotice> for EngineProfile {
    fn from(notice: EngineNotice) -> Self {
        Self {
            slots: notice.slots,
            step_us: notice.step_us,
            step_per_request_us: notice.step_per_request_us,
            step_per_context_token_ns: notice.step_per_context_token_ns,
            read_per_s: notice.read_per_s,
            read_per_kilopair_ns: notice.read_per_kilopair_ns,
            read_chunk: notice.read_chunk,
            pass_steps: notice.pass_steps,
            mean_answer_tokens: notice.mean_answer_tokens,
            mean_prompt_tokens: notice.mean_prompt_tokens,
            models: notice.models,
            piece_count: notice.piece_count,
            piece_bytes: notice.piece_bytes,
        }
    }
}
