//! Options of the experiment, and the link rates that follow from them.

use std::time::Duration;

use celeryshed_base::common_derives;
use celeryshed_core::distribution::DistributionGoal;

/// Copies of the model that the origin's link carries in the window.
const ORIGIN_LINK_COPIES: f64 = 4.0;

/// Copies of the model that an instance's link carries in the window, up and down together.
const INSTANCE_LINK_COPIES: f64 = 2.0;

/// Bandwidth of the inter-region links in each direction, in bytes a second (20 Mbit/s).
pub(super) const REGION_LINK_BYTES_PER_S: f64 = 20e6 / 8.0;

common_derives! { value:
    /// The present deployments.
    #[derive(Copy)]
    pub enum SpreadDeployment {
        /// Hinokage Seed Packet Works: regions 2 ms apart; prefers time.
        Hinokage,
        /// Cascadia Orthotic Casting Authority: regions 3 ms apart; prefers origin bytes.
        Coca,
    }

    /// How the version is distributed.
    #[derive(Copy)]
    pub enum SpreadPlanKind {
        /// The product's distribution: instances fetch chunks from each other and from the origin.
        Product,
        /// Every instance fetches the whole model from the origin.
        Origin,
        /// The whole model is one chunk, which instances pass on along a single tree.
        Tree,
    }

    /// Options of a run; [`SpreadMeasureOptions::check`] tests their ranges.
    pub struct SpreadMeasureOptions {
        /// Number of instances, 1 to 400; default 15.
        pub replicas: usize,
        /// Size of the model in MiB, 1 or more; default 8. All replicas together: 8192 or less.
        pub size_mib: u32,
        /// Deployment whose regions, latencies and goal are used; default Hinokage.
        pub deployment: SpreadDeployment,
        /// How the version is distributed; default the product's plan.
        pub plan: SpreadPlanKind,
        /// Goal of the distribution; `None`, the default, takes the deployment's.
        pub goal: Option<DistributionGoal>,
        /// Seed of all random choices; default 1.
        pub seed: u64,
        /// Instances killed during the distribution, in percent, 0 to 50; default 0.
        pub kill_percent: u32,
        /// Chunk transfers that are corrupted, in percent, 0 to 50; default 0.
        pub corrupt_percent: u32,
        /// Time in which the origin's link carries four copies of the model and an instance's link
        /// two; 1 s or more, default 20 s.
        pub window: Duration,
        /// Size of a chunk in KiB, 1 or more; default 32. Ignored by the tree plan.
        pub chunk_kib: u32,
        /// Live requests per second and instance; default 2.
        pub live_per_s: u32,
    }
}

impl Default for SpreadMeasureOptions {
    fn default() -> Self {
        Self {
            replicas: 15,
            size_mib: 8,
            deployment: SpreadDeployment::Hinokage,
            plan: SpreadPlanKind::Product,
            goal: None,
            seed: 1,
            kill_percent: 0,
            corrupt_percent: 0,
            window: Duration::from_secs(20),
            chunk_kib: 32,
            live_per_s: 2,
        }
    }
}

/// The experiment could not be run.
#[derive(Debug, thiserror::Error)]
pub enum SpreadMeasureError {
    /// An option is out of range.
    #[error("option {key} is {value}: accepted is {accepted}")]
    Option {
        /// Name of the option.
        key: &'static str,
        /// The rejected value.
        value: String,
        /// The accepted range.
        accepted: &'static str,
    },
    /// A sidecar could not be started.
    #[error("sidecar {index} can't be started: {reason}")]
    Start {
        /// Index of the sidecar; 0 for errors that concern all sidecars.
        index: usize,
        /// Cause of the error.
        reason: String,
    },
    /// The progress or the figures could not be written.
    #[error("figures can't be written: {0}")]
    Output(#[from] std::io::Error),
}

impl SpreadMeasureOptions {
    /// Checks the ranges of the options; the error names the first option out of range.
    ///
    /// ```
    /// use celeryshed_measure::spread::SpreadMeasureOptions;
    /// assert!(SpreadMeasureOptions::default().check().is_ok());
    /// let options = SpreadMeasureOptions { replicas: 0, ..SpreadMeasureOptions::default() };
    /// assert!(options.check().is_err());
    /// ```
    pub fn check(&self) -> Result<(), SpreadMeasureError> {
        let reject =
            |key, value: String, accepted| Err(SpreadMeasureError::Option { key, value, accepted });
        if !(1..=400).contains(&self.replicas) {
            return reject("replicas", self.replicas.to_string(), "1 to 400");
        }
        let total_mib = self.replicas as u64 * u64::from(self.size_mib);
        if self.size_mib == 0 || total_mib > 8192 {
            let accepted = "at least 1, and at most 8192 MiB over all replicas";
            return reject("size_mib", self.size_mib.to_string(), accepted);
        }
        if self.kill_percent > 50 {
            return reject("kill_percent", self.kill_percent.to_string(), "0 to 50");
        }
        if self.corrupt_percent > 50 {
            return reject("corrupt_percent", self.corrupt_percent.to_string(), "0 to 50");
        }
        if self.chunk_kib == 0 {
            return reject("chunk_kib", "0".to_owned(), "at least 1");
        }
        if self.window < Duration::from_secs(1) {
            return reject("window", format!("{:?}", self.window), "at least 1 s");
        }
        Ok(())
    }

    /// Size of the model in bytes.
    pub(super) fn size_bytes(&self) -> f64 {
        f64::from(self.size_mib) * 1024.0 * 1024.0
    }

    /// Bytes per second of the origin's link.
    pub(super) fn origin_bytes_per_s(&self) -> f64 {
        ORIGIN_LINK_COPIES * self.size_bytes() / self.window.as_secs_f64()
    }

    /// Bytes per second of each instance's link, up and down together.
    pub(super) fn instance_bytes_per_s(&self) -> f64 {
        INSTANCE_LINK_COPIES * self.size_bytes() / self.window.as_secs_f64()
    }

    pub(super) fn chunk_bytes(&self) -> u32 {
        match self.plan {
            SpreadPlanKind::Tree => self.size_mib * 1024 * 1024,
            SpreadPlanKind::Product | SpreadPlanKind::Origin => self.chunk_kib * 1024,
        }
    }

    pub(super) fn goal(&self) -> DistributionGoal {
        self.goal.unwrap_or(match self.deployment {
            SpreadDeployment::Hinokage => DistributionGoal::Time,
            SpreadDeployment::Coca => DistributionGoal::OriginBytes,
        })
    }

    /// Copies of the model that the plan and the goal allow to fetch from the origin.
    pub(super) fn allowed_origin_copies(&self) -> f64 {
        match (self.plan, self.goal()) {
            (SpreadPlanKind::Origin, _) => self.replicas as f64,
            (_, DistributionGoal::Time) => ORIGIN_LINK_COPIES.min(self.replicas as f64),
            (_, DistributionGoal::OriginBytes) => 1.0,
        }
    }

    /// Lower bound of the time until all replicas have the model, see section 7 of the design.
    ///
    /// Every replica receives one copy. Replicas send all copies that don't come from the origin, over
    /// the same links.
    pub(super) fn min_duration(&self) -> Duration {
        let size = self.size_bytes();
        let origin_copies = self.allowed_origin_copies();
        let mut min_seconds = match self.plan {
            SpreadPlanKind::Origin => origin_copies * size / self.origin_bytes_per_s(),
            SpreadPlanKind::Product | SpreadPlanKind::Tree => {
                let copies_per_link = 2.0 - origin_copies / self.replicas as f64;
                (size / self.origin_bytes_per_s())
                    .max(copies_per_link * size / self.instance_bytes_per_s())
            }
        };
        if self.replicas > 1 {
            min_seconds = min_seconds.max(size / REGION_LINK_BYTES_PER_S);
        }
        Duration::from_secs_f64(min_seconds)
    }

    /// Names of the regions, the home region first.
    pub(super) fn regions(&self) -> [&'static str; 3] {
        match self.deployment {
            SpreadDeployment::Hinokage => ["fukuoka", "kumamoto", "kagoshima"],
            SpreadDeployment::Coca => ["puget", "willamette", "inland"],
        }
    }

    /// One-way latency between two regions.
    pub(super) fn region_latency(&self) -> Duration {
        match self.deployment {
            SpreadDeployment::Hinokage => Duration::from_millis(2),
            SpreadDeployment::Coca => Duration::from_millis(3),
        }
    }

    /// One-way latency between a client and its entry.
    pub(super) fn client_latency(&self) -> Duration {
        match self.deployment {
            SpreadDeployment::Hinokage => Duration::from_millis(3),
            SpreadDeployment::Coca => Duration::from_millis(1),
        }
    }
}
