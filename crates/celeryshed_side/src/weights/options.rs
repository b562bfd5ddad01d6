//! Options of the weights tasks.

use std::time::Duration;

use celeryshed_base::{ByteCount, RegionName};
use celeryshed_core::distribution::{DistributionGoal, FetchOptions, OptionError};

/// Options of the weights tasks; [`WeightsOptions::new`] sets the defaults.
#[derive(Clone, Debug)]
pub struct WeightsOptions {
    /// Region of the weight store; its sidecars come first in the distribution order.
    pub home_region: RegionName,
    /// What the distribution minimizes; the time until a version is live by default.
    pub goal: DistributionGoal,
    /// Bandwidth of the instance's link in bytes a second, up and down together; above 0.
    pub link: ByteCount,
    /// Options of the fetch scheduler.
    pub fetch: FetchOptions,
    /// Concurrent uploads to other sidecars; 1 or more, 3 by default.
    pub uploads: usize,
    /// Time without received bytes after which a transfer is aborted; 5 s by default.
    pub stall_timeout: Duration,
    /// Interval of polling the engine's state; 1 s by default.
    pub engine_poll: Duration,
    /// Seed of random delays; random by default.
    pub seed: u64,
    /// Accepts chunks without verification, to prove that the tests detect wrong bytes.
    #[cfg(test)]
    pub skip_verification: bool,
}

impl WeightsOptions {
    /// Creates options for a store in `home_region` and a link of `link` bytes a second.
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
            goal: DistributionGoal::Time,
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

    /// Checks that each option is in its range.
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

    /// Whether received content is compared with its digest.
    pub(super) fn verifies(&self) -> bool {
        #[cfg(test)]
        return !self.skip_verification;
        #[cfg(not(test))]
        true
    }
}
