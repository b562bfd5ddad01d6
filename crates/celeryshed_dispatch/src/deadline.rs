//! Deadlines by which declared versions of a model must be in force.
//!
//! Load pattern: all processes are killed while a version is being distributed, so none of them
//! knows how old the declaration is. If the version were due immediately, all endpoints would load
//! it at the same time and none would serve requests. The older version therefore stays allowed for
//! a short time after a start.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

common_derives! { value:
    /// Time limits for bringing declared versions into force.
    #[derive(Copy)]
    pub struct VersionDeadlines {
        /// Time from a declaration until the version is in force.
        pub after_declaration: Duration,
        /// Time after the start of a process before a version of unknown age is due.
        pub after_start: Duration,
    }
}

impl VersionDeadlines {
    /// The deadline of a version that was declared `age` ago; `None` stands for an unknown age.
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
