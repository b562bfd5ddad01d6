//! Routes, services and teams of the current configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::common_derives;
use celeryshed_base::{ConfigRevision, ModelName, ServiceName, TeamLabel};

common_derives! { value:
    /// Whether a request may be sent again after it may have run.
    #[derive(Copy)]
    pub enum RouteKind {
        /// May run any number of times, so it may always be sent again.
        Idempotent,
        /// Runs at most once for each attempt of the caller, so it is not sent again once it may
        /// have run.
        NonIdempotent,
        /// Answered by a stream of events.
        Stream {
            /// Whether another endpoint may continue the stream after the last event received.
            resumable: bool,
        },
    }

    /// A service that receives part of a route's requests.
    pub struct SplitTarget {
        /// Service that receives the requests.
        pub service: ServiceName,
        /// Weight relative to the other services of the route.
        pub weight: SplitWeight,
    }

    /// Which requests a route matches, and how they are served.
    pub struct RouteRule {
        /// Name in the configuration, used in logs.
        pub name: String,
        /// Prefix of the paths that the route matches.
        pub path_prefix: String,
        /// Whether requests may be sent again after they may have run.
        pub kind: RouteKind,
        /// Longest time from the arrival of a request to the end of its answer.
        pub timeout: Duration,
        /// Time after the arrival within which an answer has its full value.
        pub target_latency: Duration,
        /// Longest pause between two events with which a stream has its full value; zero if the
        /// configuration names none.
        pub target_gap: Duration,
        /// Priority among routes; zero is the most urgent. A team may override it.
        pub rank: u8,
        /// Services that the requests are split between by weight.
        pub targets: Vec<SplitTarget>,
        /// Number of endpoints at which one attempt of a caller may run.
        pub max_attempts: u32,
        /// Whether callers need no API key.
        pub anonymous: bool,
    }

    /// Timing and weights of the engines of a service, set in the configuration.
    pub struct EngineProfile {
        /// Number of requests that an engine runs concurrently.
        pub slots: u32,
        /// Microseconds of one decode step without any request.
        pub step_us: u64,
        /// Microseconds that each running request adds to a decode step.
        pub step_per_request_us: u64,
        /// Nanoseconds that each context token of the running requests adds to a decode step.
        pub step_per_context_token_ns: u64,
        /// Prompt tokens prefilled per second.
        pub read_per_s: u64,
        /// Nanoseconds that prefill takes in addition for each 1,000 pairs of a prompt token and an
        /// earlier one.
        pub read_per_kilopair_ns: u64,
        /// Maximum number of prompt tokens prefilled between two passes.
        pub read_chunk: u32,
        /// Decode steps of one pass, which is not interrupted by prefill.
        pub pass_steps: u32,
        /// Mean length of an answer in tokens.
        pub mean_answer_tokens: u32,
        /// Mean length of a prompt in tokens.
        pub mean_prompt_tokens: u32,
        /// Models that the engines serve.
        pub models: Vec<ModelName>,
        /// Number of pieces that one copy of the weights consists of.
        pub piece_count: u32,
        /// Size of a piece in bytes.
        pub piece_bytes: u32,
    }

    /// A service that stores the original copy of the weights.
    pub struct OriginProfile {
        /// Address as `IP:PORT`.
        pub address: String,
        /// Bandwidth of its link in bits per second; zero if it is unlimited.
        pub link_bits_per_s: u64,
    }

    /// Engine or origin settings of a service.
    pub struct ServiceProfile {
        /// Batching engines of the service; `None` for a plain service.
        pub engine: Option<EngineProfile>,
        /// Set if the service is an origin of weights.
        pub origin: Option<OriginProfile>,
    }

    /// A team and the priority of its requests.
    pub struct TeamProfile {
        /// Name of the team in the configuration.
        pub name: TeamLabel,
        /// Priority that replaces that of the route; `None` keeps the route's.
        pub rank: Option<u8>,
    }

    /// Limits on the requests and connections of callers.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Maximum size of a request head in bytes; 16 KiB by default.
        pub max_head_bytes: usize,
        /// Maximum size of a request body in bytes; 4 MiB by default.
        pub max_body_bytes: usize,
        /// Time after which an idle connection is closed; 15 s by default.
        pub idle_timeout: Duration,
    }

    /// Why the configuration doesn't allow a request.
    #[derive(Copy)]
    pub enum RouteDenial {
        /// No route matches the host and path.
        NoRoute,
        /// The API key is missing or unknown.
        UnknownKey,
        /// A part of the configuration that can't be read may allow the request.
        Unreadable,
    }

    /// Parts of a configuration that can't be read.
    #[derive(Default)]
    pub struct UnreadableParts {
        /// Routes whose hosts or paths aren't known.
        pub routes: Vec<UnreadableRoute>,
        /// Whether there are teams whose API keys aren't known.
        pub teams: bool,
    }

    /// What is known of the place of a route that can't be read.
    #[derive(Default)]
    pub struct UnreadableRoute {
        /// Lower-case host name without a port.
        pub host: Option<String>,
        /// Prefix of the paths.
        pub path_prefix: Option<String>,
    }

    /// A request that the configuration allows.
    pub struct RouteGrant<'s> {
        /// Route that matches the request.
        pub route: &'s RouteRule,
        /// Team that owns the API key; `None` without a known key.
        pub team: Option<&'s TeamProfile>,
    }

    /// Relative share of a route's requests that a service receives; zero for none.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct SplitWeight(pub u32);

    /// A whole configuration, indexed for look-ups.
    #[derive(Default)]
    pub struct RoutingSnapshot {
        /// Revision of the configuration.
        pub revision: ConfigRevision,
        /// Routes by lower-case host name without a port.
        pub hosts: BTreeMap<String, Vec<RouteRule>>,
        /// Services by name.
        pub services: BTreeMap<ServiceName, ServiceProfile>,
        /// Teams by API key.
        pub teams: BTreeMap<String, TeamProfile>,
        /// Whether routes that aren't anonymous require an API key. Set if the configuration names
        /// teams.
        pub keys_required: bool,
        /// Parts that can't be read.
        pub unreadable: UnreadableParts,
        /// Limits that apply to every caller.
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
    /// Whether a request that may have run may be sent again.
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
    /// Chooses the service of a request by weight; `None` if the weights add up to zero.
    ///
    /// `random` is a random number.
    ///
    /// ```
    /// # use celeryshed_dispatch::*;
    /// # use celeryshed_base::ServiceName;
    /// # let service = ServiceName::try_from("orders").unwrap();
    /// # let targets = vec![SplitTarget { service: service.clone(), weight: SplitWeight(3) }];
    /// # let route = RouteRule { name: "r".into(), path_prefix: "/".into(),
    /// #     kind: RouteKind::Idempotent, timeout: Default::default(),
    /// #     target_latency: Default::default(), target_gap: Default::default(), rank: 0, targets, max_attempts: 1, anonymous: true };
    /// assert_eq!(route.pick_service(7), Some(&service));
    /// ```
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight.0)).sum();
        let mut remaining = random.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight.0);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}

impl OriginProfile {
    /// Time that one copy of an engine's weights takes over the origin's link; zero if the link
    /// is unlimited.
    ///
    /// ```
    /// # use celeryshed_dispatch::OriginProfile;
    /// let origin = OriginProfile { address: "10.0.0.1:80".into(), link_bits_per_s: 8_000_000 };
    /// assert_eq!(origin.transfer_time(10, 100_000).as_secs(), 1);
    /// ```
    pub fn transfer_time(&self, piece_count: u32, piece_bytes: u32) -> Duration {
        // The product of the largest numbers has more than 64 bits.
        let bits = u128::from(piece_count) * u128::from(piece_bytes) * 8;
        let micros = (bits * 1_000_000).checked_div(self.link_bits_per_s.into()).unwrap_or(0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

impl UnreadableRoute {
    /// Whether the route may take a request from the longest `known` prefix that matches its path. A
    /// route without a known prefix only takes requests that no other one takes.
    fn may_take(&self, host: &str, path: &str, known: Option<&str>) -> bool {
        let is_host = self.host.as_ref().is_none_or(|own| own == host);
        match &self.path_prefix {
            Some(prefix) => {
                let is_longer = known.is_none_or(|known| known.len() < prefix.len());
                is_host && is_longer && path.starts_with(prefix)
            }
            None => is_host && known.is_none(),
        }
    }
}

impl RoutingSnapshot {
    /// The services that the configuration lists or sends requests to; may repeat a name.
    ///
    /// ```
    /// use celeryshed_dispatch::RoutingSnapshot;
    /// assert_eq!(RoutingSnapshot::default().named_services().count(), 0);
    /// ```
    pub fn named_services(&self) -> impl Iterator<Item = &ServiceName> + '_ {
        let targets = self.hosts.values().flatten().flat_map(|route| &route.targets);
        self.services.keys().chain(targets.map(|target| &target.service))
    }

    /// Finds the route with the longest matching path prefix, and the team that owns the API key.
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
        let routes = self.hosts.get(&name).into_iter().flatten();
        let route = routes
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len());
        let prefix = route.map(|route| route.path_prefix.as_str());
        if self.unreadable.routes.iter().any(|route| route.may_take(&name, path, prefix)) {
            return Err(RouteDenial::Unreadable);
        }
        let route = route.ok_or(RouteDenial::NoRoute)?;
        let team = key.and_then(|key| self.teams.get(key));
        if self.keys_required && !route.anonymous && team.is_none() {
            let may_be_known = self.unreadable.teams && key.is_some();
            return Err(match may_be_known {
                true => RouteDenial::Unreadable,
                false => RouteDenial::UnknownKey,
            });
        }
        Ok(RouteGrant { route, team })
    }
}
