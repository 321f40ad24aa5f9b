//! Starts and ends entry processes, by the command of the deploy file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path as FilePath, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::call;
use crate::record::Record;
use crate::store::Path;

/// The program of the deploy file, in the repository's root.
const PROGRAM: &str = "target/release/comfrey-node";

/// The number of the signal that stops a process.
const SIGTERM: i32 = 15;

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this one has started.
fn signal(pid: u32, number: i32) {
    kill(pid as i32, number);
}

pub struct Entry {
    pub name: String,
    pub path: Path,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Entry {
    /// Writes the settings of an entry; it has an address of its own.
    pub fn new(
        ip: &str,
        name: &str,
        zone: &str,
        path: Path,
        folder: &FilePath,
        record: &Record,
    ) -> Self {
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "nodeName={name}\nrole=entry\nmachineClass=edge\nserves=edge\nip={ip}\nzone={zone}\n\
             region=r\nzones.{zone}=r\nlisten.frontend={ip}:8227\nlisten.ready={ip}:8220\n\
             listen.controlPlane={ip}:8229\nportRange=7340,7355\nseeds=\nbootstrap=true\n\
             limits.memoryMb=182\nlimits.maxFds=2870\ndiscovery=platform\ningress=vip\n\
             heartbeatMs=1200\nbounds.contactMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\n\
             bounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\n\
             bounds.budgetSlack=207\nplatform.address={}\nplatform.form=log\n",
            path.address
        );
        fs::write(&settings, text).expect("settings can be written");
        Self {
            name: name.to_owned(),
            path,
            callers: format!("{ip}:8227").parse().expect("address"),
            ready: format!("{ip}:8220").parse().expect("address"),
            settings,
            child: None,
            record: record.clone(),
        }
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("log can be written");
        let child = Command::new(PROGRAM)
            .arg("entry")
            .env_clear()
            .env("COMFREYHEAD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.record.line(&format!("entry {} starts", self.name));
        self.child = Some(child);
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("entry {} is killed", self.name));
        }
    }

    /// Stops the process with SIGTERM and waits for its end; after `graceS` it is killed.
    pub fn stop(&mut self, grace: Duration) {
        let Some(child) = self.child.as_mut() else {
            return;
        };
        signal(child.id(), SIGTERM);
        self.record
            .line(&format!("entry {} gets SIGTERM", self.name));
        let until = Instant::now() + grace;
        while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_millis(300))
            .is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
