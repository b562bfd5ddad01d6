//! The part of a configuration that sidecars need: model services and origins of weights.
//!
//! Many sidecars fetch it over narrow links, and a whole configuration with many routes is hundreds
//! of times larger.

use std::collections::BTreeMap;

use celeryshed_base::{ConfigRevision, ModelName, ServiceName, common_derives};
use celeryshed_dispatch::{EngineProfile, OriginProfile, RoutingSnapshot, ServiceProfile};

common_derives! { wire:
    /// Processing speed, models and weight pieces of a service's engines.
    struct EngineSummary {
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

    /// A server from which weights are downloaded.
    struct OriginSummary {
        address: String,
        link_bits_per_s: u64,
    }

    /// A service that has engines, an origin of weights, or both.
    struct ServiceSummary {
        engine: Option<EngineSummary>,
        origin: Option<OriginSummary>,
    }

    /// The model services and origins of one configuration.
    pub struct ServiceCatalog {
        revision: u64,
        services: BTreeMap<ServiceName, ServiceSummary>,
    }
}

impl ServiceCatalog {
    /// Whether both configurations have the same services; their revisions may differ.
    pub(crate) fn has_same_services(&self, other: &Self) -> bool {
        self.services == other.services
    }

    pub(crate) fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.revision)
    }
}

impl From<&RoutingSnapshot> for ServiceCatalog {
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

/// Gives a snapshot without routes and teams, which the catalog does not hold.
impl From<ServiceCatalog> for RoutingSnapshot {
    fn from(catalog: ServiceCatalog) -> Self {
        let services = catalog.services.into_iter();
        Self {
            revision: ConfigRevision(catalog.revision),
            services: services.map(|(name, service)| (name, service.into())).collect(),
            ..Self::default()
        }
    }
}

impl From<&ServiceProfile> for ServiceSummary {
    fn from(service: &ServiceProfile) -> Self {
        Self {
            engine: service.engine.as_ref().map(EngineSummary::from),
            origin: service.origin.as_ref().map(|origin| OriginSummary {
                address: origin.address.clone(),
                link_bits_per_s: origin.link_bits_per_s,
            }),
        }
    }
}

impl From<ServiceSummary> for ServiceProfile {
    fn from(summary: ServiceSummary) -> Self {
        Self {
            engine: summary.engine.map(EngineProfile::from),
            origin: summary.origin.map(|origin| OriginProfile {
                address: origin.address,
                link_bits_per_s: origin.link_bits_per_s,
            }),
        }
    }
}

impl From<&EngineProfile> for EngineSummary {
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

impl From<EngineSummary> for EngineProfile {
    fn from(summary: EngineSummary) -> Self {
        Self {
            slots: summary.slots,
            step_us: summary.step_us,
            step_per_request_us: summary.step_per_request_us,
            step_per_context_token_ns: summary.step_per_context_token_ns,
            read_per_s: summary.read_per_s,
            read_per_kilopair_ns: summary.read_per_kilopair_ns,
            read_chunk: summary.read_chunk,
            pass_steps: summary.pass_steps,
            mean_answer_tokens: summary.mean_answer_tokens,
            mean_prompt_tokens: summary.mean_prompt_tokens,
            models: summary.models,
            piece_count: summary.piece_count,
            piece_bytes: summary.piece_bytes,
        }
    }
}
