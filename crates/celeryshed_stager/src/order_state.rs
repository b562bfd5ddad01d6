//! What is known of a load order.

use celeryshed_base::common_derives;

use crate::platform::{ReloadReply, Result, WeightError};

common_derives! { value:
    /// What is known of a load order, and so of the pieces that the endpoint took with it.
    ///
    /// The endpoint takes its staged pieces as they are when it accepts the order, which may be long
    /// after the order was sent.
    ///
    /// ```
    /// use celeryshed_stager::{OrderState, ReloadReply};
    /// let in_time = OrderState::after_reply(&Ok(ReloadReply::Started), true, None);
    /// assert_eq!(in_time, OrderState::Certain);
    /// let late = OrderState::after_reply(&Ok(ReloadReply::Started), false, None);
    /// assert_eq!(late, OrderState::Doubtful);
    /// ```
    #[derive(Copy)]
    pub enum OrderState {
        /// It was accepted while the check of the pieces held.
        Certain,
        /// It was accepted at an unknown time; pieces may have been damaged before.
        Doubtful,
        /// It may have been accepted, or may be later.
        Unsettled,
        /// It was not accepted and won't be.
        Rejected,
    }
}

impl OrderState {
    /// The state after the reply to an order. `is_in_time` tells whether the check of the pieces
    /// held when the reply arrived, `earlier` is the state of the order that this one repeats.
    ///
    /// A repeat may be accepted because the earlier order began the same load, so it is never
    /// certain after a lost reply.
    pub fn after_reply(
        reply: &Result<ReloadReply>,
        is_in_time: bool,
        earlier: Option<Self>,
    ) -> Self {
        let is_earlier_open = earlier.is_some_and(Self::is_open);
        match reply {
            Ok(ReloadReply::Started) if is_in_time && !is_earlier_open => Self::Certain,
            Ok(ReloadReply::Started | ReloadReply::InForce) => Self::Doubtful,
            Ok(ReloadReply::Conflict | ReloadReply::CheckExpired)
            | Err(WeightError::Refused { .. }) => {
                earlier.filter(|_| is_earlier_open).unwrap_or(Self::Rejected)
            }
            Err(
                WeightError::TimedOut { .. }
                | WeightError::CallFailed { .. }
                | WeightError::TooLarge { .. },
            ) => Self::Unsettled,
        }
    }

    /// The state once a report of the endpoint shows that it has accepted an order.
    pub fn after_acceptance(self) -> Self {
        match self {
            Self::Certain => Self::Certain,
            Self::Doubtful | Self::Unsettled | Self::Rejected => Self::Doubtful,
        }
    }

    /// Whether the endpoint may hold damaged pieces, now or later, because of the order.
    pub fn is_open(self) -> bool {
        match self {
            Self::Doubtful | Self::Unsettled => true,
            Self::Certain | Self::Rejected => false,
        }
    }
}
