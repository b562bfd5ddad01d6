//! Extrapolates the measured slopes to the target size, per process and for the platform.

use std::fmt;

use super::table::SlopeTable;

/// Limit of control traffic per node, in bytes per second for both directions together.
pub const CONTROL_BYTES_PER_S: f64 = 3_000.0;

/// Limit of processor time for control per node, in cores.
pub const CONTROL_CORES: f64 = 0.033;

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// Interval in seconds of reports to one entry, of polls, and of reads of an idle partition.
const CONTROL_INTERVAL_S: f64 = 2.0;

/// Number of entries that a sidecar reports to.
const REPORT_TARGETS: f64 = 3.0;

/// Probes per second that an entry sends.
const PROBES_PER_S: f64 = 0.5;

/// Number of entries that read the same partition.
const PARTITION_READERS: f64 = 2.0;

/// Interval between reads of the instance list, in seconds per listed instance: more instances make
/// the list larger and the reads rarer.
const LIST_INTERVAL_PER_INSTANCE_S: f64 = 0.25;

/// Size and load of the deployment for which capacity is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSize {
    /// Number of entries.
    pub entries: f64,
    /// Number of sidecars.
    pub sides: f64,
    /// Callers' requests per second.
    pub requests_per_s: f64,
    /// Generated tokens per second.
    pub tokens_per_s: f64,
    /// Bookings per second, as assumed in the design of the claim log.
    pub bookings_per_s: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Number of contracts in force, an assumption.
    pub contracts: f64,
    /// Number of claim log partitions.
    pub partitions: f64,
}

impl Default for TargetSize {
    fn default() -> Self {
        Self {
            entries: 410.0,
            sides: 600.0,
            requests_per_s: 9_600.0,
            tokens_per_s: 2_000_000.0,
            bookings_per_s: 200.0,
            changes_per_day: 1_100.0,
            contracts: 100.0,
            partitions: 16.0,
        }
    }
}

impl TargetSize {
    /// Reports per second that an entry receives.
    ///
    /// ```
    /// let target = celeryshed_measure::slopes::TargetSize::default();
    /// assert!((target.reports_per_entry() - 2.195).abs() < 0.001);
    /// ```
    pub fn reports_per_entry(&self) -> f64 {
        self.sides * REPORT_TARGETS / CONTROL_INTERVAL_S / self.entries
    }

    /// Reports per second that a sidecar sends.
    pub fn reports_per_side(&self) -> f64 {
        REPORT_TARGETS / CONTROL_INTERVAL_S
    }

    /// Probes per second that a sidecar answers.
    pub fn probes_per_side(&self) -> f64 {
        self.entries * PROBES_PER_S / self.sides
    }

    /// Interval in seconds between reads of the instance list by one process.
    pub fn list_interval_s(&self) -> f64 {
        self.instances() * LIST_INTERVAL_PER_INSTANCE_S
    }

    /// Number of listed instances: entries and sidecars.
    pub fn instances(&self) -> f64 {
        self.entries + self.sides
    }

    /// Configuration changes per second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }

    /// Log reads per second without bookings: configuration polls and reads of idle partitions.
    pub fn idle_log_reads_per_s(&self) -> f64 {
        (self.entries + self.partitions * PARTITION_READERS) / CONTROL_INTERVAL_S
    }
}

/// Class of traffic, by its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Control traffic, which is sent even without callers' requests.
    Control,
    /// Log traffic of bookings. Requests cause it, but the design counts it towards the control
    /// limits.
    Booking,
    /// Callers' requests and their answers.
    Request,
}

/// One line of the capacity page: a kind of messages of one role or platform service at the target
/// size.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityLine {
    /// `entry`, `side`, `log` or `list`.
    pub role: &'static str,
    /// Kind of messages, as printed.
    pub line: &'static str,
    /// Class of the traffic.
    pub class: TrafficClass,
    /// Messages per second.
    pub messages_per_s: f64,
    /// Bytes per second in both directions; `None` when not measured.
    pub bytes_per_s: Option<f64>,
    /// Processor time in cores; `None` when not measured.
    pub cores: Option<f64>,
}

impl fmt::Display for CapacityLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_value = |value: Option<f64>, digits: usize| match value {
            Some(value) => format!("{value:.digits$}"),
            None => "unmeasured".to_owned(),
        };
        write!(
            f,
            "capacity role={} line={} class={:?} messages_per_s={:.4} bytes_per_s={} cores={}",
            self.role,
            self.line,
            self.class,
            self.messages_per_s,
            format_value(self.bytes_per_s, 1),
            format_value(self.cores, 6),
        )
    }
}

/// Sum of the control traffic of one role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlSum {
    /// Bytes per second in both directions.
    pub bytes_per_s: f64,
    /// Processor time in cores.
    pub cores: f64,
}

impl ControlSum {
    /// Sums the measured control lines of `role`; bookings and unmeasured values are excluded.
    pub fn of(lines: &[CapacityLine], role: &str) -> Self {
        let is_control =
            |line: &&CapacityLine| line.role == role && line.class == TrafficClass::Control;
        let sum = |value: fn(&CapacityLine) -> Option<f64>| {
            lines.iter().filter(is_control).filter_map(value).sum()
        };
        Self { bytes_per_s: sum(|line| line.bytes_per_s), cores: sum(|line| line.cores) }
    }

    /// Whether both sums are within [`CONTROL_BYTES_PER_S`] and [`CONTROL_CORES`].
    pub fn is_within_limits(&self) -> bool {
        self.bytes_per_s <= CONTROL_BYTES_PER_S && self.cores <= CONTROL_CORES
    }
}

/// Looks up fits in a table; `None` when a series was not measured or can't be fitted.
struct FitLookup<'a>(&'a SlopeTable);

impl FitLookup<'_> {
    /// Sum of the slopes of several series over the same x.
    fn slope(&self, part: &str, x: &str, ys: &[&str]) -> Option<f64> {
        ys.iter().map(|y| Some(self.0.fit(part, x, y)?.ok()?.slope)).sum()
    }

    /// Value of the fitted line at an x.
    fn at(&self, part: &str, x: (&str, f64), y: &str) -> Option<f64> {
        Some(self.0.fit(part, x.0, y)?.ok()?.at(x.1))
    }
}

/// Computes the capacity lines at `target` from the fits of `table`.
pub fn capacity_lines(target: &TargetSize, table: &SlopeTable) -> Vec<CapacityLine> {
    let fits = FitLookup(table);
    let both_directions = ["in_bytes_per_s", "out_bytes_per_s"];
    let cpu_rate = "cpu_s_per_s";
    let report = fits.slope("entry_reports", "reports_per_s", &both_directions);
    let report_cpu = fits.slope("entry_reports", "reports_per_s", &[cpu_rate]);
    let probe = fits.slope("side_probes", "probes", &["in_bytes", "out_bytes"]);
    let probe_cpu = fits.slope("side_probes", "probes", &["cpu_s"]);
    let read = fits.slope("partition_reads", "reads_per_s", &both_directions);
    let read_cpu = fits.slope("partition_reads", "reads_per_s", &[cpu_rate]);
    let list = fits.at("entry_start", ("instances", target.instances()), "list_bytes");
    let state = fits.at("state_fetch", ("contracts", target.contracts), "out_bytes");
    let state_cpu = fits.at("state_fetch", ("contracts", target.contracts), "cpu_s");
    let change = fits.slope("entry_changes", "changes", &["log_in_bytes", "log_out_bytes"]);
    let change_cpu = fits.slope("entry_changes", "changes", &["cpu_s"]);
    let side_report_cpu = fits.slope("side_entries", "entries", &["cpu_s_per_s"]);
    let booking_entry = fits.slope("bookings", "requests", &["entry_log_bytes"]);
    let booking_side = fits.slope("bookings", "requests", &["side_log_bytes"]);
    let booking_cpu = fits.slope("bookings", "requests", &["entry_cpu_s"]);
    let booking_side_cpu = fits.slope("bookings", "requests", &["side_cpu_s"]);
    let appends = fits.slope("bookings", "requests", &["log_appends"]).unwrap_or_default();
    let reads = fits.slope("bookings", "requests", &["log_reads"]).unwrap_or_default();
    let mut lines = Vec::new();
    let mut add = |role, line, class, messages: f64, bytes: Option<f64>, cpu: Option<f64>| {
        lines.push(CapacityLine {
            role,
            line,
            class,
            messages_per_s: messages,
            bytes_per_s: bytes.map(|bytes| bytes * messages),
            cores: cpu.map(|cpu| cpu * messages),
        });
    };
    use TrafficClass::{Booking, Control, Request};
    let list_reads = 1.0 / target.list_interval_s();
    let changes = target.changes_per_s();
    let idle_partitions =
        target.partitions * PARTITION_READERS / target.entries / CONTROL_INTERVAL_S;
    let fetches = changes * target.sides / target.entries;
    let partition_bookings = target.bookings_per_s / target.partitions;
    add("entry", "reports", Control, target.reports_per_entry(), report, report_cpu);
    add("entry", "probes", Control, PROBES_PER_S, probe, probe_cpu);
    add("entry", "list", Control, list_reads, list, None);
    add("entry", "configuration_polls", Control, 1.0 / CONTROL_INTERVAL_S, read, read_cpu);
    add("entry", "idle_partition_reads", Control, idle_partitions, read, read_cpu);
    add("entry", "changes_read", Control, changes, change, change_cpu);
    add("entry", "states_served", Control, fetches, state, state_cpu);
    add(
        "entry",
        "bookings_of_one_partition",
        Booking,
        partition_bookings,
        booking_entry,
        booking_cpu,
    );
    let entry_requests = target.requests_per_s / target.entries;
    let entry_tokens = target.tokens_per_s / target.entries;
    let completion = |ys: &[&str]| fits.slope("completions", "requests", ys);
    let token = |ys: &[&str]| fits.slope("tokens", "tokens", ys);
    let entry_bytes = ["caller_bytes", "attempt_in_bytes", "attempt_out_bytes"];
    let side_bytes = ["attempt_in_bytes", "attempt_out_bytes"];
    // The slope of a completion includes its 8 tokens, which the token line counts again.
    let request = completion(&entry_bytes);
    add("entry", "completions", Request, entry_requests, request, completion(&["entry_cpu_s"]));
    add("entry", "tokens", Request, entry_tokens, token(&entry_bytes), token(&["entry_cpu_s"]));
    add(
        "side",
        "reports",
        Control,
        target.reports_per_side(),
        report,
        side_report_cpu.map(|cpu| cpu * CONTROL_INTERVAL_S),
    );
    add("side", "probes", Control, target.probes_per_side(), probe, probe_cpu);
    add("side", "list", Control, list_reads, list, None);
    add("side", "states_fetched", Control, changes, state, None);
    let side_bookings = target.bookings_per_s / (target.sides / 10.0);
    add("side", "bookings", Booking, side_bookings, booking_side, booking_side_cpu);
    let side_requests = target.requests_per_s / target.sides;
    let side_tokens = target.tokens_per_s / target.sides;
    let request = completion(&side_bytes);
    add("side", "completions", Request, side_requests, request, completion(&["side_cpu_s"]));
    add("side", "tokens", Request, side_tokens, token(&side_bytes), token(&["side_cpu_s"]));
    add("log", "idle_reads", Control, target.idle_log_reads_per_s(), read, None);
    add("log", "changes_appended", Control, changes, None, None);
    add("log", "booking_appends", Booking, target.bookings_per_s * appends, None, None);
    add("log", "booking_reads", Booking, target.bookings_per_s * reads, None, None);
    add("list", "reads", Control, target.instances() * list_reads, list, None);
    lines
}
