//! When a declared version of a model has to be in force.
//!
//! Load pattern: all processes are killed while a version is on its way. None of them knows how old
//! the declaration is. If it counted as due at once, every endpoint would be out at the same time until
//! it has loaded the version; instead the older version is still served for a moment after a start.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

common_derives! { value:
    /// Time limits of declared versions.
    #[derive(Copy)]
    pub struct VersionDeadlines {
        /// Time from a declaration until the version is in force.
        pub after_declaration: Duration,
        /// Time from the start of a process in which a version whose age it doesn't know is not yet
        /// due.
        pub after_start: Duration,
    }
}

impl VersionDeadlines {
    /// When a version has to be in force that was declared `age` ago, if its age is known.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::VersionDeadlines;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let deadlines = VersionDeadlines { after_declaration: seconds(8), after_start: seconds(3) };
    /// let now = MonoTime(seconds(1));
    /// assert_eq!(deadlines.due_at(now, Some(seconds(2))), MonoTime(seconds(7)));
    /// assert_eq!(deadlines.due_at(now, None), MonoTime(seconds(3)));
    /// ```
    pub fn due_at(&self, now: MonoTime, age: Option<Duration>) -> MonoTime {
        match age {
            Some(age) => now + self.after_declaration.saturating_sub(age),
            None => now.max(MonoTime::ZERO + self.after_start),
        }
    }
}
