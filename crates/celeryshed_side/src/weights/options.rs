//! Options of the weights tasks.

use std::time::Duration;

use celeryshed_base::{ByteCount, RegionName};
use celeryshed_core::distribution::{DistributionGoal, FetchOptions, OptionError};

/// Options of the weights tasks.
#[derive(Clone, Debug)]
pub struct WeightsOptions {
    /// Region of the weight store.
    pub home_region: RegionName,
    /// Which measure the distribution prefers.
    pub weighing: DistributionGoal,
    /// Bandwidth of the instance's link, up and down together, per second.
    pub link: ByteCount,
    /// Options of the scheduler.
    pub fetch: FetchOptions,
    /// Transfers to other sidecars in progress at once.
    pub uploads: usize,
    /// A transfer that delivers nothing for this long is given up.
    pub stall_timeout: Duration,
    /// Interval of looking at the engine's state.
    pub engine_poll: Duration,
    /// Seed of random delays.
    pub seed: u64,
    /// Gives chunks out unverified; shows that the tests notice.
    #[cfg(test)]
    pub skip_verification: bool,
}

impl WeightsOptions {
    /// Options for a store in `home_region` and a link of `link` bytes a second.
    ///
    /// ```
    /// use celeryshed_base::{ByteCount, RegionName};
    /// use celeryshed_side::weights::WeightsOptions;
    /// let home = RegionName::try_from("fukuoka").unwrap();
    /// assert!(WeightsOptions::new(home.clone(), ByteCount(1_000_000)).check().is_ok());
    /// assert!(WeightsOptions::new(home, ByteCount(0)).check().is_err());
    /// ```
    pub fn new(home_region: RegionName, link: ByteCount) -> Self {
        Self {
            home_region,
            weighing: DistributionGoal::Time,
            link,
            fetch: FetchOptions::default(),
            uploads: 3,
            stall_timeout: Duration::from_secs(5),
            engine_poll: Duration::from_secs(1),
            seed: rand::random(),
            #[cfg(test)]
            skip_verification: false,
        }
    }

    /// Checks the ranges.
    pub fn check(&self) -> Result<(), OptionError> {
        let reject = |key, value: String, accepted| Err(OptionError { key, value, accepted });
        if self.link.0 == 0 {
            return reject("link", "0".to_owned(), "at least one byte a second");
        }
        if self.uploads == 0 {
            return reject("uploads", "0".to_owned(), "at least 1");
        }
        if self.stall_timeout.is_zero() {
            return reject("stall_timeout", "0 s".to_owned(), "more than 0 s");
        }
        if self.engine_poll.is_zero() {
            return reject("engine_poll", "0 s".to_owned(), "more than 0 s");
        }
        self.fetch.check()
    }

    /// Whether arriving bytes are compared with their digest.
    pub(super) fn verifies(&self) -> bool {
        #[cfg(test)]
        return !self.skip_verification;
        #[cfg(not(test))]
        true
    }
}
