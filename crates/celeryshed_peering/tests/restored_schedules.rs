//! Schedules of reads, fetches and a restore of the store, for processes that learn from each other.

use std::collections::BTreeMap;

use bytes::Bytes;
use celeryshed_base::{LogOffset, LogPosition, StoreEra};
use celeryshed_peering::{
    Admission, ControlBatch, ControlLog, ControlRecord, ControlReply, ControlStream, NewestValues,
};

const KEYS: [&str; 2] = ["configuration", "version"];

/// A generator of pseudo-random numbers (xorshift).
struct Draws(u64);

impl Draws {
    fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % limit as u64) as usize
    }
}

/// Whether positions tell the era, as opposed to the offset only.
#[derive(Clone, Copy, PartialEq)]
enum Eras {
    Told,
    LeftOut,
}

struct StoredLog {
    eras: Eras,
    era: u64,
    /// Key and number of each record.
    records: Vec<(usize, u8)>,
    /// The highest number that was written, by key.
    written: [u8; 2],
}

impl StoredLog {
    fn write(&mut self, key: usize) {
        self.written[key] += 1;
        self.records.push((key, self.written[key]));
    }

    fn at(&self, offset: usize) -> LogPosition {
        let era = if self.eras == Eras::Told { self.era } else { 0 };
        LogPosition::new(StoreEra::try_from(era).unwrap(), LogOffset(offset as u64)).unwrap()
    }

    fn read(&self, from: usize) -> ControlBatch {
        let records = self.records.iter().enumerate().skip(from);
        let records = records.map(|(offset, (key, number))| ControlRecord {
            key: KEYS[*key].to_owned(),
            position: self.at(offset),
            value: Some(Bytes::from(vec![*number])),
        });
        let end = self.at(self.records.len());
        ControlBatch { records: records.collect(), end, is_snapshot: false }
    }

    fn newest(&self) -> ControlBatch {
        let batch = self.read(0);
        let newest: BTreeMap<String, ControlRecord> =
            batch.records.into_iter().map(|record| (record.key.clone(), record)).collect();
        ControlBatch { records: newest.into_values().collect(), is_snapshot: true, ..batch }
    }
}

#[derive(Default)]
struct TestProcess {
    log: ControlLog,
    values: NewestValues,
    /// The number in force of each key.
    in_force: BTreeMap<String, u8>,
    /// Era of the store and offset up to which the process has read it.
    read_to: Option<(u64, usize)>,
}

impl TestProcess {
    fn merge(&mut self, batch: ControlBatch) {
        for record in self.log.merge(ControlStream::Operator, batch) {
            let Some(number) = record.value.as_ref().map(|value| value[0]) else {
                if record.position.is_before_era() {
                    self.values.admit(&mut self.log, &record, 0);
                }
                continue;
            };
            if self.values.admit(&mut self.log, &record, u64::from(number)) == Admission::Newer {
                self.in_force.insert(record.key, number);
            }
        }
    }

    fn read(&mut self, store: &StoredLog) {
        let is_restored = |era| store.eras == Eras::Told && era != store.era;
        let batch = match self.read_to {
            Some((era, offset)) if !is_restored(era) && offset <= store.records.len() => {
                store.read(offset)
            }
            _ => store.newest(),
        };
        self.read_to = Some((store.era, store.records.len()));
        self.merge(batch);
    }

    /// Fetches from a peer that is ahead.
    fn hear(&mut self, peer: &Self) {
        let position = self.log.position();
        if peer.log.position().operator <= position.operator {
            return;
        }
        let reply = ControlReply::changed_since(&peer.log, position);
        let [(_, batch), _] = reply.into_batches();
        self.merge(batch);
    }
}

/// What a schedule with the number `seed` broke.
fn play_schedule(seed: u64, eras: Eras) -> Option<String> {
    let mut draws = Draws((seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut store = StoredLog { eras, era: 0, records: vec![], written: [0; 2] };
    store.write(0);
    let mut processes: [TestProcess; 3] = Default::default();
    let steps = 12 + draws.below(12);
    let restored_at = draws.below(steps);
    for step in 0..steps {
        if step == restored_at {
            let kept = draws.below(store.records.len() + 1);
            store.records.truncate(kept);
            store.era += 1;
        }
        let process = draws.below(processes.len());
        let before = processes[process].in_force.clone();
        match draws.below(8) {
            0..=1 => store.write(draws.below(KEYS.len())),
            2..=4 => processes[process].read(&store),
            5..=6 => hear(&mut processes, process, (process + 1) % 3),
            // The process is restarted.
            _ => {
                processes[process] = TestProcess::default();
                continue;
            }
        }
        let after = &processes[process].in_force;
        if before.iter().any(|(key, number)| after.get(key) < Some(number)) {
            return Some(format!("step {step}: {before:?} went back to {after:?}"));
        }
    }
    // Peers hear from each other before the operator writes again.
    let known = |key: &str| processes.iter().filter_map(|process| process.in_force.get(key)).max();
    let newest = KEYS.map(|key| known(key).copied());
    for round in 0.. {
        let mut is_quiet = true;
        for process in 0..3 {
            let position = processes[process].log.position();
            processes[process].read(&store);
            hear(&mut processes, process, (process + 1) % 3);
            hear(&mut processes, process, (process + 2) % 3);
            is_quiet &= processes[process].log.position() == position;
        }
        if is_quiet {
            break;
        }
        if round > 20 {
            return Some("the processes never stop fetching".to_owned());
        }
    }
    let has_configuration = |process: &TestProcess| process.in_force.get(KEYS[0]).copied();
    if processes.iter().any(|process| has_configuration(process) < newest[0]) {
        let known: Vec<_> = processes.iter().map(has_configuration).collect();
        return Some(format!("of configuration {newest:?}, the processes know {known:?}"));
    }
    store.write(0);
    store.write(1);
    for process in &mut processes[..2] {
        process.read(&store);
    }
    // The third one can't reach the store.
    hear(&mut processes, 2, 0);
    let expected: BTreeMap<String, u8> =
        KEYS.iter().map(|key| (*key).to_owned()).zip(store.written).collect();
    let behind = processes.iter().find(|process| process.in_force != expected);
    behind.map(|process| format!("{:?} instead of {expected:?}", process.in_force))
}

fn hear(processes: &mut [TestProcess; 3], process: usize, peer: usize) {
    let mut hearing = std::mem::take(&mut processes[process]);
    hearing.hear(&processes[peer]);
    processes[process] = hearing;
}

/// Guards against a restore that hides the newest records: whatever the order of reads, fetches and
/// restarts, nothing in force goes back, and all processes learn the newest configuration.
#[test]
fn processes_agree_on_the_newest_records_after_a_restore() {
    for seed in 0..10_000 {
        if let Some(broken) = play_schedule(seed, Eras::Told) {
            panic!("seed {seed}: {broken}");
        }
    }
}

/// The schedules find what happens if offsets of several eras are compared.
#[test]
fn schedules_break_if_positions_tell_no_era() {
    let broken = (0..1000).filter(|seed| play_schedule(*seed, Eras::LeftOut).is_some()).count();
    assert!(broken > 100, "{broken}");
}
