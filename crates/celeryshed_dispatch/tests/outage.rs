//! Callers that are refused during an outage return when endpoints serve again.
//!
//! Load pattern: all engines of a service load weights at once, or restart, and no request can start
//! for three seconds. Callers return once, after the delay that they are told.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::*;
use support::*;

const ENGINES: u32 = 4;
const OUTAGE_MS: u64 = 3000;
const ARRIVAL_INTERVAL_MS: u64 = 40;
const MEAN_REQUEST_MS: u64 = 1200;

struct Caller {
    arrived_at: MonoTime,
    is_retry: bool,
}

/// Fraction of the callers refused in the outage that are placed when they return, with the delay
/// that `delay_of` makes of the one that the dispatcher states.
fn returned_fraction(delay_of: impl Fn(Duration, u64) -> Duration) -> f64 {
    let mut dispatcher = dispatcher();
    let set_version = |dispatcher: &mut EntryDispatcher, offset: u64, version| {
        for index in 0..ENGINES {
            let id = format!("i-{index}");
            let offset = offset + u64::from(index);
            add_endpoint(dispatcher, &id, offset, endpoint("model", index, version));
        }
    };
    set_version(&mut dispatcher, 1, None);
    let mut arrivals: BTreeMap<(MonoTime, u64), Caller> = (0..OUTAGE_MS / ARRIVAL_INTERVAL_MS)
        .map(|number| {
            let arrived_at = at(number * ARRIVAL_INTERVAL_MS);
            ((arrived_at, number), Caller { arrived_at, is_retry: false })
        })
        .collect();
    let caller_count = arrivals.len();
    let mut waiting: BTreeMap<RequestNumber, Caller> = BTreeMap::new();
    let mut ends: BTreeMap<(MonoTime, RequestNumber), EndpointId> = BTreeMap::new();
    let mut placed_count = 0;
    for millis in (0..OUTAGE_MS + 6000).step_by(5) {
        let now = at(millis);
        if millis == OUTAGE_MS {
            set_version(&mut dispatcher, 100, Some(1));
        }
        while let Some(end) = ends.first_entry().filter(|end| end.key().0 <= now) {
            dispatcher.record_end(now, &end.remove(), 0, AttemptOutcome::Served);
        }
        while let Some(next) = arrivals.first_entry().filter(|next| next.key().0 <= now) {
            let ((_, number), caller) = next.remove_entry();
            let deadline = caller.arrived_at + ms(6000);
            let caller_retry = caller.is_retry;
            let profile = RequestProfile { caller_retry, deadline, ..stream(now) };
            dispatcher.submit(now, RequestNumber(number), profile, Default::default());
            waiting.insert(RequestNumber(number), caller);
        }
        for decision in dispatcher.dispatch_waiting(now, millis) {
            match decision {
                DispatchDecision::Place { number, target, .. } => {
                    waiting.remove(&number);
                    placed_count += 1;
                    dispatcher.record_first_event(&target.id, 1000, ms(100), ms(100));
                    ends.insert((now + ms(MEAN_REQUEST_MS), number), target.id);
                }
                DispatchDecision::Refuse { number, retry_after, .. } => {
                    let caller = waiting.remove(&number).unwrap();
                    if !caller.is_retry {
                        let retry_at = now + delay_of(retry_after, number.0);
                        let caller = Caller { is_retry: true, ..caller };
                        arrivals.insert((retry_at, number.0), caller);
                    }
                }
            }
        }
    }
    f64::from(placed_count) / caller_count as f64
}

/// Guards against callers who are told to return while the outage lasts: they return once, and are
/// refused for good. With delays of 0.6 to 1.8 s, fewer of them were served.
#[test]
fn callers_return_when_endpoints_serve_again() {
    let served = returned_fraction(|delay, _| delay);
    assert!(served > 0.9, "{served:.3}");
    let soon = returned_fraction(|_, number| ms(600 + number * 37 % 1200));
    assert!(soon < 0.9, "{soon:.3}");
}

/// A caller with a short time limit of its own is told a delay within that limit.
#[test]
fn delay_fits_time_limit_of_caller() {
    for reason in [RefusalReason::Overload, RefusalReason::NoEndpoint] {
        for random in [0, 512, 1023] {
            let delay = retry_after(reason, ms(1200), random);
            assert!(delay <= ms(400), "{reason:?} {delay:?}");
        }
    }
}
