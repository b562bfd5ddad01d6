//! Simulation of a log and its readers, driven by recorded events.
//!
//! A trace has one event per line:
//!
//! - `change ID base=N|READER KIND ...` and `garbage` append a change and a malformed record;
//! - `snapshot READER` and `restart READER` append the reader's state;
//! - `capture READER NAME` and `capture-restart READER NAME` save the state, and
//!   `append-captured NAME` and `append-restart NAME` append it later;
//! - `trim OFFSET` removes the records below the offset;
//! - `read READER [LIMIT]` reads the log, and `hold READER NAME` delays the reply of a read until
//!   `deliver NAME`;
//! - `adopt READER from READER` installs the state of a peer, and `replace READER` resets a reader;
//! - `expect ...` checks a verdict or a reader.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{
    ByteCount, ConfigRevision, ContentDigest, LogOffset, ModelName, RecordId, ServiceName,
    TeamName, TokenCount, TokenRate, UnixMillis, VersionName,
};

use crate::configuration::*;

/// `Err` describes a violated invariant or expectation.
pub(super) type CheckResult = Result<(), String>;

#[derive(Default)]
pub(super) struct LogSimulation {
    /// Makes readers install every snapshot unchecked, to show that the checks are needed.
    skip_snapshot_checks: bool,
    records: Vec<LogRecord>,
    change_ids: Vec<String>,
    oldest: usize,
    readers: BTreeMap<String, ConfigurationReplica>,
    captured_states: BTreeMap<String, ConfigurationState>,
    captured_restarts: BTreeMap<String, ConfigurationState>,
    delayed_replies: BTreeMap<String, (String, ConfigurationLogPage)>,
    /// Replica that applies every record as soon as it is appended; yields the expected states and
    /// verdicts.
    oracle: ConfigurationReplica,
    /// State of `oracle` after the record at each offset.
    expected_states: Vec<ConfigurationState>,
    expected_verdicts: BTreeMap<LogOffset, ChangeOutcome>,
}

impl LogSimulation {
    pub(super) fn new(skip_snapshot_checks: bool) -> Self {
        Self { skip_snapshot_checks, ..Self::default() }
    }

    pub(super) fn replay(&mut self, trace: &str) -> CheckResult {
        for (index, line) in trace.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                self.apply_event(line)
                    .map_err(|error| format!("line {}: {line}: {error}", index + 1))?;
            }
        }
        Ok(())
    }

    pub(super) fn apply_event(&mut self, line: &str) -> CheckResult {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["change", id, base, kind @ ..] => self.change(id, base, kind)?,
            ["garbage"] => {
                let reason = "not MessagePack".to_owned();
                self.append("", LogRecord::Malformed { record_id: None, reason });
            }
            ["snapshot", reader] => {
                if let Some(state) = self.reader(reader).state().cloned() {
                    self.append("", LogRecord::Snapshot(state));
                }
            }
            ["capture", reader, name] => {
                if let Some(state) = self.reader(reader).state().cloned() {
                    self.captured_states.insert((*name).to_owned(), state);
                }
            }
            ["append-captured", name] => {
                if let Some(state) = self.captured_states.get(*name).cloned() {
                    self.append("", LogRecord::Snapshot(state));
                }
            }
            ["restart", reader] => {
                let end = LogOffset(self.records.len() as u64);
                if let Some(state) = self.reader(reader).restart_state(end) {
                    self.append("", LogRecord::Restart(state));
                }
            }
            ["capture-restart", reader, name] => {
                let end = LogOffset(self.records.len() as u64);
                if let Some(state) = self.reader(reader).restart_state(end) {
                    self.captured_restarts.insert((*name).to_owned(), state);
                }
            }
            ["append-restart", name] => {
                if let Some(state) = self.captured_restarts.get(*name).cloned() {
                    self.append("", LogRecord::Restart(state));
                }
            }
            ["trim", offset] => {
                let offset: usize = offset.parse().map_err(|_| "the offset is not a number")?;
                self.oldest = self.oldest.max(offset.min(self.records.len()));
            }
            ["read", reader] => self.read_to_end(reader)?,
            ["read", reader, limit] => {
                self.read(reader, limit.parse().map_err(|_| "the limit is not a number")?)?;
            }
            ["hold", reader, name] => {
                let reply = self.log_page(self.reader(reader).next_offset(), 2);
                self.delayed_replies.insert((*name).to_owned(), ((*reader).to_owned(), reply));
            }
            ["deliver", name] => {
                if let Some((reader, reply)) = self.delayed_replies.remove(*name) {
                    self.deliver(&reader, &reply)?;
                }
            }
            ["adopt", reader, "from", peer] => {
                if let Some(state) = self.reader(peer).state().cloned() {
                    self.with_reader(reader, |replica| {
                        replica.install_state(&state);
                    })?;
                }
            }
            ["replace", reader] => {
                self.readers.remove(*reader);
            }
            ["expect", expected @ ..] => self.expect(expected)?,
            _ => return Err("unknown event".to_owned()),
        }
        Ok(())
    }

    fn change(&mut self, id: &str, base: &str, kind: &[&str]) -> CheckResult {
        let base = base.trim_start_matches("base=");
        let base_revision = match base.parse() {
            Ok(number) => ConfigRevision(number),
            Err(_) => self.reader(base).revision().unwrap_or_default(),
        };
        let change = parse_change(kind)?;
        let record_id = RecordId::from_u128(id.bytes().fold(0, |sum, b| sum * 256 + u128::from(b)));
        self.append(id, LogRecord::Change(ChangeRecord { record_id, base_revision, change }));
        Ok(())
    }

    fn append(&mut self, id: &str, record: LogRecord) {
        let offset = LogOffset(self.records.len() as u64);
        self.records.push(record);
        self.change_ids.push(id.to_owned());
        let end = offset.next();
        let records = vec![self.positioned(offset.0 as usize)];
        let report =
            self.oracle.apply(&ConfigurationLogPage { oldest: LogOffset(0), end, records });
        self.expected_verdicts.extend(report.verdicts.into_iter().map(|v| (v.offset, v.outcome)));
        self.expected_states.push(self.oracle.state().cloned().unwrap_or_default());
    }

    fn positioned(&self, offset: usize) -> PositionedRecord {
        PositionedRecord {
            offset: LogOffset(offset as u64),
            appended_at: UnixMillis(offset as u64),
            record: self.records[offset].clone(),
        }
    }

    fn reader(&self, reader: &str) -> ConfigurationReplica {
        let mut empty = ConfigurationReplica::default();
        empty.skip_snapshot_checks = self.skip_snapshot_checks;
        self.readers.get(reader).cloned().unwrap_or(empty)
    }

    fn log_page(&self, from: LogOffset, limit: usize) -> ConfigurationLogPage {
        let from = self.oldest.max(from.0 as usize).min(self.records.len());
        let to = self.records.len().min(from + limit);
        ConfigurationLogPage {
            oldest: LogOffset(self.oldest as u64),
            end: LogOffset(self.records.len() as u64),
            records: (from..to).map(|offset| self.positioned(offset)).collect(),
        }
    }

    fn read_to_end(&mut self, reader: &str) -> CheckResult {
        // Each snapshot can move the reader's next offset back once.
        for _ in 0..=self.records.len() * 2 {
            if !self.read(reader, 2)? {
                return Ok(());
            }
        }
        Err(format!("{reader} does not reach the end of the log"))
    }

    /// Reads one page; returns whether the log has further records.
    fn read(&mut self, reader: &str, limit: usize) -> Result<bool, String> {
        let reply = self.log_page(self.reader(reader).next_offset(), limit);
        Ok(self.deliver(reader, &reply)? == ReplayProgress::Behind)
    }

    fn deliver(
        &mut self,
        reader: &str,
        reply: &ConfigurationLogPage,
    ) -> Result<ReplayProgress, String> {
        let mut progress = ReplayProgress::Behind;
        let mut verdicts = Vec::new();
        self.with_reader(reader, |replica| {
            let report = replica.apply(reply);
            progress = report.progress;
            verdicts = report.verdicts;
        })?;
        match verdicts.iter().find(|v| self.expected_verdicts.get(&v.offset) != Some(&v.outcome)) {
            Some(verdict) => Err(format!(
                "{reader} reached {verdict:?}, which differs from the expected verdict"
            )),
            None => Ok(progress),
        }
    }

    /// Changes a reader, then checks that its revision did not decrease and that its state equals
    /// the expected state at the same offset.
    fn with_reader(
        &mut self,
        name: &str,
        change: impl FnOnce(&mut ConfigurationReplica),
    ) -> CheckResult {
        let mut replica = self.reader(name);
        let before = replica.revision();
        change(&mut replica);
        if replica.revision() < before {
            return Err(format!(
                "{name} went back from revision {before:?} to {:?}",
                replica.revision()
            ));
        }
        if let Some(state) = replica.state() {
            let folded_to = state.folded_to.0 as usize;
            let expected = folded_to.checked_sub(1).map(|last| self.expected_states[last].clone());
            if *state != expected.unwrap_or_default() {
                return Err(format!("{name} differs from the expected state: {state:?}"));
            }
        }
        self.readers.insert(name.to_owned(), replica);
        Ok(())
    }

    fn expect(&self, expected: &[&str]) -> CheckResult {
        let (actual, expected_text) = match expected {
            ["verdict", id, text @ ..] => (self.verdict_text(id)?, text.join(" ")),
            [reader, "revision", text] => {
                let revision = self.reader(reader).revision();
                (revision.map_or("none".to_owned(), |r| r.to_string()), (*text).to_owned())
            }
            [reader, "missing", text] => {
                (self.reader(reader).records_missing().to_string(), (*text).to_owned())
            }
            _ => return Err("unknown expectation".to_owned()),
        };
        let matches = actual == expected_text
            || actual.starts_with("refused") && actual.contains(&expected_text);
        if matches { Ok(()) } else { Err(format!("expected {expected_text:?}, got {actual:?}")) }
    }

    fn verdict_text(&self, id: &str) -> Result<String, String> {
        let offset =
            self.change_ids.iter().position(|known| known == id).ok_or("no change has this id")?;
        Ok(match &self.expected_verdicts[&LogOffset(offset as u64)] {
            ChangeOutcome::Accepted(revision) => format!("accepted {revision}"),
            ChangeOutcome::Refused(reason) => format!("refused: {reason}"),
        })
    }
}

fn parse_change(kind: &[&str]) -> Result<ChangeKind, String> {
    Ok(match kind {
        ["service", name, kind, endpoints, slots, tokens, version @ ..] => {
            let definition = ServiceDefinition {
                kind: if *kind == "engine" { EndpointKind::Engine } else { EndpointKind::Plain },
                endpoints: number(endpoints)? as u32,
                slots_per_endpoint: number(slots)? as u32,
                tokens_per_endpoint: TokenRate(number(tokens)?),
                version: version.first().map(|version| version_name(version)),
            };
            ChangeKind::PutService(service(name), definition)
        }
        ["contract", name, terms @ ..] => {
            ChangeKind::PutContract(team(name), parse_contract(name, terms)?)
        }
        ["remove", name] => ChangeKind::RemoveContract(team(name)),
        ["publish", version, content] => {
            let model = ModelVersion {
                model: ModelName::try_from("model").unwrap(),
                manifest: ContentDigest::of(content.as_bytes()),
                size: ByteCount(content.trim_start_matches("empty").len() as u64),
            };
            ChangeKind::PublishModel(version_name(version), model)
        }
        ["select", name, version] => {
            ChangeKind::SelectVersion(service(name), version_name(version))
        }
        _ => return Err("unknown change".to_owned()),
    })
}

fn parse_contract(name: &str, terms: &[&str]) -> Result<TeamContract, String> {
    let mut contract = TeamContract {
        api_key_hash: ContentDigest::of(name.as_bytes()),
        service: service("drafter"),
        token_rate: TokenRate(100),
        requests_in_progress: 1,
        burst: TokenCount(0),
        displaces: Default::default(),
        displaces_uncontracted: true,
        scarcity: ScarcityPolicy::Refuse,
        retry_budget_percent: 10,
        first_token: Duration::from_millis(400),
        objective_basis_points: 9_500,
    };
    for term in terms {
        let (key, value) =
            term.split_once('=').ok_or("a contract term is not of the form key=value")?;
        match key {
            "service" => contract.service = service(value),
            "tokens" => contract.token_rate = TokenRate(number(value)?),
            "requests" => contract.requests_in_progress = number(value)? as u32,
            "displaces" => contract.displaces = value.split(',').map(team).collect(),
            "key" => contract.api_key_hash = ContentDigest::of(value.as_bytes()),
            "fallback" => contract.scarcity = ScarcityPolicy::SmallerModel(service(value)),
            "wait_ms" => {
                contract.scarcity = ScarcityPolicy::Wait(Duration::from_millis(number(value)?));
            }
            "retry" => contract.retry_budget_percent = number(value)? as u32,
            "first_ms" => contract.first_token = Duration::from_millis(number(value)?),
            "objective" => contract.objective_basis_points = number(value)? as u32,
            _ => return Err(format!("unknown contract term {key:?}")),
        }
    }
    Ok(contract)
}

fn number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("{text:?} is not a number"))
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).unwrap()
}

fn team(name: &str) -> TeamName {
    TeamName::try_from(name).unwrap()
}

fn version_name(name: &str) -> VersionName {
    VersionName::try_from(name).unwrap()
}
