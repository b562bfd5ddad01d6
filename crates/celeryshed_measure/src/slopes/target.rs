//! What the target size of the design comes to, per process and on the platform.

use std::fmt;

use super::lines::SlopeTable;

/// Bytes a second that a node may spend on control, both directions.
pub const CONTROL_BYTES_PER_S: f64 = 3_000.0;

/// Share of a core that a node may spend on control.
pub const CONTROL_CORE: f64 = 0.033;

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// Pause in seconds between reports, polls and reads of an idle partition.
const PAUSE_S: f64 = 2.0;

/// Entries that a sidecar reports to.
const REPORT_TARGETS: f64 = 3.0;

/// Probes that an entry sends in a second.
const PROBES_PER_S: f64 = 0.5;

/// Entries that read a partition.
const PARTITION_READERS: f64 = 2.0;

/// Pause in seconds between reads of the list per listed instance.
const LIST_PAUSE_S: f64 = 0.25;

/// The size for which capacity is worked out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSize {
    /// Entries.
    pub entries: f64,
    /// Sidecars.
    pub sides: f64,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Generated tokens a second.
    pub tokens_per_s: f64,
    /// Bookings a second; the design assumes this number for its claims.
    pub bookings_per_s: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// Contracts in force; an assumption.
    pub contracts: f64,
    /// Claim partitions.
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
    /// Reports that an entry gets in a second.
    ///
    /// ```
    /// let target = celeryshed_measure::slopes::TargetSize::default();
    /// assert!((target.reports_per_entry() - 2.195).abs() < 0.001);
    /// ```
    pub fn reports_per_entry(&self) -> f64 {
        self.sides * REPORT_TARGETS / PAUSE_S / self.entries
    }

    /// Reports that a sidecar sends in a second.
    pub fn reports_per_side(&self) -> f64 {
        REPORT_TARGETS / PAUSE_S
    }

    /// Probes that a sidecar answers in a second.
    pub fn probes_per_side(&self) -> f64 {
        self.entries * PROBES_PER_S / self.sides
    }

    /// Seconds between two reads of the list by one process.
    pub fn list_pause_s(&self) -> f64 {
        self.instances() * LIST_PAUSE_S
    }

    /// Listed instances.
    pub fn instances(&self) -> f64 {
        self.entries + self.sides
    }

    /// Configuration changes in a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }

    /// Reads of the log a second without bookings: polls, and idle partitions.
    pub fn idle_log_reads_per_s(&self) -> f64 {
        (self.entries + self.partitions * PARTITION_READERS) / PAUSE_S
    }
}

/// Whether a line exists without callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Control: it would remain if no caller sent a request.
    Control,
    /// Log traffic of bookings: caused by requests, but charged to the control limits as in the
    /// design.
    Booking,
    /// Requests and their answers.
    Request,
}

/// One line of the capacity page: one role, or the platform, at the target size.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityLine {
    /// `entry`, `side`, `log` or `list`.
    pub role: &'static str,
    /// What it is.
    pub line: &'static str,
    /// Its class.
    pub class: TrafficClass,
    /// Messages a second.
    pub messages_per_s: f64,
    /// Bytes a second in both directions; `None` when not measured.
    pub bytes_per_s: Option<f64>,
    /// Seconds of processor time a second; `None` when not measured.
    pub cores: Option<f64>,
}

impl fmt::Display for CapacityLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |value: Option<f64>, digits: usize| match value {
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
            shown(self.bytes_per_s, 1),
            shown(self.cores, 6),
        )
    }
}

/// Sums of the control lines of a role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlSum {
    /// Bytes a second.
    pub bytes_per_s: f64,
    /// Cores.
    pub cores: f64,
}

impl ControlSum {
    /// Adds the measured control lines of `role`, bookings left out.
    pub fn of(lines: &[CapacityLine], role: &str) -> Self {
        let own = |line: &&CapacityLine| line.role == role && line.class == TrafficClass::Control;
        let sum = |value: fn(&CapacityLine) -> Option<f64>| {
            lines.iter().filter(own).filter_map(value).sum()
        };
        Self { bytes_per_s: sum(|line| line.bytes_per_s), cores: sum(|line| line.cores) }
    }

    /// Whether it is within the limits of a node.
    pub fn is_within_limits(&self) -> bool {
        self.bytes_per_s <= CONTROL_BYTES_PER_S && self.cores <= CONTROL_CORE
    }
}

/// Slopes by series, `None` where a part was not run.
struct Costs<'a>(&'a SlopeTable);

impl Costs<'_> {
    fn slope(&self, part: &str, x: &str, ys: &[&str]) -> Option<f64> {
        ys.iter().map(|y| Some(self.0.fit(part, x, y)?.ok()?.slope)).sum()
    }

    fn at(&self, part: &str, x: (&str, f64), y: &str) -> Option<f64> {
        Some(self.0.fit(part, x.0, y)?.ok()?.at(x.1))
    }
}

/// The lines at `target`, from the slopes in `table`.
pub fn capacity_lines(target: &TargetSize, table: &SlopeTable) -> Vec<CapacityLine> {
    let costs = Costs(table);
    let both = ["in_bytes_per_s", "out_bytes_per_s"];
    let rate = "cpu_s_per_s";
    let report = costs.slope("entry_reports", "reports_per_s", &both);
    let report_cpu = costs.slope("entry_reports", "reports_per_s", &[rate]);
    let probe = costs.slope("side_probes", "probes", &["in_bytes", "out_bytes"]);
    let probe_cpu = costs.slope("side_probes", "probes", &["cpu_s"]);
    let read = costs.slope("partition_reads", "reads_per_s", &both);
    let read_cpu = costs.slope("partition_reads", "reads_per_s", &[rate]);
    let list = costs.at("entry_start", ("instances", target.instances()), "list_bytes");
    let state = costs.at("state_fetch", ("contracts", target.contracts), "out_bytes");
    let state_cpu = costs.at("state_fetch", ("contracts", target.contracts), "cpu_s");
    let change = costs.slope("entry_changes", "changes", &["log_in_bytes", "log_out_bytes"]);
    let change_cpu = costs.slope("entry_changes", "changes", &["cpu_s"]);
    let side_report_cpu = costs.slope("side_entries", "entries", &["cpu_s_per_s"]);
    let booking_entry = costs.slope("bookings", "requests", &["entry_log_bytes"]);
    let booking_side = costs.slope("bookings", "requests", &["side_log_bytes"]);
    let booking_cpu = costs.slope("bookings", "requests", &["entry_cpu_s"]);
    let booking_side_cpu = costs.slope("bookings", "requests", &["side_cpu_s"]);
    let appends = costs.slope("bookings", "requests", &["log_appends"]).unwrap_or_default();
    let reads = costs.slope("bookings", "requests", &["log_reads"]).unwrap_or_default();
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
    let list_reads = 1.0 / target.list_pause_s();
    let changes = target.changes_per_s();
    let idle_partitions = target.partitions * PARTITION_READERS / target.entries / PAUSE_S;
    let fetches = changes * target.sides / target.entries;
    let hot_bookings = target.bookings_per_s / target.partitions;
    add("entry", "reports", Control, target.reports_per_entry(), report, report_cpu);
    add("entry", "probes", Control, PROBES_PER_S, probe, probe_cpu);
    add("entry", "list", Control, list_reads, list, None);
    add("entry", "configuration_polls", Control, 1.0 / PAUSE_S, read, read_cpu);
    add("entry", "idle_partition_reads", Control, idle_partitions, read, read_cpu);
    add("entry", "changes_read", Control, changes, change, change_cpu);
    add("entry", "states_served", Control, fetches, state, state_cpu);
    add("entry", "bookings_of_one_partition", Booking, hot_bookings, booking_entry, booking_cpu);
    let entry_requests = target.requests_per_s / target.entries;
    let entry_tokens = target.tokens_per_s / target.entries;
    let completion = |ys: &[&str]| costs.slope("completions", "requests", ys);
    let token = |ys: &[&str]| costs.slope("tokens", "tokens", ys);
    let entry_bytes = ["caller_bytes", "attempt_in_bytes", "attempt_out_bytes"];
    let side_bytes = ["attempt_in_bytes", "attempt_out_bytes"];
    // A completion's slope includes its 8 tokens, which the token line counts again.
    let request = completion(&entry_bytes);
    add("entry", "completions", Request, entry_requests, request, completion(&["entry_cpu_s"]));
    add("entry", "tokens", Request, entry_tokens, token(&entry_bytes), token(&["entry_cpu_s"]));
    add(
        "side",
        "reports",
        Control,
        target.reports_per_side(),
        report,
        side_report_cpu.map(|cpu| cpu * PAUSE_S),
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
