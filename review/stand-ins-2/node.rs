//! Starts and ends the project's own processes, as the platform does.

use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client::is_ready;
use crate::record::Record;

/// The longest time for an entry to become ready.
const START_TIME: Duration = Duration::from_secs(15);

/// A deployment's common settings.
pub struct Deployment {
    pub store: SocketAddr,
    pub folder: PathBuf,
    pub record: Record,
    /// The third number of the entries' loopback addresses, free on this machine.
    net: u8,
}

/// An entry; its process is killed when this is dropped.
pub struct Entry {
    child: Child,
    number: u8,
    pub callers: SocketAddr,
    ready: SocketAddr,
    /// When the process started.
    pub started_at: Instant,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An agent; its process is killed when this is dropped.
pub struct Agent(Child);

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Deployment {
    pub fn new(store: SocketAddr, record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        // Ports of entries are the same on all machines, so that each needs an address of its own.
        let is_free =
            |net: &u8| std::net::TcpListener::bind(format!("127.77.{net}.1:9464")).is_ok();
        let first = (std::process::id() % 200) as u8;
        let net = (0..50).map(|n| first + n).find(is_free).unwrap();
        Self {
            store,
            folder,
            record: record.clone(),
            net,
        }
    }

    /// Starts an entry in the zone with its number.
    pub fn start(&self, number: u8) -> Entry {
        let ip = format!("127.77.{}.{number}", self.net);
        let zone = ["riga-a", "riga-b", "riga-c"][usize::from(number) % 3];
        let child = self.spawn("entry", number, &self.settings(&ip, zone));
        self.record.add("entry-started", &number.to_string());
        Entry {
            child,
            number,
            callers: format!("{ip}:8227").parse().unwrap(),
            ready: format!("{ip}:8220").parse().unwrap(),
            started_at: Instant::now(),
        }
    }

    /// Starts the agent beside a target on the same machine.
    pub fn start_agent(&self, number: u8, target: SocketAddr, service: &str, zone: &str) -> Agent {
        let ip = target.ip().to_string();
        let settings = self.settings(&ip, zone);
        let settings = settings
            .replace("role=entry", "role=agent")
            .replace("edge", "side");
        let settings = format!("{settings}app={target}\nservice={service}\n");
        Agent(self.spawn("agent", number, &settings))
    }

    /// Returns an address on a machine of this deployment.
    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        format!("127.77.{}.{number}:{port}", self.net)
            .parse()
            .unwrap()
    }

    /// Starts a process with the command of the deploy file.
    fn spawn(&self, role: &str, number: u8, settings: &str) -> Child {
        let path = self.folder.join(format!("{role}-{number}.conf"));
        std::fs::write(&path, settings).unwrap();
        let mut log = std::fs::OpenOptions::new();
        log.create(true).append(true);
        let log = log
            .open(self.folder.join(format!("{role}-{number}.log")))
            .unwrap();
        let mut command = Command::new("target/release/comfrey-node");
        command
            .arg(role)
            .env_clear()
            .env("COMFREYHEAD_CONFIG", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        end_with_parent(&mut command);
        command.spawn().unwrap()
    }

    fn settings(&self, ip: &str, zone: &str) -> String {
        let node = format!("edge-{ip}");
        format!(
            "nodeName={node}\nrole=entry\nmachineClass=edge\nserves=edge\nip={ip}\nzone={zone}\n\
             region=lv-riga\nzones.riga-a=lv-riga\nzones.riga-b=lv-riga\nzones.riga-c=lv-riga\n\
             listen.frontend={ip}:8227\nlisten.ready={ip}:8220\nlisten.controlPlane={ip}:8229\n\
             portRange=7340,7355\nseeds={ip}:8229\nbootstrap=true\ninTolerance=false\n\
             limits.cpuQuota=0.17\nlimits.cpus=1\nlimits.memoryMb=182\nlimits.maxFds=2940\n\
             limits.linkMbps=700.0\nlimits.diskMb=0\ndiscovery=platform\ningress=vip\n\
             heartbeatMs=1200\nfaultTolerance.nodes=1\nfaultTolerance.zones=1\n\
             faultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n\
             bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n\
             bounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n\
             bounds.rollbackSlackMs=250\nbounds.outerMs=5000\nbounds.strictRevoke=false\n\
             bounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\n\
             bounds.budgetSlack=191\nbounds.recoveryS=12\nbounds.eventLatencyMs=120\n\
             bounds.retryAfterS=0\nbounds.stall_ms=1500\nbounds.fencing=false\n\
             platform.address={}\nplatform.form=log\nplatform.writesPerS=400\n\
             platform.readsPerS=2000\nplatform.parts=12\nplatform.appendMs=2.0\n\
             platform.partitionMbS=20.0\nplatform.readMbS=80.0\nplatform.recordBytes=262144\n\
             platform.requestBytes=2097152\nplatform.keep_s=300\nplatform.partitionMb=200\n\
             platform.ttlMinMs=1000\n",
            self.store
        )
    }

    /// Kills entries at the same moment, and starts each again after a pause.
    pub fn kill_all(&self, entries: &mut Vec<Entry>, pause: Duration) {
        let numbers: Vec<u8> = entries.iter().map(|entry| entry.number).collect();
        for entry in entries.iter_mut() {
            let _ = entry.child.kill();
        }
        self.record
            .add("entries-killed", &numbers.len().to_string());
        entries.clear();
        std::thread::sleep(pause);
        entries.extend(numbers.into_iter().map(|number| self.start(number)));
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until all entries are ready; returns whether they are.
pub fn wait_ready(entries: &[Entry]) -> bool {
    let end = Instant::now() + START_TIME;
    while Instant::now() < end {
        if entries.iter().all(|entry| is_ready(entry.ready)) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Lets a process end with the one that starts it, however that ends.
pub fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call changes only the new process and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}

pub fn own_program() -> PathBuf {
    std::env::current_exe().unwrap_or_else(|_| Path::new("target/review-2/standin").to_owned())
}
