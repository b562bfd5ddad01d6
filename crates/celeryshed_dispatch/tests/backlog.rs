//! A backlog of caller retries must not delay first attempts.
//!
//! Load pattern after a power loss: first attempts arrive at nine tenths of the engines' capacity,
//! while the requests refused over three seconds are sent again.

mod support;

use std::collections::BTreeMap;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::*;
use support::*;

const ENGINES: u32 = 4;
/// Requests placed on an engine: its slots and one whose prompt is prefilled.
const REQUESTS_PER_ENGINE: u64 = 17;
/// Mean time from the placement of a request to its end; single requests take 0.2 to 1.8 times as
/// long.
const MEAN_REQUEST_MS: u64 = 1500;
/// Time between two first attempts, which gives nine tenths of the engines' capacity.
const ARRIVAL_INTERVAL_MS: u64 = 25;
/// Caller retries that arrive in the first second.
const BACKLOG_REQUESTS: u64 = 130;
const DURATION_S: u64 = 8;

struct Arrival {
    is_first_attempt: bool,
    profile: RequestProfile,
}

/// Fraction of the first attempts that are placed within half of their target latency. Arrivals in
/// the first second are not counted.
fn timely_placement_fraction() -> f64 {
    assert!(ARRIVAL_INTERVAL_MS * u64::from(ENGINES) * REQUESTS_PER_ENGINE > MEAN_REQUEST_MS);
    let mut dispatcher = dispatcher();
    for index in 0..ENGINES {
        add_endpoint(
            &mut dispatcher,
            &format!("i-{index}"),
            u64::from(index) + 1,
            endpoint("model", index, Some(1)),
        );
    }
    let mut arrivals: BTreeMap<(MonoTime, u64), Arrival> = BTreeMap::new();
    for number in 0..BACKLOG_REQUESTS {
        let now = at(number * 1000 / BACKLOG_REQUESTS);
        let profile = RequestProfile { caller_retry: true, ..stream(now) };
        arrivals.insert((now, number), Arrival { is_first_attempt: false, profile });
    }
    for number in 0..DURATION_S * 1000 / ARRIVAL_INTERVAL_MS {
        let now = at(number * ARRIVAL_INTERVAL_MS);
        arrivals
            .insert((now, 1000 + number), Arrival { is_first_attempt: true, profile: stream(now) });
    }
    let mut waiting: BTreeMap<RequestNumber, Arrival> = BTreeMap::new();
    let mut ends: BTreeMap<(MonoTime, RequestNumber), EndpointId> = BTreeMap::new();
    let (mut timely_count, mut total_count) = (0_u32, 0_u32);
    for millis in (0..DURATION_S * 1000).step_by(5) {
        let now = at(millis);
        while let Some(end) = ends.first_entry().filter(|end| end.key().0 <= now) {
            dispatcher.record_end(now, &end.remove(), 0, AttemptOutcome::Served);
        }
        while let Some(next) = arrivals.first_entry().filter(|next| next.key().0 <= now) {
            let ((_, number), arrival) = next.remove_entry();
            total_count += u32::from(arrival.is_first_attempt && millis >= 1000);
            dispatcher.submit(
                now,
                RequestNumber(number),
                arrival.profile.clone(),
                Default::default(),
            );
            waiting.insert(RequestNumber(number), arrival);
        }
        for decision in dispatcher.dispatch_waiting(now, millis) {
            match decision {
                DispatchDecision::Place { number, target, .. } => {
                    let arrival = waiting.remove(&number).unwrap();
                    let waited = now - arrival.profile.arrived_at;
                    let timely = waited <= arrival.profile.target_latency / 2;
                    timely_count += u32::from(arrival.is_first_attempt && millis >= 1000 && timely);
                    dispatcher.record_first_event(&target.id, 1000, ms(100), ms(100));
                    let percent = (number.0 * 37 + millis) % 160 + 20;
                    ends.insert((now + ms(MEAN_REQUEST_MS * percent / 100), number), target.id);
                }
                DispatchDecision::Refuse { number, retry_after, .. } => {
                    let arrival = waiting.remove(&number).unwrap();
                    if arrival.is_first_attempt {
                        let retry_at = now + retry_after;
                        let profile = RequestProfile { caller_retry: true, ..stream(retry_at) };
                        arrivals.insert(
                            (retry_at, number.0),
                            Arrival { is_first_attempt: false, profile },
                        );
                    }
                }
            }
        }
    }
    f64::from(timely_count) / f64::from(total_count)
}

/// Guards against first attempts that wait behind caller retries and become late themselves. The
/// engines have capacity for all first attempts; caller retries use the rest.
#[test]
fn backlog_does_not_delay_first_attempts() {
    let fraction = timely_placement_fraction();
    assert!(fraction > 0.9, "placed in time: {fraction:.3}");
}
