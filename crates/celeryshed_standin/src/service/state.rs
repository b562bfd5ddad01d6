//! State of a plain service.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime, common_derives};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::options::ServiceOptions;
use crate::steering::{Outage, take_one};

common_derives! { record:
    /// Faults of a service.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ServiceFaults {
        /// Outage of all calls; a call that it meets isn't executed.
        pub outage: Outage,
        /// Time that each call runs in addition to the usual one, in milliseconds.
        pub extra_latency_ms: u64,
        /// Calls that are executed and whose reply is lost.
        pub lose_replies: u32,
        /// Share of calls, in thousandths, that are executed and whose reply is lost.
        pub lose_reply_permille: u32,
        /// Calls that are lost before they are executed.
        pub lose_requests: u32,
        /// Crashes the service once.
        pub crash: bool,
    }

    /// What a service has counted.
    #[derive(Default)]
    pub struct ServiceCounts {
        /// Calls executed.
        pub executions: u64,
        /// Executions by idempotency key or body digest.
        pub by_key: BTreeMap<String, u64>,
        /// Calls running now.
        pub running: u32,
        /// Most calls running at once.
        pub most_running: u32,
        /// Replies lost after execution.
        pub replies_lost: u64,
        /// Calls lost before execution.
        pub requests_lost: u64,
        /// Crashes.
        pub crashes: u64,
        /// Calls cut by a crash.
        pub cut_by_crash: u64,
    }
}

#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) clock: ClockSource,
    pub(super) options: ServiceOptions,
    pub(super) faults: ServiceFaults,
    pub(super) counts: ServiceCounts,
    /// Rises with each crash; a call that started under another number is cut.
    boot: u64,
    down_until: Option<MonoTime>,
    random: StdRng,
}

/// What a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallStart {
    /// It runs for this time.
    Runs { boot: u64, latency: Duration },
    /// It is lost before it runs.
    Lost,
}

/// How a call ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// Answered; the number of the execution under its key.
    Answered { execution: u64 },
    /// Executed; the reply is lost.
    ReplyLost,
    /// Cut by a crash before it was executed.
    Crashed,
}

impl ServiceState {
    pub(super) fn new(options: ServiceOptions, clock: ClockSource) -> Self {
        Self {
            clock,
            random: StdRng::seed_from_u64(options.seed),
            options,
            faults: ServiceFaults::default(),
            counts: ServiceCounts::default(),
            boot: 1,
            down_until: None,
        }
    }

    pub(super) fn set_faults(&mut self, mut faults: ServiceFaults) {
        if std::mem::take(&mut faults.crash) {
            self.crash();
        }
        self.faults = faults;
    }

    pub(super) fn crash(&mut self) {
        self.boot += 1;
        self.counts.crashes += 1;
        self.counts.cut_by_crash += u64::from(self.counts.running);
        self.counts.running = 0;
        self.down_until = Some(self.clock.now() + self.options.restart);
    }

    pub(super) fn start(&mut self) -> CallStart {
        let down = self.down_until.is_some_and(|until| self.clock.now() < until);
        if down || take_one(&mut self.faults.lose_requests) {
            self.counts.requests_lost += 1;
            return CallStart::Lost;
        }
        self.counts.running += 1;
        self.counts.most_running = self.counts.most_running.max(self.counts.running);
        let extra = Duration::from_millis(self.faults.extra_latency_ms);
        CallStart::Runs { boot: self.boot, latency: self.options.latency + extra }
    }

    /// Whether a call that started under `boot` was cut by a crash.
    pub(super) fn is_cut(&self, boot: u64) -> bool {
        boot != self.boot
    }

    pub(super) fn finish(&mut self, boot: u64, key: &str) -> CallEnd {
        if self.is_cut(boot) {
            return CallEnd::Crashed;
        }
        self.counts.running -= 1;
        self.counts.executions += 1;
        let executions = self.counts.by_key.entry(key.to_owned()).or_default();
        *executions += 1;
        let execution = *executions;
        if take_one(&mut self.faults.lose_replies) || self.draws_loss() {
            self.counts.replies_lost += 1;
            return CallEnd::ReplyLost;
        }
        CallEnd::Answered { execution }
    }

    fn draws_loss(&mut self) -> bool {
        let permille = self.faults.lose_reply_permille;
        permille > 0 && self.random.random_range(0..1000) < permille
    }
}
