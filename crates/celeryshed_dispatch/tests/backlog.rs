//! What a backlog of callers that came back does to those that come for the first time.
//!
//! Load pattern, as after a loss of power on coca-fleet-grown trouble-2 (seconds 38 to 44): requests
//! arrive at nine tenths of what the engines carry, and three seconds' worth of refused ones return.

mod support;

use std::collections::BTreeMap;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::*;
use support::*;

const ENGINES: u32 = 4;
/// Requests that an engine runs at once: its slots and one that reads its prompt.
const PLACES: u64 = 17;
/// Mean time that a request takes a place; single ones take a fifth of it to nine fifths.
const HOLD_MS: u64 = 1500;
/// Time from one new request to the next: nine tenths of what the places carry.
const GAP_MS: u64 = 25;
const BACKLOG: u64 = 130;
const SECONDS: u64 = 8;

struct Arrival {
    first: bool,
    profile: RequestProfile,
}

/// Share of the requests that come for the first time, from the second second on, that are placed
/// while they can still be in time.
fn placed_in_time() -> f64 {
    assert!(GAP_MS * u64::from(ENGINES) * PLACES > HOLD_MS);
    let mut dispatcher = dispatcher();
    for index in 0..ENGINES {
        add(
            &mut dispatcher,
            &format!("i-{index}"),
            u64::from(index) + 1,
            endpoint("model", index, Some(1)),
        );
    }
    let mut arrivals: BTreeMap<(MonoTime, u64), Arrival> = BTreeMap::new();
    for number in 0..BACKLOG {
        let now = at(number * 1000 / BACKLOG);
        let profile = RequestProfile { caller_retry: true, ..stream(now) };
        arrivals.insert((now, number), Arrival { first: false, profile });
    }
    for number in 0..SECONDS * 1000 / GAP_MS {
        let now = at(number * GAP_MS);
        arrivals.insert((now, 1000 + number), Arrival { first: true, profile: stream(now) });
    }
    let mut waiting: BTreeMap<RequestNumber, Arrival> = BTreeMap::new();
    let mut ends: BTreeMap<(MonoTime, RequestNumber), EndpointId> = BTreeMap::new();
    let (mut in_time, mut total) = (0_u32, 0_u32);
    for millis in (0..SECONDS * 1000).step_by(5) {
        let now = at(millis);
        while let Some(end) = ends.first_entry().filter(|end| end.key().0 <= now) {
            dispatcher.finish(now, &end.remove(), 0, AttemptOutcome::Served);
        }
        while let Some(next) = arrivals.first_entry().filter(|next| next.key().0 <= now) {
            let ((_, number), arrival) = next.remove_entry();
            total += u32::from(arrival.first && millis >= 1000);
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
                    in_time += u32::from(arrival.first && millis >= 1000 && timely);
                    dispatcher.answered(&target.id, 1000, ms(100), ms(100));
                    let part = (number.0 * 37 + millis) % 160 + 20;
                    ends.insert((now + ms(HOLD_MS * part / 100), number), target.id);
                }
                DispatchDecision::Refuse { number, retry_after, .. } => {
                    let arrival = waiting.remove(&number).unwrap();
                    if arrival.first {
                        let back = now + retry_after;
                        let profile = RequestProfile { caller_retry: true, ..stream(back) };
                        arrivals.insert((back, number.0), Arrival { first: false, profile });
                    }
                }
            }
        }
    }
    f64::from(in_time) / f64::from(total)
}

/// There is room for every new request; those that came back get what is left.
#[test]
fn backlog_does_not_make_new_requests_late() {
    let share = placed_in_time();
    assert!(share > 0.9, "placed in time: {share:.3}");
}
