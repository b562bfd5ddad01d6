//! A log and its readers, driven by recorded events.
//!
//! Events, one a line: `change ID base=N|READER KIND ...`, `garbage`, `snapshot READER`,
//! `capture READER NAME`, `append-captured NAME`, `restart READER`, `capture-restart READER NAME`,
//! `append-restart NAME`, `trim OFFSET`, `read READER [LIMIT]`, `hold READER NAME` (keeps a reply), `deliver NAME`,
//! `adopt READER from READER`, `replace READER`, and `expect ...`.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{
    ByteCount, ConfigRevision, ContentDigest, LogOffset, ModelName, RecordId, ServiceName,
    TeamName, TokenCount, TokenRate, UnixMillis, VersionName,
};

use crate::configuration::*;

/// A broken promise or an expectation that does not hold.
pub(super) type Outcome = Result<(), String>;

#[derive(Default)]
pub(super) struct LogWorld {
    /// Makes readers trust every snapshot, to show that the checks are needed.
    trust_any_snapshot: bool,
    records: Vec<LogRecord>,
    ids: Vec<String>,
    oldest: usize,
    readers: BTreeMap<String, ConfigurationReplica>,
    captured: BTreeMap<String, ConfigurationState>,
    restarts: BTreeMap<String, ConfigurationState>,
    held: BTreeMap<String, (String, ConfigurationLogPage)>,
    /// State after each offset and verdicts, as a reader that misses nothing sees them.
    oracle: ConfigurationReplica,
    states: Vec<ConfigurationState>,
    verdicts: BTreeMap<LogOffset, ChangeOutcome>,
}

impl LogWorld {
    pub(super) fn new(trust_any_snapshot: bool) -> Self {
        Self { trust_any_snapshot, ..Self::default() }
    }

    pub(super) fn replay(&mut self, trace: &str) -> Outcome {
        for (index, line) in trace.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                self.step(line).map_err(|error| format!("line {}: {line}: {error}", index + 1))?;
            }
        }
        Ok(())
    }

    pub(super) fn step(&mut self, line: &str) -> Outcome {
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
                    self.captured.insert((*name).to_owned(), state);
                }
            }
            ["append-captured", name] => {
                if let Some(state) = self.captured.get(*name).cloned() {
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
                    self.restarts.insert((*name).to_owned(), state);
                }
            }
            ["append-restart", name] => {
                if let Some(state) = self.restarts.get(*name).cloned() {
                    self.append("", LogRecord::Restart(state));
                }
            }
            ["trim", offset] => {
                let offset: usize = offset.parse().map_err(|_| "no offset")?;
                self.oldest = self.oldest.max(offset.min(self.records.len()));
            }
            ["read", reader] => self.read_to_end(reader)?,
            ["read", reader, limit] => {
                self.read(reader, limit.parse().map_err(|_| "no limit")?)?;
            }
            ["hold", reader, name] => {
                let reply = self.reply(self.reader(reader).next_offset(), 2);
                self.held.insert((*name).to_owned(), ((*reader).to_owned(), reply));
            }
            ["deliver", name] => {
                if let Some((reader, reply)) = self.held.remove(*name) {
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

    fn change(&mut self, id: &str, base: &str, kind: &[&str]) -> Outcome {
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
        self.ids.push(id.to_owned());
        let end = offset.next();
        let records = vec![self.positioned(offset.0 as usize)];
        let report =
            self.oracle.apply(&ConfigurationLogPage { oldest: LogOffset(0), end, records });
        self.verdicts.extend(report.verdicts.into_iter().map(|v| (v.offset, v.outcome)));
        self.states.push(self.oracle.state().cloned().unwrap_or_default());
    }

    fn positioned(&self, offset: usize) -> PositionedRecord {
        PositionedRecord {
            offset: LogOffset(offset as u64),
            appended_at: UnixMillis(offset as u64),
            record: self.records[offset].clone(),
        }
    }

    fn reader(&self, reader: &str) -> ConfigurationReplica {
        let mut fresh = ConfigurationReplica::default();
        fresh.trust_any_snapshot = self.trust_any_snapshot;
        self.readers.get(reader).cloned().unwrap_or(fresh)
    }

    fn reply(&self, from: LogOffset, limit: usize) -> ConfigurationLogPage {
        let from = self.oldest.max(from.0 as usize).min(self.records.len());
        let to = self.records.len().min(from + limit);
        ConfigurationLogPage {
            oldest: LogOffset(self.oldest as u64),
            end: LogOffset(self.records.len() as u64),
            records: (from..to).map(|offset| self.positioned(offset)).collect(),
        }
    }

    fn read_to_end(&mut self, reader: &str) -> Outcome {
        // A snapshot can send the reader back once for each record.
        for _ in 0..=self.records.len() * 2 {
            if !self.read(reader, 2)? {
                return Ok(());
            }
        }
        Err(format!("{reader} reads for ever"))
    }

    /// Reads once; returns whether more is to be read.
    fn read(&mut self, reader: &str, limit: usize) -> Result<bool, String> {
        let reply = self.reply(self.reader(reader).next_offset(), limit);
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
        match verdicts.iter().find(|v| self.verdicts.get(&v.offset) != Some(&v.outcome)) {
            Some(verdict) => Err(format!("{reader} judges {verdict:?} unlike the others")),
            None => Ok(progress),
        }
    }

    /// Changes a reader and checks what must hold for each reader at any time.
    fn with_reader(
        &mut self,
        name: &str,
        change: impl FnOnce(&mut ConfigurationReplica),
    ) -> Outcome {
        let mut replica = self.reader(name);
        let before = replica.revision();
        change(&mut replica);
        if replica.revision() < before {
            return Err(format!(
                "{name} went from revision {before:?} to {:?}",
                replica.revision()
            ));
        }
        if let Some(state) = replica.state() {
            let folded_to = state.folded_to.0 as usize;
            let expected = folded_to.checked_sub(1).map(|last| self.states[last].clone());
            if *state != expected.unwrap_or_default() {
                return Err(format!("{name} differs from a reader that misses nothing: {state:?}"));
            }
        }
        self.readers.insert(name.to_owned(), replica);
        Ok(())
    }

    fn expect(&self, expected: &[&str]) -> Outcome {
        let (actual, wanted) = match expected {
            ["verdict", id, wanted @ ..] => (self.verdict_text(id)?, wanted.join(" ")),
            [reader, "revision", wanted] => {
                let revision = self.reader(reader).revision();
                (revision.map_or("none".to_owned(), |r| r.to_string()), (*wanted).to_owned())
            }
            [reader, "missing", wanted] => {
                (self.reader(reader).records_missing().to_string(), (*wanted).to_owned())
            }
            _ => return Err("unknown expectation".to_owned()),
        };
        let matches = actual == wanted || actual.starts_with("refused") && actual.contains(&wanted);
        if matches { Ok(()) } else { Err(format!("got {actual:?}")) }
    }

    fn verdict_text(&self, id: &str) -> Result<String, String> {
        let offset = self.ids.iter().position(|known| known == id).ok_or("no such change")?;
        Ok(match &self.verdicts[&LogOffset(offset as u64)] {
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
        let (key, value) = term.split_once('=').ok_or("terms are key=value")?;
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
            _ => return Err(format!("unknown term {key}")),
        }
    }
    Ok(contract)
}

fn number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("{text} is no number"))
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
