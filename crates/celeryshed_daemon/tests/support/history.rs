//! Compares the replies to bookings with the executions that the services count.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::{Value, json};

use super::caller::{BookingReply, Caller};
use super::deployment::Deployment;
use super::{print_figures, wait_until};

/// A booking request with its reply.
struct HistoryRow {
    key: String,
    order: String,
    reply: BookingReply,
    /// Executions of the key and order when the reply arrived.
    executed: u64,
}

/// Booking requests and injected faults of one test.
#[derive(Default)]
pub struct BookingHistory {
    rows: Mutex<Vec<HistoryRow>>,
    faults: Mutex<u64>,
}

impl BookingHistory {
    /// Counts an injected fault.
    pub fn count_fault(&self) {
        *self.faults.lock().expect("no test panics with the lock") += 1;
    }

    /// Books and records the reply.
    pub async fn book(
        &self,
        deployment: &Deployment,
        entry: SocketAddr,
        key: &str,
        order: &str,
    ) -> BookingReply {
        let reply = deployment.booking_caller.book(entry, key, order).await;
        self.record_reply(deployment, key, order, reply)
    }

    /// Books with a deadline and records the reply.
    pub async fn book_within(
        &self,
        deployment: &Deployment,
        entry: SocketAddr,
        key: &str,
        order: &str,
        deadline: Duration,
    ) -> BookingReply {
        let reply = deployment.booking_caller.book_within(entry, key, order, deadline).await;
        self.record_reply(deployment, key, order, reply)
    }

    /// Books in a task; the test must record the reply itself.
    pub fn spawn_booking(
        caller: &Caller,
        entry: SocketAddr,
        key: &str,
        order: &str,
    ) -> tokio::task::JoinHandle<BookingReply> {
        let (caller, key, order) = (caller.clone(), key.to_owned(), order.to_owned());
        tokio::spawn(async move { caller.book(entry, &key, &order).await })
    }

    /// Records a reply with the executions so far, and returns the reply.
    pub fn record_reply(
        &self,
        deployment: &Deployment,
        key: &str,
        order: &str,
        reply: BookingReply,
    ) -> BookingReply {
        let executed = deployment.executions(key, order);
        let (key, order) = (key.to_owned(), order.to_owned());
        let row = HistoryRow { key, order, reply: reply.clone(), executed };
        self.rows.lock().expect("no test panics with the lock").push(row);
        reply
    }

    /// Waits until no call runs, checks P3 and P4 for each key and prints the figures.
    pub async fn check(&self, promise: &str, deployment: &Deployment) {
        wait_until("no call runs", || deployment.running_calls() == 0).await;
        let rows = self.rows.lock().expect("no test panics with the lock");
        let mut by_key: BTreeMap<&str, Vec<&HistoryRow>> = BTreeMap::new();
        for row in rows.iter() {
            by_key.entry(&row.key).or_default().push(row);
        }
        let mut violations = Vec::new();
        for (key, rows) in &by_key {
            let mut orders: Vec<&str> = rows.iter().map(|row| row.order.as_str()).collect();
            orders.sort_unstable();
            orders.dedup();
            let executed = orders.iter().map(|order| deployment.executions(key, order)).sum();
            let found = key_violations(rows, executed);
            violations.extend(found.map(|text| format!("{key}: {text}")));
        }
        let faults = *self.faults.lock().expect("no test panics with the lock");
        print_figures(promise, faults, rows.len() as u64, violations.len() as u64);
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// Violations of P3 or P4 in the replies to one key, which was executed `executed` times.
fn key_violations(rows: &[&HistoryRow], executed: u64) -> impl Iterator<Item = String> {
    let mut found = Vec::new();
    if executed > 1 {
        found.push(format!("executed {executed} times"));
    }
    let mut answers: Vec<&Value> = Vec::new();
    for row in rows {
        match &row.reply {
            BookingReply::Answer(answer) if !answers.contains(&answer) => answers.push(answer),
            BookingReply::Answer(_) | BookingReply::Broken(_) => {}
            BookingReply::Problem { not_run, .. }
                if *not_run == json!(true) && row.executed > 0 =>
            {
                found.push(format!(
                    "\"not run\" after {} executions: {:?}",
                    row.executed, row.reply
                ));
            }
            BookingReply::Problem { not_run, .. } if *not_run == json!(false) && executed == 0 => {
                found.push(format!("\"ran\" without an execution: {:?}", row.reply));
            }
            BookingReply::Problem { not_run, .. } if !is_verdict(not_run) => {
                found.push(format!("no verdict: {:?}", row.reply));
            }
            BookingReply::Problem { .. } => {}
        }
    }
    if answers.len() > 1 {
        found.push(format!("different answers: {answers:?}"));
    }
    if !answers.is_empty() && executed == 0 {
        found.push("answered without an execution".to_owned());
    }
    if let Some(last) = rows.last()
        && last.reply.not_run() == Some(&json!(true))
        && executed > 0
    {
        found.push("executed after a last reply \"not run\"".to_owned());
    }
    found.into_iter()
}

fn is_verdict(not_run: &Value) -> bool {
    not_run.is_boolean() || *not_run == json!("unknown")
}
