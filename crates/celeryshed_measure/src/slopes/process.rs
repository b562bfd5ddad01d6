//! Processes of measured roles and their resource usage.

use std::fs;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use crate::fleet::{Result, start_error};

/// Unit of processor time in `/proc`, 1/100 s on every Linux architecture.
const TICKS_PER_S: f64 = 100.0;

/// Size of a memory page on x86-64 and on most ARM systems, the unit of `/proc/<pid>/statm`.
const PAGE_BYTES: u64 = 4096;

/// Number of fields in `/proc/<pid>/stat` between the command name and the user time.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// Processor time since its start, user and system, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid` from `/proc`.
    pub fn of(pid: u32) -> std::io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
        let invalid = || std::io::Error::other(format!("/proc/{pid} has an unknown format"));
        Self::parse(&stat, &statm).ok_or_else(invalid)
    }

    /// Parses the contents of `/proc/<pid>/stat` and `/proc/<pid>/statm`; `None` when a field is
    /// missing or not a number.
    pub(super) fn parse(stat: &str, statm: &str) -> Option<Self> {
        // The command name, in parentheses, may itself contain spaces and parentheses.
        let (_, fields) = stat.rsplit_once(')')?;
        let mut fields = fields.split_ascii_whitespace().skip(FIELDS_BEFORE_UTIME);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        let pages: u64 = statm.split_ascii_whitespace().nth(1)?.parse().ok()?;
        let cpu_s = (user + system) / TICKS_PER_S;
        Some(Self { cpu_s, resident_bytes: pages * PAGE_BYTES })
    }
}

/// The process of a measured role; killed on drop.
pub(super) struct RoleProcess {
    child: Child,
}

impl RoleProcess {
    /// Starts `daemon` in `role` with the given settings file.
    pub(super) fn start(daemon: &Path, role: &str, settings: &Path) -> Result<Self> {
        let mut command = Command::new(daemon);
        command.arg("--log-level").arg("error").arg(role).arg("--settings").arg(settings);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.spawn().map_err(start_error(&daemon.display().to_string()))?;
        Ok(Self { child })
    }

    pub(super) fn usage(&self) -> Result<ProcessUsage> {
        ProcessUsage::of(self.child.id()).map_err(start_error("reading /proc"))
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        // Fails when the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
