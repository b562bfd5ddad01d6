//! Routes, services and teams of the configuration in force.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::common_derives;
use celeryshed_base::{ConfigRevision, ModelName, ServiceName, TeamName};

common_derives! { value:
    /// How a request may be repeated.
    #[derive(Copy)]
    pub enum RouteKind {
        /// May run any number of times.
        Idempotent,
        /// Runs at most once for each attempt of the caller.
        NonIdempotent,
        /// Answered by events; a resumable one may go on at another endpoint.
        Stream {
            /// Whether another endpoint may go on after the last event.
            resumable: bool,
        },
    }

    /// A service and its weight in a split route.
    pub struct SplitTarget {
        /// The service.
        pub service: ServiceName,
        /// Its weight.
        pub weight: SplitWeight,
    }

    /// A route: which requests it takes and how they are served.
    pub struct RouteRule {
        /// Its name in the configuration, for logs.
        pub name: String,
        /// The beginning of the paths that it takes.
        pub path_prefix: String,
        /// How its requests may be repeated.
        pub kind: RouteKind,
        /// Longest time that a caller is kept waiting.
        pub timeout: Duration,
        /// Time within which an answer has its full value.
        pub target_latency: Duration,
        /// Rank among routes; zero is the most urgent.
        pub rank: u8,
        /// The services that share its requests.
        pub targets: Vec<SplitTarget>,
        /// Endpoints that one attempt of a caller may be sent to.
        pub max_attempts: u32,
        /// Whether callers need no key.
        pub anonymous: bool,
    }

    /// The timing of the engines of a service, as the configuration states it.
    pub struct EngineProfile {
        /// Requests that an engine runs at once.
        pub slots: u32,
        /// Microseconds of one token step.
        pub step_us: u64,
        /// Microseconds that each running request adds to a step.
        pub step_per_request_us: u64,
        /// Nanoseconds that each token of context adds to a step.
        pub step_per_context_token_ns: u64,
        /// Prompt tokens read in a second.
        pub read_per_s: u64,
        /// Nanoseconds for each thousand pairs of a prompt token and an earlier one.
        pub read_per_kilopair_ns: u64,
        /// Most prompt tokens read between two steps.
        pub read_chunk: u32,
        /// Token steps of one pass.
        pub pass_steps: u32,
        /// Mean answer in tokens.
        pub mean_answer_tokens: u32,
        /// Mean prompt in tokens.
        pub mean_prompt_tokens: u32,
        /// The models that the engines serve.
        pub models: Vec<ModelName>,
        /// Pieces of one copy of the weights.
        pub piece_count: u32,
        /// Bytes of a piece.
        pub piece_bytes: u32,
    }

    /// A place that weights are fetched from.
    pub struct OriginProfile {
        /// Address as `IP:PORT`.
        pub address: String,
        /// Bandwidth of its link in bits a second; zero if it has no limit.
        pub link_bits_per_s: u64,
    }

    /// A service of the configuration.
    pub struct ServiceProfile {
        /// The timing of its engines; none for a plain service.
        pub engine: Option<EngineProfile>,
        /// Set where the service is an origin of weights.
        pub origin: Option<OriginProfile>,
    }

    /// A team and its rank.
    pub struct TeamProfile {
        /// The team.
        pub name: TeamName,
        /// Replaces the rank of the route.
        pub rank: Option<u8>,
    }

    /// Bounds on what a caller may send.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Longest head of a request in bytes.
        pub max_head_bytes: usize,
        /// Longest body of a request in bytes.
        pub max_body_bytes: usize,
        /// Longest time that a connection may stay idle.
        pub idle_timeout: Duration,
    }

    /// Why a request is not allowed.
    #[derive(Copy)]
    pub enum RouteDenial {
        /// No route takes the host and path.
        NoRoute,
        /// The key is missing or unknown.
        UnknownKey,
    }

    /// A request that the configuration allows.
    pub struct RouteGrant<'s> {
        /// The route that takes it.
        pub route: &'s RouteRule,
        /// The team that holds the key.
        pub team: Option<&'s TeamProfile>,
    }

    /// Weight of a service in a split.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct SplitWeight(pub u32);

    /// A whole configuration, ready for look-ups.
    #[derive(Default)]
    pub struct RoutingSnapshot {
        /// Revision of the configuration.
        pub revision: ConfigRevision,
        /// Routes by host in lower case.
        pub hosts: BTreeMap<String, Vec<RouteRule>>,
        /// Services by name.
        pub services: BTreeMap<ServiceName, ServiceProfile>,
        /// Teams by key.
        pub teams: BTreeMap<String, TeamProfile>,
        /// Whether the configuration names teams, so that keys are required.
        pub keys_required: bool,
        /// Bounds for callers.
        pub limits: CallerLimits,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RouteKind {
    /// Whether a request that may have run may be sent once more.
    ///
    /// ```
    /// use celeryshed_dispatch::RouteKind;
    /// assert!(RouteKind::Stream { resumable: true }.is_retryable());
    /// assert!(!RouteKind::NonIdempotent.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

impl RouteRule {
    /// The service for a request, chosen by weight with `draw`, any number.
    ///
    /// ```
    /// # use celeryshed_dispatch::*;
    /// # use celeryshed_base::ServiceName;
    /// # let service = ServiceName::try_from("orders").unwrap();
    /// # let targets = vec![SplitTarget { service: service.clone(), weight: SplitWeight(3) }];
    /// # let route = RouteRule { name: "r".into(), path_prefix: "/".into(),
    /// #     kind: RouteKind::Idempotent, timeout: Default::default(),
    /// #     target_latency: Default::default(), rank: 0, targets, max_attempts: 1, anonymous: true };
    /// assert_eq!(route.pick_service(7), Some(&service));
    /// ```
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight.0)).sum();
        let mut rest = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight.0);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}

impl OriginProfile {
    /// Time in which the origin's link carries one copy of an engine's weights.
    ///
    /// ```
    /// # use celeryshed_dispatch::OriginProfile;
    /// let origin = OriginProfile { address: "10.0.0.1:80".into(), link_bits_per_s: 8_000_000 };
    /// assert_eq!(origin.transfer_time(10, 100_000).as_secs(), 1);
    /// ```
    pub fn transfer_time(&self, piece_count: u32, piece_bytes: u32) -> Duration {
        let bits = u64::from(piece_count) * u64::from(piece_bytes) * 8;
        let micros = (bits * 1_000_000).checked_div(self.link_bits_per_s).unwrap_or(0);
        Duration::from_micros(micros)
    }
}

impl RoutingSnapshot {
    /// The route of a request: the longest prefix of its host, and the team of its key.
    ///
    /// ```
    /// use celeryshed_dispatch::{RouteDenial, RoutingSnapshot};
    /// let snapshot = RoutingSnapshot::default();
    /// assert_eq!(snapshot.authorize("shop.example", "/a/", None), Err(RouteDenial::NoRoute));
    /// ```
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteGrant<'_>, RouteDenial> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&name).ok_or(RouteDenial::NoRoute)?;
        let route = routes
            .iter()
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
            .ok_or(RouteDenial::NoRoute)?;
        let team = key.and_then(|key| self.teams.get(key));
        if self.keys_required && !route.anonymous && team.is_none() {
            return Err(RouteDenial::UnknownKey);
        }
        Ok(RouteGrant { route, team })
    }
}
