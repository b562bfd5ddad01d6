//! Log: whether the error of a failed append matches its effect, order of records, and retention.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, LogOffset};
use celeryshed_platform::fakes::FakeLog;
use celeryshed_platform::{HttpLogClient, LogClient, PlatformError};
use celeryshed_standin::Outage;
use celeryshed_standin::platform::{
    LogControl, LogFaults, LogOptions, LogRestore, RawLogOptions, RunningLog,
};

use crate::{TIMEOUTS, Verdict, any_port, base_url, verdict};

const STREAM: &str = "claims-3";

#[derive(Clone, Copy, Debug)]
enum LogFault {
    None,
    Refusal,
    ReplyLost,
    RequestLost,
}

/// Fault, verdict of one append of two records under it, and records in the log afterwards.
const APPEND_CASES: [(LogFault, Verdict, usize); 4] = [
    (LogFault::None, Verdict::Done, 2),
    (LogFault::Refusal, Verdict::Refused, 0),
    (LogFault::ReplyLost, Verdict::ReplyLost, 2),
    (LogFault::RequestLost, Verdict::ReplyLost, 0),
];

enum TestedLogClient {
    Fake(FakeLog),
    Http(HttpLogClient, RunningLog),
}

impl TestedLogClient {
    fn fake() -> Self {
        Self::Fake(FakeLog::new(ClockSource::start()))
    }

    async fn http() -> Self {
        let log = RunningLog::launch(LogOptions::default(), any_port()).await.unwrap();
        let client = HttpLogClient::try_new(&base_url(log.address()), TIMEOUTS).unwrap();
        Self::Http(client, log)
    }

    fn client(&self) -> Arc<dyn LogClient> {
        match self {
            Self::Fake(fake) => Arc::new(fake.clone()),
            Self::Http(client, _) => Arc::new(client.clone()),
        }
    }

    fn inject(&self, fault: LogFault) {
        match self {
            Self::Fake(fake) => inject_fake(fake, fault),
            Self::Http(_, log) => log.control().set_faults(standin_faults(fault)),
        }
    }

    fn set_retention(&self, retention: Duration) {
        match self {
            Self::Fake(fake) => fake.set_retention(Some(retention)),
            Self::Http(_, log) => {
                let retention_ms = Some(retention.as_millis() as u64);
                log.control().set_faults(LogFaults { retention_ms, ..LogFaults::default() });
            }
        }
    }

    fn restore(&self, copy_age: Duration, outage: Duration) {
        match self {
            Self::Fake(fake) => fake.restore(copy_age, outage),
            Self::Http(_, log) => {
                let copy_age_ms = copy_age.as_millis() as u64;
                let restore =
                    Some(LogRestore { copy_age_ms, outage_ms: outage.as_millis() as u64 });
                log.control().set_faults(LogFaults { restore, ..LogFaults::default() });
            }
        }
    }

    fn trim_before(&self, offset: LogOffset) {
        match self {
            Self::Fake(fake) => fake.trim_before(STREAM, offset),
            Self::Http(_, log) => {
                let trim_before = [(STREAM.to_owned(), offset)].into();
                log.control().set_faults(LogFaults { trim_before, ..LogFaults::default() });
            }
        }
    }
}

fn inject_fake(fake: &FakeLog, fault: LogFault) {
    fake.refuse_next(matches!(fault, LogFault::Refusal).into(), Some(Duration::from_secs(1)));
    fake.lose_next_replies(matches!(fault, LogFault::ReplyLost).into());
    fake.lose_next_requests(matches!(fault, LogFault::RequestLost).into());
}

fn standin_faults(fault: LogFault) -> LogFaults {
    let faults = LogFaults::default();
    match fault {
        LogFault::None => faults,
        LogFault::Refusal => LogFaults { outage: Outage::Unavailable, ..faults },
        LogFault::ReplyLost => LogFaults { lose_replies: 1, ..faults },
        LogFault::RequestLost => LogFaults { lose_requests: 1, ..faults },
    }
}

async fn check_append(tested: TestedLogClient, case: (LogFault, Verdict, usize)) {
    let (fault, expected, kept) = case;
    let client = tested.client();
    tested.inject(fault);
    let result = client.append(STREAM, vec!["first".into(), "second".into()]).await;
    assert_eq!(verdict(&result), expected, "{fault:?}: {result:?}");
    if let Err(PlatformError::Refused { retry_after, .. }) = &result {
        assert_eq!(*retry_after, Some(Duration::from_secs(1)), "{fault:?}");
    }
    tested.inject(LogFault::None);
    let reply = client.read(STREAM, LogOffset(0), 10).await.unwrap();
    let payloads: Vec<_> = reply.entries.iter().map(|entry| entry.payload.to_vec()).collect();
    assert_eq!(payloads, [b"first".to_vec(), b"second".to_vec()][..kept], "{fault:?}");
    assert_eq!(reply.end_offset, LogOffset(kept as u64), "{fault:?}");
}

/// Guards against an error that misstates the effect of an append: a caller would append a record
/// twice or give up a record that is in the log.
#[tokio::test(start_paused = true)]
async fn append_faults_of_the_fake() {
    for case in APPEND_CASES {
        check_append(TestedLogClient::fake(), case).await;
    }
}

/// The same table for the HTTP client.
#[tokio::test]
async fn append_faults_of_the_client() {
    for case in APPEND_CASES {
        check_append(TestedLogClient::http().await, case).await;
    }
}

async fn check_reads(tested: TestedLogClient) {
    let client = tested.client();
    let empty = client.read(STREAM, LogOffset(0), 10).await.unwrap();
    assert_eq!((empty.oldest_offset, empty.end_offset), (LogOffset(0), LogOffset(0)));
    for number in 0..5u8 {
        let first = client.append(STREAM, vec![vec![number].into()]).await.unwrap();
        assert_eq!(first, LogOffset(number.into()));
    }
    // (from, limit, offsets returned) before and after the trim of offsets 0 to 2.
    let before = [(0, 2, 0..2), (3, 10, 3..5), (5, 10, 0..0), (9, 10, 0..0), (0, 0, 0..0)];
    let after = [(0, 10, 3..5), (3, 1, 3..4), (4, 10, 4..5)];
    for (from, limit, offsets) in before {
        check_read(client.as_ref(), from, limit, offsets, 0).await;
    }
    tested.trim_before(LogOffset(3));
    for (from, limit, offsets) in after {
        check_read(client.as_ref(), from, limit, offsets, 3).await;
    }
}

async fn check_read(
    client: &dyn LogClient,
    from: u64,
    limit: u32,
    offsets: std::ops::Range<u64>,
    oldest: u64,
) {
    let reply = client.read(STREAM, LogOffset(from), limit).await.unwrap();
    let got: Vec<_> = reply.entries.iter().map(|entry| entry.offset.0).collect();
    assert_eq!(got, offsets.collect::<Vec<_>>(), "from {from} limit {limit}");
    assert_eq!((reply.oldest_offset, reply.end_offset), (LogOffset(oldest), LogOffset(5)));
}

/// Guards against skipped or repeated records when a reader pages through the log or starts before
/// the oldest record.
#[tokio::test(start_paused = true)]
async fn reads_of_the_fake() {
    check_reads(TestedLogClient::fake()).await;
}

/// The same reads for the HTTP client.
#[tokio::test]
async fn reads_of_the_client() {
    check_reads(TestedLogClient::http().await).await;
}

async fn check_retention(tested: TestedLogClient) {
    let client = tested.client();
    tested.set_retention(Duration::from_millis(300));
    client.append(STREAM, vec!["old".into()]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    client.append(STREAM, vec!["new".into()]).await.unwrap();
    let reply = client.read(STREAM, LogOffset(0), 10).await.unwrap();
    let offsets: Vec<_> = reply.entries.iter().map(|entry| entry.offset).collect();
    assert_eq!(offsets, [LogOffset(1)]);
    assert_eq!(reply.oldest_offset, LogOffset(1));
}

/// Guards against a log that ignores its retention, which would hide missing snapshots in tests.
#[tokio::test(start_paused = true)]
async fn retention_of_the_fake() {
    check_retention(TestedLogClient::fake()).await;
}

/// The same retention for the stand-in.
#[tokio::test]
async fn retention_of_the_client() {
    check_retention(TestedLogClient::http().await).await;
}

async fn append_one(client: &dyn LogClient, record: &'static str) -> LogOffset {
    client.append(STREAM, vec![record.into()]).await.unwrap()
}

async fn check_restore(tested: TestedLogClient) {
    let client = tested.client();
    let pause = Duration::from_millis(400);
    append_one(client.as_ref(), "kept").await;
    tokio::time::sleep(pause).await;
    for record in ["lost first", "lost second"] {
        append_one(client.as_ref(), record).await;
    }
    assert_eq!(client.read(STREAM, LogOffset(0), 10).await.unwrap().era, 0);

    tested.restore(pause / 2, pause);
    assert!(client.append(STREAM, vec!["refused".into()]).await.is_err());
    assert!(client.read(STREAM, LogOffset(0), 10).await.is_err());
    tokio::time::sleep(pause + pause / 4).await;

    // A reader at the former end learns that the log is shorter now.
    let reply = client.read(STREAM, LogOffset(3), 10).await.unwrap();
    assert_eq!((reply.entries.len(), reply.end_offset, reply.era), (0, LogOffset(1), 1));
    assert_eq!(append_one(client.as_ref(), "new").await, LogOffset(1));
    let reply = client.read(STREAM, LogOffset(0), 10).await.unwrap();
    let records: Vec<_> = reply.entries.iter().map(|entry| entry.payload.to_vec()).collect();
    assert_eq!(records, [b"kept".to_vec(), b"new".to_vec()]);

    // A second restore, of a copy that is older than all records and without an outage.
    tested.restore(Duration::from_secs(60), Duration::ZERO);
    let reply = client.read(STREAM, LogOffset(0), 10).await.unwrap();
    assert_eq!((reply.entries.len(), reply.end_offset, reply.era), (0, LogOffset(0), 2));
    assert_eq!(append_one(client.as_ref(), "first").await, LogOffset(0));
}

/// Guards against a log that keeps acknowledged records, offsets or its era over a restore from a
/// copy, which would hide faults of its readers.
#[tokio::test(start_paused = true)]
async fn restore_of_the_fake() {
    check_restore(TestedLogClient::fake()).await;
}

/// The same restores for the stand-in.
#[tokio::test]
async fn restore_of_the_client() {
    check_restore(TestedLogClient::http().await).await;
}

/// Guards against a trimmed log whose offsets start at 0 again after a restore, and against a
/// restore that is lost when another follows before its outage ends.
#[tokio::test(start_paused = true)]
async fn restore_keeps_trimmed_offsets_of_the_fake() {
    let fake = FakeLog::new(ClockSource::start());
    fake.insert(STREAM, vec!["trimmed".into(), "trimmed".into()]);
    fake.trim_before(STREAM, LogOffset(2));
    tokio::time::sleep(Duration::from_millis(100)).await;
    fake.insert(STREAM, vec!["lost".into()]);
    fake.restore(Duration::from_millis(50), Duration::from_secs(1));
    fake.restore(Duration::ZERO, Duration::ZERO);
    let reply = fake.read(STREAM, LogOffset(0), 10).await.unwrap();
    assert_eq!((reply.oldest_offset, reply.end_offset), (LogOffset(2), LogOffset(2)));
    assert_eq!(reply.era, 2);
}

/// Guards against replies of the stand-in without the era, above all refusals during an outage.
#[tokio::test]
async fn all_replies_state_the_era() {
    let log = RunningLog::launch(LogOptions::default(), any_port()).await.unwrap();
    let base = base_url(log.address());
    let faults = r#"{"restore": {"copy_age_ms": 5000, "outage_ms": 0}}"#;
    let url = format!("{base}/control/faults");
    let posted = reqwest::Client::new().post(url).body(faults).send().await.unwrap();
    assert_eq!(posted.status().as_u16(), 200);
    let cases = [
        (Outage::None, format!("{base}/log/{STREAM}?from=0&limit=1"), 200),
        (Outage::None, format!("{base}/log/a%20b?from=0&limit=1"), 400),
        (Outage::None, format!("{base}/unknown"), 404),
        (Outage::None, format!("{base}/control/counts"), 200),
        (Outage::Unavailable, format!("{base}/log/{STREAM}?from=0&limit=1"), 503),
    ];
    for (outage, url, status) in cases {
        log.control().set_faults(LogFaults { outage, ..LogFaults::default() });
        let reply = reqwest::get(&url).await.unwrap();
        assert_eq!(reply.status().as_u16(), status, "{url}");
        assert_eq!(reply.headers().get("Store-Era").unwrap(), "1", "{url}");
    }
}

/// Guards against a failed connection that is reported as an unknown effect, or the reverse.
#[tokio::test]
async fn outages_are_unreachable_or_lost_replies() {
    let fake = FakeLog::new(ClockSource::start());
    fake.set_outage(true);
    assert_eq!(verdict(&fake.append(STREAM, Vec::new()).await), Verdict::Unreachable);

    let TestedLogClient::Http(client, log) = TestedLogClient::http().await else { unreachable!() };
    let control: LogControl = log.control();
    for (outage, expected) in
        [(Outage::Cut, Verdict::ReplyLost), (Outage::Stalled, Verdict::ReplyLost)]
    {
        control.set_faults(LogFaults { outage, ..LogFaults::default() });
        let result = client.append(STREAM, vec!["record".into()]).await;
        assert_eq!(verdict(&result), expected, "{outage:?}");
    }
    log.stop().await;
    let result = client.append(STREAM, vec!["record".into()]).await;
    assert_eq!(verdict(&result), Verdict::Unreachable, "{result:?}");
}

/// Guards against an append rate that isn't enforced, and refusals without a suggested pause.
#[tokio::test]
async fn appends_above_the_rate_are_refused() {
    let raw = RawLogOptions { appends_per_s: 5, ..RawLogOptions::default() };
    let log = RunningLog::launch(raw.try_into().unwrap(), any_port()).await.unwrap();
    let client = HttpLogClient::try_new(&base_url(log.address()), TIMEOUTS).unwrap();
    let mut refused = 0;
    for _ in 0..10 {
        match client.append(STREAM, vec!["record".into()]).await {
            Ok(_) => {}
            Err(PlatformError::Refused { retry_after, .. }) => {
                assert_eq!(retry_after, Some(Duration::from_secs(1)));
                refused += 1;
            }
            Err(error) => panic!("{error}"),
        }
    }
    assert!((1..=5).contains(&refused), "{refused} of 10 appends refused");
    assert_eq!(log.control().counts().appends, 10 - refused);
}

/// Guards against a stream name that changes the path or query of the request.
#[tokio::test]
async fn stream_names_are_checked() {
    let tested = TestedLogClient::http().await;
    for name in ["../control/faults", "a/b", "", "a b", "a?from=1"] {
        let result = tested.client().append(name, vec!["record".into()]).await;
        assert_eq!(verdict(&result), Verdict::Refused, "{name:?}: {result:?}");
    }
}
