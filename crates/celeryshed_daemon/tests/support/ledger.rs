//! Checks what callers were told about bookings against what the services executed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::{Value, json};

use super::caller::{BookEnd, Caller};
use super::deployment::Deployment;
use super::{figures, until};

/// One request and its reply.
struct LedgerRow {
    key: String,
    order: String,
    end: BookEnd,
    /// Executions under the key when the reply had arrived.
    executed: u64,
}

/// Requests and faults of one test.
#[derive(Default)]
pub struct Ledger {
    rows: Mutex<Vec<LedgerRow>>,
    faults: Mutex<u64>,
}

impl Ledger {
    /// Notes an injected fault.
    pub fn fault(&self) {
        *self.faults.lock().expect("no test panics with the lock") += 1;
    }

    /// Books and notes the reply.
    pub async fn book(
        &self,
        deployment: &Deployment,
        entry: SocketAddr,
        key: &str,
        order: &str,
    ) -> BookEnd {
        let end = deployment.booker.book(entry, key, order).await;
        self.note(deployment, key, order, end)
    }

    /// Books with a deadline and notes the reply.
    pub async fn book_within(
        &self,
        deployment: &Deployment,
        entry: SocketAddr,
        key: &str,
        order: &str,
        deadline: Duration,
    ) -> BookEnd {
        let end = deployment.booker.book_within(entry, key, order, deadline).await;
        self.note(deployment, key, order, end)
    }

    /// Books in the background; the caller notes the reply.
    pub fn spawn(
        caller: &Caller,
        entry: SocketAddr,
        key: &str,
        order: &str,
    ) -> tokio::task::JoinHandle<BookEnd> {
        let (caller, key, order) = (caller.clone(), key.to_owned(), order.to_owned());
        tokio::spawn(async move { caller.book(entry, &key, &order).await })
    }

    /// Notes a reply.
    pub fn note(&self, deployment: &Deployment, key: &str, order: &str, end: BookEnd) -> BookEnd {
        let executed = deployment.executions(key, order);
        let (key, order) = (key.to_owned(), order.to_owned());
        let row = LedgerRow { key, order, end: end.clone(), executed };
        self.rows.lock().expect("no test panics with the lock").push(row);
        end
    }

    /// Checks each key once nothing runs any more, and prints the figures.
    pub async fn check(&self, promise: &str, deployment: &Deployment) {
        until("no call runs", || deployment.running_calls() == 0).await;
        let rows = self.rows.lock().expect("no test panics with the lock");
        let mut by_key: BTreeMap<&str, Vec<&LedgerRow>> = BTreeMap::new();
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
        figures(promise, faults, rows.len() as u64, violations.len() as u64);
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// What contradicts P3 or P4 in the replies under one key that was executed `executed` times.
fn key_violations(rows: &[&LedgerRow], executed: u64) -> impl Iterator<Item = String> {
    let mut found = Vec::new();
    if executed > 1 {
        found.push(format!("executed {executed} times"));
    }
    let mut answers: Vec<&Value> = Vec::new();
    for row in rows {
        match &row.end {
            BookEnd::Answer(answer) if !answers.contains(&answer) => answers.push(answer),
            BookEnd::Answer(_) | BookEnd::Broken(_) => {}
            BookEnd::Problem { not_run, .. } if *not_run == json!(true) && row.executed > 0 => {
                found.push(format!("\"not run\" after {} executions: {:?}", row.executed, row.end));
            }
            BookEnd::Problem { not_run, .. } if *not_run == json!(false) && executed == 0 => {
                found.push(format!("\"ran\" without an execution: {:?}", row.end));
            }
            BookEnd::Problem { not_run, .. } if !is_verdict(not_run) => {
                found.push(format!("no verdict: {:?}", row.end));
            }
            BookEnd::Problem { .. } => {}
        }
    }
    if answers.len() > 1 {
        found.push(format!("different answers: {answers:?}"));
    }
    if !answers.is_empty() && executed == 0 {
        found.push("answered without an execution".to_owned());
    }
    if let Some(last) = rows.last()
        && last.end.not_run() == Some(&json!(true))
        && executed > 0
    {
        found.push("executed after a last reply \"not run\"".to_owned());
    }
    found.into_iter()
}

fn is_verdict(not_run: &Value) -> bool {
    not_run.is_boolean() || *not_run == json!("unknown")
}
