//! Starts the project's own programs with the commands of `deploy/system.toml`, and ends them.

#![allow(dead_code, reason = "each case uses a part of it")]

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

/// Ports of a machine; each machine has a loopback address of its own.
const FRONT_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
const INTERNAL_PORTS: (u16, u16) = (7700, 7715);

/// The bounds of the small sites of the pages.
const BOUNDS: &str = "\
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
recovery_s = 12
pass_ms = 120
retry_after_s = 0
version_ms = 8000
version_all_ms = 0
";

/// A machine that runs one process of the project.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    child: Child,
}

impl Machine {
    /// Where clients of an entry connect to.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Sends a signal, such as `STOP`, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READY_PORT);
        let head = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        call(address, &head, b"").is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program of a role. `app` is the engine on the machine and its service, if there is one.
pub fn start(
    folder: &Path,
    role: &str,
    name: &str,
    place: (&str, &str),
    ip: IpAddr,
    store: SocketAddr,
    app: Option<(SocketAddr, &str)>,
) -> Machine {
    let (class, memory_mb) = if app.is_some() { ("side", 128) } else { ("front", 260) };
    let (first, last) = INTERNAL_PORTS;
    let (zone, region) = place;
    let app = app.map_or(String::new(), |(address, service)| {
        format!("app = \"{address}\"\nservice = \"{service}\"\n")
    });
    let settings = format!(
        "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
         serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
         internal_ports = [{first},{last}]\nseeds = []\nbootstrap = true\nheartbeat_ms = 1200\n\
         discovery = \"platform\"\n{app}\
         [zones]\nnorth-a = \"north\"\neast-a = \"east\"\nsouth-a = \"south\"\n\
         [listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
         [limits]\ncpu_share = 0.3\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = 2048\n\
         link_mbps = 100.0\ndisk_mb = 0\n{BOUNDS}\
         [platform]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
    );
    let path: PathBuf = folder.join(format!("{name}.toml"));
    fs::write(&path, settings).expect("a settings file");
    let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
    let child = Command::new("target/release/celeryshed-node")
        .arg(role)
        .env("CELERYSHED_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the program of the deploy file is built");
    // For the script, in case that this process is ended first.
    let pids = OpenOptions::new().create(true).append(true).open(folder.join("pids"));
    let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
    Machine { name: name.to_owned(), ip, child }
}

/// Waits until all machines say that they are ready; whether they did in time.
pub fn wait_ready(machines: &[Machine], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if machines.iter().all(Machine::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
