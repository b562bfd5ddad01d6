//! Tests of the fit, the parsers and the relay.

use quickcheck::quickcheck;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::fit::{FitError, LinearFit};
use super::lines::SlopeTable;
use super::options::SlopePart;
use super::process::ProcessUse;
use super::relay::{ByteRelay, RelayCount};

/// Guards against a slope or intercept that depends on where the samples lie.
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

/// Guards against errors computed with n instead of n - 2, or in units of x: worked by hand for
/// residuals of +1, -1, -1, +1 around y = 2x (sum of squares 4, spread of x 5).
#[test]
fn fit_states_its_standard_errors() {
    let fit = LinearFit::of(&[(0.0, 1.0), (1.0, 1.0), (2.0, 3.0), (3.0, 7.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-12);
    assert!((fit.standard_error - 2f64.sqrt()).abs() < 1e-12);
    assert!((fit.slope_error - (2.0f64 / 5.0).sqrt()).abs() < 1e-12);
}

/// Guards against a page that calls a figure measured though it lies beyond the measured sizes.
#[test]
fn fit_states_how_far_a_figure_is_extrapolated() {
    let fit = LinearFit::of(&[(0.0, 0.0), (50.0, 1.0), (100.0, 2.0)]).unwrap();
    assert_eq!(fit.extrapolation(410.0), 4.1);
    assert_eq!(fit.extrapolation(50.0), 0.5);
}

/// Guards against samples of one series that end up in another, and against a panic where a fit
/// is not possible.
#[test]
fn table_fits_each_series_on_its_own() {
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

/// Guards against fields shifted by spaces and parentheses in the command's name.
#[test]
fn process_use_is_parsed_whatever_the_name() {
    let fields = "S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 12 0 99 1 2";
    for name in ["celeryshedd", "a) b", "(x y) z"] {
        let stat = format!("42 ({name}) {fields}");
        let used = ProcessUse::parse(&stat, "5000 1024 300 1 0 2 0").unwrap();
        assert_eq!(used, ProcessUse { cpu_s: 2.0, resident_bytes: 4 << 20 });
    }
    assert_eq!(ProcessUse::parse("42 (x) S 1", "1 2"), None);
}

/// Guards against a part that the command line can't name.
#[test]
fn every_part_is_found_by_its_name() {
    for part in SlopePart::ALL {
        assert_eq!(part.name().parse(), Ok(part));
    }
}

/// Guards against bytes that are lost, counted twice or counted in the wrong direction.
#[tokio::test]
async fn relay_counts_each_direction() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = ByteRelay::launch(target.local_addr().unwrap()).await.unwrap();
    let server = tokio::spawn(async move {
        let (mut connection, _) = target.accept().await.unwrap();
        let mut request = vec![0; 100_000];
        connection.read_exact(&mut request).await.unwrap();
        connection.write_all(&[7; 333]).await.unwrap();
    });
    let mut caller = TcpStream::connect(relay.address()).await.unwrap();
    caller.write_all(&vec![1; 100_000]).await.unwrap();
    let mut reply = Vec::new();
    caller.read_to_end(&mut reply).await.unwrap();
    server.await.unwrap();
    assert_eq!(reply, [7; 333]);
    let count = relay.count();
    assert_eq!(count, RelayCount { to_target: 100_000, to_caller: 333, connections: 1 });
    assert_eq!(count.since(&count), RelayCount::default());
}
