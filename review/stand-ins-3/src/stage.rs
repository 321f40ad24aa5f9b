//! What every case needs: addresses, settings, the project's processes and the record.

use std::fs::File;
use std::io::{Error, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_body, read_head};

/// Where a case plays: its folder for files, its addresses and its record.
#[derive(Clone)]
pub struct Stage {
    /// The folder for settings and logs.
    pub dir: PathBuf,
    /// The first three numbers of the loopback addresses of this run.
    pub net: String,
    /// Whether the disruption is played.
    pub has_trouble: bool,
    began_at: Instant,
    record: Arc<Mutex<File>>,
    started: Arc<Mutex<Vec<u32>>>,
}

/// The longest time of a case; then it ends as one that could not run.
const MAX_TIME: Duration = Duration::from_secs(100);

impl Stage {
    /// Prepares a stage that writes its record to a file.
    pub fn new(record: &str) -> Result<Self> {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-3-{id}"));
        std::fs::create_dir_all(&dir)?;
        Ok(Self {
            dir,
            net: format!("127.{}.{}", 64 + id % 128, 1 + (id >> 7) % 250),
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            began_at: Instant::now(),
            record: Arc::new(Mutex::new(File::create(record)?)),
            started: Arc::default(),
        })
    }

    /// Ends the case after its longest time, with the processes that it started.
    pub fn watch_time(&self) {
        let stage = self.clone();
        thread::spawn(move || {
            thread::sleep(MAX_TIME);
            stage.note("the case takes too long");
            for id in stage.started.lock().unwrap().iter() {
                let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
            }
            stage.close();
            std::process::exit(2);
        });
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.began_at.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now());
        let mut record = self.record.lock().unwrap();
        // A record that cannot be written shows in the report.
        let _ = record.write_all(line.as_bytes());
    }

    /// Returns an address of this run.
    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.net)
    }

    /// Removes the folder.
    pub fn close(&self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// An entry process, which ends with this value.
pub struct Entry {
    child: Child,
    /// The address for callers.
    pub callers: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Entry {
    /// Starts an entry with the command of the deploy file, at an address of its own.
    pub fn start(stage: &Stage, name: &str, ip: &str, store: SocketAddr) -> Result<Self> {
        let free = || TcpListener::bind((ip, 0))?.local_addr();
        let (callers, ready, peers) = (free()?, free()?, free()?);
        let settings = format!(
            "nodeName={name}\nrole=entry\nmachineClass=edge\nserves=edge\nip={ip}\nzone=a\n\
            region=r\nzones.a=r\nzones.b=r\nlisten.frontend={callers}\nlisten.ready={ready}\n\
            portRange={port},{port}\nheartbeatMs=1200\nbounds.contactMs=3000\nbounds.drainMs=2000\n\
            bounds.graceS=8\nbounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\n\
            bounds.retryWindowS=10\nbounds.budgetSlack=207\nplatform.address={store}\n\
            platform.form=log\n",
            port = peers.port()
        );
        let path = stage.dir.join(format!("{name}.conf"));
        std::fs::write(&path, settings)?;
        let log = File::create(stage.dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/comfrey-node")
            .args(["entry", "--settings"])
            .arg(&path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()?;
        stage.started.lock().unwrap().push(child.id());
        Ok(Self {
            child,
            callers,
            ready,
        })
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let question = b"GET /v1/readyz HTTP/1.1\r\nHost: platform\r\n\r\n";
            if exchange(self.ready, question).is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(Error::other("an entry is not ready"))
    }
}

/// Sends a request on a new connection and reads the response.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Result<Message> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let mut output = stream.try_clone()?;
    output.write_all(request)?;
    let mut input = std::io::BufReader::new(stream);
    let head = read_head(&mut input)?;
    let mut response = head.ok_or_else(|| Error::other("closed without an answer"))?;
    read_body(&mut input, &mut response)?;
    Ok(response)
}

/// Returns a caller's request.
pub fn request(path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: guild.example\r\nComfreyhead-Attempt-Id: {id}\r\n\
        Comfreyhead-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key-1\r\n\
        Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns a server's successful answer to a request.
pub fn success(server: &str, id: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nKeep-Alive: timeout=10\r\n\
        Comfreyhead-Attempt-Id: {id}\r\nComfreyhead-Server-Seal: 3e1b.{server}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns the operator's configuration: one route whose requests run at most once, to one service.
pub fn configuration(attempts: u32) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-order","hostname":"guild.example","pathPrefix":"/order/",
        "type":"unsafe","timeoutMs":8000,"sloMs":400,"priority":1,"service":"ledger",
        "attempts":{attempts},"public":false,"sticky":false}}],
        "services":[{{"name":"ledger","healthPath":"/healthz","maxConns":248,"protocol":"h1","tls":false}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["key-1"],"priority":1}}]}}"#
    )
}

/// Returns a server's entry in the store.
pub fn beat(address: SocketAddr, zone: &str, state: &str, seq: u64) -> String {
    format!(
        r#"{{"service":"ledger","address":"{address}","zone":"{zone}","version":"v1","slots":6,
        "state":"{state}","warmupLeftMs":0,"seq":{seq}}}"#
    )
}
