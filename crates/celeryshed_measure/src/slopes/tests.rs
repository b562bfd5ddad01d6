//! Tests of the fit, the parsers, the relay and the rows of the capacity table.

use quickcheck::quickcheck;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::fit::{FitError, LinearFit};
use super::options::SlopePart;
use super::process::ProcessUsage;
use super::relay::{ByteRelay, RelayCount};
use super::table::SlopeTable;
use super::target::{ControlSum, TargetSize, TrafficClass, capacity_lines};

/// Guards against a slope or intercept that is wrong for some positions of the samples.
#[test]
fn fit_recovers_any_exact_line() {
    fn property(slope: i16, intercept: i16, xs: Vec<u8>) -> bool {
        let (slope, intercept) = (f64::from(slope), f64::from(intercept));
        let line = |x: &u8| (f64::from(*x), intercept + slope * f64::from(*x));
        let samples: Vec<_> = xs.iter().map(line).collect();
        match LinearFit::of(&samples) {
            Ok(fit) => {
                let near = |one: f64, other: f64| (one - other).abs() < 1e-6 * (1.0 + slope.abs());
                near(fit.slope, slope) && near(fit.at(300.0), intercept + slope * 300.0)
            }
            Err(FitError::FewSamples { samples }) => samples < 3 && samples == xs.len(),
            Err(FitError::SameX) => xs.iter().all(|x| *x == xs[0]),
        }
    }
    quickcheck(property as fn(i16, i16, Vec<u8>) -> bool);
}

/// Guards against errors computed with n instead of n - 2, or in units of x.
///
/// The residuals around y = 2x are +1, -1, -1, +1: the sum of their squares is 4, and the sum of
/// the squared deviations of x is 5.
#[test]
fn fit_computes_standard_errors() {
    let fit = LinearFit::of(&[(0.0, 1.0), (1.0, 1.0), (2.0, 3.0), (3.0, 7.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-12);
    assert!((fit.standard_error - 2f64.sqrt()).abs() < 1e-12);
    assert!((fit.slope_error - (2.0f64 / 5.0).sqrt()).abs() < 1e-12);
}

/// Guards against a capacity page that presents an extrapolated figure as a measured one.
#[test]
fn fit_reports_extrapolation() {
    let fit = LinearFit::of(&[(0.0, 0.0), (50.0, 1.0), (100.0, 2.0)]).unwrap();
    assert_eq!(fit.extrapolation(410.0), 4.1);
    assert_eq!(fit.extrapolation(50.0), 0.5);
}

/// Guards against samples that are added to the wrong series, and against a panic when a fit is not
/// possible.
#[test]
fn table_fits_each_series_separately() {
    let mut table = SlopeTable::default();
    for x in [0.0, 1.0, 2.0] {
        table.add("entry", ("peers", x), &[("cpu_s", 3.0 * x), ("bytes", 5.0)]);
    }
    table.add("entry", ("sidecars", 1.0), &[("cpu_s", 9.0)]);
    let slope = |x, y| table.fit("entry", x, y).map(|fit| fit.map(|fit| fit.slope));
    assert_eq!(slope("peers", "cpu_s"), Some(Ok(3.0)));
    assert_eq!(slope("peers", "bytes"), Some(Ok(0.0)));
    assert_eq!(slope("sidecars", "cpu_s"), Some(Err(FitError::FewSamples { samples: 1 })));
    assert_eq!(slope("peers", "requests"), None);
    assert!(table.to_string().contains("part=entry x=peers y=cpu_s slope=3.0"));
}

/// Guards against fields that are shifted by spaces or parentheses in the command name.
#[test]
fn process_usage_is_parsed_for_any_command_name() {
    let fields = "S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 12 0 99 1 2";
    for name in ["celeryshedd", "a) b", "(x y) z"] {
        let stat = format!("42 ({name}) {fields}");
        let used = ProcessUsage::parse(&stat, "5000 1024 300 1 0 2 0").unwrap();
        assert_eq!(used, ProcessUsage { cpu_s: 2.0, resident_bytes: 4 << 20 });
    }
    assert_eq!(ProcessUsage::parse("42 (x) S 1", "1 2"), None);
}

/// Guards against a measurement part that can't be selected on the command line.
#[test]
fn every_part_is_parsed_from_its_name() {
    for part in SlopePart::ALL {
        assert_eq!(part.name().parse(), Ok(part));
    }
}

/// Guards against bytes that are lost, counted twice or counted in the wrong direction.
#[tokio::test]
async fn relay_counts_each_direction() {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = ByteRelay::launch(server.local_addr().unwrap()).await.unwrap();
    let server_task = tokio::spawn(async move {
        let (mut connection, _) = server.accept().await.unwrap();
        let mut request = vec![0; 100_000];
        connection.read_exact(&mut request).await.unwrap();
        connection.write_all(&[7; 333]).await.unwrap();
    });
    let mut caller = TcpStream::connect(relay.address()).await.unwrap();
    caller.write_all(&vec![1; 100_000]).await.unwrap();
    let mut reply = Vec::new();
    caller.read_to_end(&mut reply).await.unwrap();
    server_task.await.unwrap();
    assert_eq!(reply, [7; 333]);
    let count = relay.count();
    assert_eq!(count, RelayCount { to_target: 100_000, to_caller: 333, connections: 1 });
    assert_eq!(count.since(&count), RelayCount::default());
}

/// Guards against rates that differ between senders and receivers: all sidecars together send as
/// many reports as all entries receive, and the same applies to probes in the other direction.
#[test]
fn target_rates_agree_between_senders_and_receivers() {
    let target = TargetSize::default();
    let reports = target.reports_per_entry() * target.entries;
    assert!((reports - target.reports_per_side() * target.sides).abs() < 1e-9);
    assert!((target.probes_per_side() * target.sides - 205.0).abs() < 1e-9);
    assert_eq!(target.list_interval_s(), 252.5);
    assert_eq!(target.idle_log_reads_per_s(), 221.0);
}

/// Guards against a sum of a role's control traffic that includes requests, bookings or another
/// role's traffic, and against rows that show figures that were not measured.
#[test]
fn control_sums_include_only_measured_control_of_one_role() {
    let mut table = SlopeTable::default();
    let unmeasured = capacity_lines(&TargetSize::default(), &table);
    assert!(unmeasured.iter().all(|line| line.bytes_per_s.is_none() && line.cores.is_none()));
    for x in [0.0, 100.0, 200.0] {
        let values = [
            ("in_bytes_per_s", 300.0 * x),
            ("out_bytes_per_s", 100.0 * x),
            ("cpu_s_per_s", 1e-4 * x),
        ];
        table.add("entry_reports", ("reports_per_s", x), &values);
        let bytes = [("entry_log_bytes", 1e9 * x), ("entry_cpu_s", x)];
        table.add("bookings", ("requests", x), &bytes);
    }
    let target = TargetSize::default();
    let lines = capacity_lines(&target, &table);
    let entry = ControlSum::of(&lines, "entry");
    assert!((entry.bytes_per_s - 400.0 * target.reports_per_entry()).abs() < 1e-6);
    assert!((entry.cores - 1e-4 * target.reports_per_entry()).abs() < 1e-9);
    assert!((ControlSum::of(&lines, "side").bytes_per_s - 600.0).abs() < 1e-6);
    assert!(lines.iter().any(|line| line.class == TrafficClass::Booking));
    assert!(entry.is_within_limits());
    assert!(!ControlSum { bytes_per_s: 3_000.1, ..entry }.is_within_limits());
    assert!(!ControlSum { cores: 0.034, ..entry }.is_within_limits());
}
