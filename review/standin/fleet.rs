//! Starts the project's processes with settings of a small deployment, and records what happens.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

const PEER_PORTS: [u16; 2] = [7700, 7715];
pub const FRONT_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
pub const APP_PORT: u16 = 8001;
const METRICS_PORT: u16 = 9464;

/// Writes `record.txt`, with the time since the start of the run.
pub struct Journal {
    file: Mutex<File>,
    started: Instant,
}

impl Journal {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Self { file, started: Instant::now() })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let elapsed = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{elapsed:9.3} {}", text.as_ref());
    }
}

/// Loopback addresses of the machines of one run: 127.A.B.HOST.
#[derive(Clone, Copy)]
pub struct Network {
    a: u8,
    b: u8,
}

impl Network {
    /// Finds addresses that no other process uses.
    pub fn find() -> io::Result<Self> {
        let seed = std::process::id();
        for attempt in 0..200_u32 {
            let number = seed.wrapping_mul(7919).wrapping_add(attempt * 104_729);
            let network = Self { a: 16 + (number % 200) as u8, b: (number / 200 % 250) as u8 };
            let is_free = [1, 2, 10, 11].iter().all(|host| {
                let ports = [PEER_PORTS[0], FRONT_PORT, READY_PORT, APP_PORT, METRICS_PORT];
                ports.iter().all(|port| TcpListener::bind(network.at(*host, *port)).is_ok())
            });
            if is_free {
                return Ok(network);
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no loopback addresses are free"))
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, host)), port)
    }
}

pub enum Role {
    Entry,
    Side { service: &'static str },
}

/// A running process of the project.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    role: &'static str,
}

impl Node {
    /// Starts a role with the command of the deploy file.
    pub fn start(
        folder: &Path,
        network: Network,
        host: u8,
        role: Role,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ip = network.at(host, 0).ip();
        let (role, class, extra) = match role {
            Role::Entry => ("entry", "front", String::new()),
            Role::Side { service } => {
                let app = network.at(host, APP_PORT);
                ("side", "side", format!("app = \"{app}\"\nservice = \"{service}\"\n"))
            }
        };
        let name = format!("{class}-{host}");
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(&name, role, class, ip, &extra, store))?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(role, &settings, &log)?;
        Ok(Self { name, ip, child, settings, log, role })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child of this one and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process and starts it again, as the platform does.
    pub fn restart(&mut self, pause: Duration) -> io::Result<()> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        sleep(pause);
        self.child = spawn(self.role, &self.settings, &self.log)?;
        Ok(())
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READY_PORT);
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::call(address, request, Duration::from_secs(1)).status == 200
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/celeryshed-node");
    command.arg(role).env("CELERYSHED_SETTINGS", settings);
    command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output);
    // SAFETY: prctl only asks for a signal at the end of the parent.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    command.spawn()
}

fn settings_text(
    name: &str,
    role: &str,
    class: &str,
    ip: IpAddr,
    extra: &str,
    store: SocketAddr,
) -> String {
    let (memory, cpu, link) = if class == "front" { (260, 0.19, 1000.0) } else { (128, 0.3, 7.3) };
    let [first, last] = PEER_PORTS;
    let listen = if class == "front" {
        format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n")
    } else {
        String::new()
    };
    format!(
        "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
         serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"puget-a\"\nregion = \"puget\"\n\
         internal_ports = [{first},{last}]\nseeds = []\nbootstrap = true\n\
         discovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1200\n{extra}\
         [zones]\npuget-a = \"puget\"\n[listen]\n{listen}\
         [limits]\ncpu_share = {cpu}\ncores = 1\nmemory_mb = {memory}\nmax_fds = 4100\n\
         link_mbps = {link:.1}\ndisk_mb = 0\n\
         [bounds]\nstable_window_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\n\
         config_apply_ms = 2000\nbudget_ratio = 0.2\nbudget_window_s = 10\n\
         budget_slack = 104\nrecovery_s = 12\nversion_ms = 8000\n\
         [platform]\naddress = \"{store}\"\nform = \"log\"\nparts = 16\n"
    )
}
