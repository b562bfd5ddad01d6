//! Faults, counters and crashes of a plain service.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{ClockSource, ContentDigest, MonoTime, common_derives};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::options::ServiceOptions;
use crate::faults::{Outage, consume_fault};

common_derives! { record:
    /// Faults of a service; by default there are none.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ServiceFaults {
        /// Outage of all calls. Refused calls are not executed, stalled calls run after the outage.
        pub outage: Outage,
        /// Run time added to `latency_ms` of the options for each call, in milliseconds.
        pub extra_latency_ms: u64,
        /// Number of upcoming calls that are executed but whose connection is closed without a
        /// reply.
        pub lose_replies: u32,
        /// Share of calls, in thousandths, that are executed but whose connection is closed without
        /// a reply.
        pub lose_reply_permille: u32,
        /// Number of upcoming calls that are not executed and whose connection is closed without a
        /// reply.
        pub lose_requests: u32,
        /// Crashes the service once, when the faults are set.
        pub crash: bool,
    }

    /// Counters of a service since its launch, over all crashes.
    #[derive(Default)]
    pub struct ServiceCounts {
        /// Calls executed, including those whose reply was lost.
        pub executions: u64,
        /// Executions by idempotency key or body digest.
        pub by_key: BTreeMap<String, u64>,
        /// Executions by digest of the body, which reveal a key that was used with two bodies.
        pub by_body: BTreeMap<ContentDigest, u64>,
        /// Calls running now.
        pub running: u32,
        /// Maximum number of calls that ran at the same time.
        pub most_running: u32,
        /// Replies that a fault dropped after the execution.
        pub replies_lost: u64,
        /// Calls dropped before execution by a fault or because the service was restarting.
        pub requests_lost: u64,
        /// Crashes caused by a crash marker or by the `crash` fault.
        pub crashes: u64,
        /// Calls that a crash aborted.
        pub cut_by_crash: u64,
    }
}

#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) clock: ClockSource,
    pub(super) options: ServiceOptions,
    pub(super) faults: ServiceFaults,
    pub(super) counts: ServiceCounts,
    /// Incremented by each crash; calls that started in an earlier generation are aborted.
    generation: u64,
    down_until: Option<MonoTime>,
    random: StdRng,
}

/// Whether a call is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallStart {
    /// The call runs for `latency`.
    Running { generation: u64, latency: Duration },
    /// The call is dropped before it runs.
    Lost,
}

/// Result of a started call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// Executed and answered; `execution` counts the executions of the key, starting at 1.
    Answered { execution: u64 },
    /// Executed, but the reply is lost.
    ReplyLost,
    /// Aborted by a crash before it was executed.
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
            generation: 1,
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
        self.generation += 1;
        self.counts.crashes += 1;
        self.counts.cut_by_crash += u64::from(self.counts.running);
        self.counts.running = 0;
        self.down_until = Some(self.clock.now() + self.options.restart_time);
    }

    pub(super) fn start(&mut self) -> CallStart {
        let down = self.down_until.is_some_and(|until| self.clock.now() < until);
        if down || consume_fault(&mut self.faults.lose_requests) {
            self.counts.requests_lost += 1;
            return CallStart::Lost;
        }
        self.counts.running += 1;
        self.counts.most_running = self.counts.most_running.max(self.counts.running);
        let extra = Duration::from_millis(self.faults.extra_latency_ms);
        CallStart::Running { generation: self.generation, latency: self.options.latency + extra }
    }

    /// Whether a crash aborted the calls that started in `generation`.
    pub(super) fn is_aborted(&self, generation: u64) -> bool {
        generation != self.generation
    }

    pub(super) fn finish(&mut self, generation: u64, key: &str, body: ContentDigest) -> CallEnd {
        if self.is_aborted(generation) {
            return CallEnd::Crashed;
        }
        self.counts.running -= 1;
        self.counts.executions += 1;
        *self.counts.by_body.entry(body).or_default() += 1;
        let executions = self.counts.by_key.entry(key.to_owned()).or_default();
        *executions += 1;
        let execution = *executions;
        if consume_fault(&mut self.faults.lose_replies) || self.draw_lost_reply() {
            self.counts.replies_lost += 1;
            return CallEnd::ReplyLost;
        }
        CallEnd::Answered { execution }
    }

    fn draw_lost_reply(&mut self) -> bool {
        let permille = self.faults.lose_reply_permille;
        permille > 0 && self.random.random_range(0..1000) < permille
    }
}
