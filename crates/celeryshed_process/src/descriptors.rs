//! Limits of the operating system on descriptors.

use rustix::process::{Resource, getrlimit};

/// Most descriptors that the operating system lets this process open.
///
/// ```
/// assert!(celeryshed_process::max_open_descriptors() > 3);
/// ```
pub fn max_open_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX)
}
