//! What to measure.

use std::time::Duration;

use celeryshed_base::common_derives;
use celeryshed_core::distribution::DistributionGoal;

/// Copies of the model that the origin's link carries in the window.
const ORIGIN_COPIES: f64 = 4.0;

/// Copies of the model that an instance's link carries in the window, up and down together.
const INSTANCE_COPIES: f64 = 2.0;

/// Bandwidth of the inter-region links in each direction, in bytes a second (20 Mbit/s).
pub(super) const REGION_LINK_BYTES_PER_S: f64 = 20e6 / 8.0;

common_derives! { value:
    /// The deployments of today.
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
        /// As the product does.
        Product,
        /// Every instance fetches everything from the origin.
        Origin,
        /// One tree for the whole file.
        Tree,
    }

    /// Options of the experiment.
    pub struct SpreadMeasureOptions {
        /// Number of instances.
        pub replicas: usize,
        /// Size of the model in MiB.
        pub size_mib: u32,
        /// Deployment whose regions and latencies are used.
        pub deployment: SpreadDeployment,
        /// Plan.
        pub plan: SpreadPlanKind,
        /// Weighing; `None` takes the deployment's.
        pub weighing: Option<DistributionGoal>,
        /// Seed of all random choices.
        pub seed: u64,
        /// Instances killed during the spread, in percent.
        pub kill_percent: u32,
        /// Transfers corrupted, in percent.
        pub corrupt_percent: u32,
        /// Time in which the links carry the copies named above.
        pub window: Duration,
        /// Size of chunks in KiB.
        pub chunk_kib: u32,
        /// Requests a second at each instance.
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
            weighing: None,
            seed: 1,
            kill_percent: 0,
            corrupt_percent: 0,
            window: Duration::from_secs(20),
            chunk_kib: 32,
            live_per_s: 2,
        }
    }
}

/// A measurement that could not be made.
#[derive(Debug, thiserror::Error)]
pub enum SpreadMeasureError {
    /// An option is out of range.
    #[error("option {key} is {value}: accepted is {accepted}")]
    Option {
        /// The option.
        key: &'static str,
        /// The rejected value.
        value: String,
        /// What is accepted.
        accepted: &'static str,
    },
    /// A side task could not be started.
    #[error("sidecar {index} can't be started: {reason}")]
    Start {
        /// Which one.
        index: usize,
        /// The reason.
        reason: String,
    },
    /// The figures can't be written.
    #[error("figures can't be written: {0}")]
    Output(#[from] std::io::Error),
}

impl SpreadMeasureOptions {
    /// Checks the ranges.
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

    /// Bytes a second of the origin's link.
    pub(super) fn origin_rate(&self) -> f64 {
        ORIGIN_COPIES * self.size_bytes() / self.window.as_secs_f64()
    }

    /// Bytes a second of each instance's link, up and down together.
    pub(super) fn instance_rate(&self) -> f64 {
        INSTANCE_COPIES * self.size_bytes() / self.window.as_secs_f64()
    }

    pub(super) fn chunk_bytes(&self) -> u32 {
        match self.plan {
            SpreadPlanKind::Tree => self.size_mib * 1024 * 1024,
            SpreadPlanKind::Product | SpreadPlanKind::Origin => self.chunk_kib * 1024,
        }
    }

    pub(super) fn weighing(&self) -> DistributionGoal {
        self.weighing.unwrap_or(match self.deployment {
            SpreadDeployment::Hinokage => DistributionGoal::Time,
            SpreadDeployment::Coca => DistributionGoal::OriginBytes,
        })
    }

    /// Copies that may come from the origin.
    pub(super) fn allowed_copies(&self) -> f64 {
        match (self.plan, self.weighing()) {
            (SpreadPlanKind::Origin, _) => self.replicas as f64,
            (_, DistributionGoal::Time) => ORIGIN_COPIES.min(self.replicas as f64),
            (_, DistributionGoal::OriginBytes) => 1.0,
        }
    }

    /// Lower bound of the time to all replicas, see section 7 of the design.
    ///
    /// Every replica receives one copy, and all copies but those of the origin are sent by
    /// replicas over the same links.
    pub(super) fn floor(&self) -> Duration {
        let size = self.size_bytes();
        let copies = self.allowed_copies();
        let mut floor = match self.plan {
            SpreadPlanKind::Origin => copies * size / self.origin_rate(),
            SpreadPlanKind::Product | SpreadPlanKind::Tree => {
                let carried = 2.0 - copies / self.replicas as f64;
                (size / self.origin_rate()).max(carried * size / self.instance_rate())
            }
        };
        if self.replicas > 1 {
            floor = floor.max(size / REGION_LINK_BYTES_PER_S);
        }
        Duration::from_secs_f64(floor)
    }

    /// Names of the regions, the home region first.
    pub(super) fn regions(&self) -> [&'static str; 3] {
        match self.deployment {
            SpreadDeployment::Hinokage => ["fukuoka", "kumamoto", "kagoshima"],
            SpreadDeployment::Coca => ["puget", "willamette", "inland"],
        }
    }

    /// One-way latency between regions.
    pub(super) fn region_latency(&self) -> Duration {
        match self.deployment {
            SpreadDeployment::Hinokage => Duration::from_millis(2),
            SpreadDeployment::Coca => Duration::from_millis(3),
        }
    }

    /// One-way latency to clients.
    pub(super) fn client_latency(&self) -> Duration {
        match self.deployment {
            SpreadDeployment::Hinokage => Duration::from_millis(3),
            SpreadDeployment::Coca => Duration::from_millis(1),
        }
    }
}
