//! What an endpoint sends for the requests of this entry.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

common_derives! { value:
    /// The answers of one endpoint that have begun and not ended, and when it last sent anything.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::AnswerActivity;
    /// use std::time::Duration;
    /// let activity = AnswerActivity { in_progress: 1, last_at: MonoTime::ZERO };
    /// let now = MonoTime(Duration::from_millis(40));
    /// assert_eq!(activity.silent_for(now), Some(Duration::from_millis(40)));
    /// ```
    #[derive(Copy, Default)]
    pub struct AnswerActivity {
        /// Number of answers that have begun and not ended.
        pub in_progress: u32,
        /// When the endpoint last sent a part of an answer.
        pub last_at: MonoTime,
    }
}

impl AnswerActivity {
    /// Time for which the endpoint has sent nothing for any answer in progress; `None` if there is
    /// none.
    pub fn silent_for(&self, now: MonoTime) -> Option<Duration> {
        (self.in_progress > 0).then(|| now - self.last_at)
    }
}
