//! Probes of control messages between processes, over loopback TCP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use comfreyhead::connection::{
    AgentReadiness, AgentReport, ControlClient, ControlPool, ControlServer, ListedState,
    MapRequest, PeerHello, PlanReport, ReportPoll, StepEnvelope, VersionNotice, VersionPull,
    serve_control,
};
use comfreyhead::prelude::*;
use comfreyhead::process::distribution::{
    AnnouncementKind, PeerInfo, PeerRole, VersionAnnouncement, VersionBody,
};
use comfreyhead::process::platform::{ListedVm, VmList, VmState};
use comfreyhead::process::routing::{AccountDemand, DemandReport};
use comfreyhead::process::step_window::StepMessage;
use comfreyhead::version::config::{ConfigContent, VersionDigest};
use comfreyhead::version::expert_map::{ExpertMap, LoadReport};
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::fixtures::{START, account_name, entry_name, load_report, target_name};
use super::probe::{Probe, ProbeUsage, measure, measure_cpu, thread_cpu_ns};

/// The token that authenticates the processes to each other.
const TOKEN: &str = "a-token-of-the-deployment";
/// Current number of peers of an entry, itself not counted.
const N_PEERS: usize = 17;
/// Exchanges per run of the probes that vary the message size.
const N_EXCHANGES: usize = 200;

pub(super) fn probes() -> Vec<Probe> {
    vec![
        Probe {
            name: "control-report",
            per: "poll of an agent and its report, both ends",
            sizes: &[2_000, 4_000, 6_000, 8_000],
            run: reports,
        },
        Probe {
            name: "control-pull",
            per: "pull of versions without a new one, both ends",
            sizes: &[2_000, 4_000, 6_000, 8_000],
            run: pulls,
        },
        Probe {
            name: "control-announce",
            per: "announcement of a version, both ends",
            sizes: &[2_000, 4_000, 6_000, 8_000],
            run: announcements,
        },
        Probe {
            name: "vm-list",
            per: "VM of the platform's list, decoded",
            sizes: &[1_000, 2_000, 4_000, 8_000],
            run: vm_lists,
        },
        Probe {
            name: "control-exchange",
            per: "exchange of two entries, 17 peers, no active account, both ends",
            sizes: &[2_000, 4_000, 6_000, 8_000],
            run: exchanges,
        },
        Probe {
            name: "control-exchange-peers",
            per: "known peer, in 200 exchanges, both ends",
            sizes: &[17, 128, 256, 529],
            run: exchanges_by_peers,
        },
        Probe {
            name: "control-exchange-accounts",
            per: "active account, in 200 exchanges, both ends",
            sizes: &[10, 100, 200, 400],
            run: exchanges_by_accounts,
        },
        Probe {
            name: "control-connection",
            per: "open control connection, both ends",
            sizes: &[100, 200, 300, 400],
            run: connections,
        },
    ]
}

/// A control server that returns fixed answers.
#[derive(Clone)]
struct FixedControl {
    report: AgentReport,
    hello: PeerHello,
}

#[async_trait]
impl ControlServer for FixedControl {
    async fn exchange(&self, _hello: PeerHello) -> Result<PeerHello, ErrorObjectOwned> {
        Ok(self.hello.clone())
    }

    async fn report(&self, _poll: ReportPoll) -> Result<AgentReport, ErrorObjectOwned> {
        Ok(self.report.clone())
    }

    async fn step(&self, _envelope: StepEnvelope) -> Result<Option<StepMessage>, ErrorObjectOwned> {
        Ok(None)
    }

    async fn find_map(
        &self,
        _request: MapRequest,
    ) -> Result<Option<Arc<ExpertMap>>, ErrorObjectOwned> {
        Ok(None)
    }

    async fn expert_loads(
        &self,
        _group: GroupName,
    ) -> Result<Option<LoadReport>, ErrorObjectOwned> {
        Ok(None)
    }

    async fn plan(&self, _group: GroupName) -> Result<Option<PlanReport>, ErrorObjectOwned> {
        Ok(None)
    }

    async fn announce(&self, _notice: VersionNotice) -> Result<(), ErrorObjectOwned> {
        Ok(())
    }

    async fn pull(&self, _pull: VersionPull) -> Result<VersionBody, ErrorObjectOwned> {
        Ok(VersionBody::Records(Vec::new()))
    }
}

/// A control message and its content.
enum Message {
    Report(ReportPoll),
    Exchange(PeerHello),
    Pull(VersionPull),
    Announce(VersionNotice),
}

fn announcement() -> VersionAnnouncement {
    VersionAnnouncement {
        incarnation: ProcessIncarnation(START.0),
        following: true,
        serving: true,
        number: VersionNumber(5_900),
        digest: VersionDigest::of(&ConfigContent::default()),
    }
}

fn control_address(idx: usize) -> SocketAddr {
    let ip = [10, 10, (idx / 250) as u8 + 1, (idx % 250) as u8 + 1];
    (ip, 7_000).into()
}

fn report_poll() -> ReportPoll {
    ReportPoll {
        from: entry_name(1),
        data_centre: "sofia-1".into(),
        control: control_address(1),
        announcement: announcement(),
        listed: ListedState::Present,
        cache_from: 123_456,
    }
}

fn agent_report() -> AgentReport {
    AgentReport {
        incarnation: ProcessIncarnation(START.0),
        readiness: AgentReadiness::Ready,
        load: Some(load_report(12_345)),
        announcement: announcement(),
        suspects: Vec::new(),
        cache: Vec::new(),
        cache_next: 123_456,
    }
}

fn peer_hello(n_peers: usize, n_accounts: usize) -> PeerHello {
    let demand = |idx| AccountDemand {
        account: account_name(idx),
        tokens_per_second: 1_234,
        in_flight: 12,
    };
    PeerHello {
        from: entry_name(1),
        data_centre: "sofia-1".into(),
        control: control_address(1),
        announcement: announcement(),
        demand: DemandReport {
            sequence: START.0,
            accounts: (0..n_accounts).map(demand).collect(),
        },
        suspects: Vec::new(),
        peers: (0..n_peers).map(control_address).collect(),
    }
}

fn reports(n: usize) -> ProbeUsage {
    messages(n, &Message::Report(report_poll()))
}

fn pulls(n: usize) -> ProbeUsage {
    let since = VersionNumber(5_900);
    messages(n, &Message::Pull(VersionPull { since }))
}

fn announcements(n: usize) -> ProbeUsage {
    let notice = VersionNotice {
        from: PeerInfo {
            name: entry_name(1).as_str().into(),
            data_centre: "sofia-1".into(),
            role: PeerRole::Entry,
        },
        control: control_address(1),
        announcement: announcement(),
        kind: AnnouncementKind::Probe,
    };
    messages(n, &Message::Announce(notice))
}

fn vm_lists(n_vms: usize) -> ProbeUsage {
    let vm = |idx| ListedVm {
        name: Arc::from(target_name(idx).as_str()),
        data_centre: "sofia-1".into(),
        state: VmState::Live,
    };
    let list = VmList {
        as_of_ms: START.as_millis(),
        vms: (0..n_vms).map(vm).collect(),
    };
    let text = serde_json::to_string(&list).expect("list encodes");
    let decode = || serde_json::from_str::<VmList>(&text).expect("list decodes");
    ProbeUsage {
        wire_bytes: text.len() as u64,
        ..measure_cpu(decode)
    }
}

fn exchanges(n: usize) -> ProbeUsage {
    messages(n, &Message::Exchange(peer_hello(N_PEERS, 0)))
}

fn exchanges_by_peers(n_peers: usize) -> ProbeUsage {
    messages(N_EXCHANGES, &Message::Exchange(peer_hello(n_peers, 0)))
}

fn exchanges_by_accounts(n_accounts: usize) -> ProbeUsage {
    let hello = peer_hello(N_PEERS, n_accounts);
    messages(N_EXCHANGES, &Message::Exchange(hello))
}

/// Sends `n` messages twice: directly for the CPU time, then through a relay that counts bytes.
fn messages(n: usize, message: &Message) -> ProbeUsage {
    let runtime = runtime();
    let address = runtime.block_on(start_server(message));
    let pool = ControlPool::new(TOKEN);
    let cpu_ns = runtime.block_on(async {
        call(&pool, address, message, 1).await;
        let before = thread_cpu_ns();
        call(&pool, address, message, n).await;
        thread_cpu_ns() - before
    });
    let wire_bytes = runtime.block_on(async {
        let n_bytes: &'static AtomicU64 = Box::leak(Box::default());
        let relay = start_relay(address, n_bytes).await;
        call(&pool, relay, message, 1).await;
        let before = n_bytes.load(Ordering::SeqCst);
        call(&pool, relay, message, n).await;
        n_bytes.load(Ordering::SeqCst) - before
    });
    ProbeUsage {
        bytes: 0,
        cpu_ns,
        wire_bytes,
    }
}

async fn call(pool: &ControlPool, address: SocketAddr, message: &Message, n: usize) {
    let client = pool.client(address).await.expect("connect to the peer");
    for _ in 0..n {
        match message {
            Message::Report(poll) => {
                client.report(poll.clone()).await.expect("request a report");
            }
            Message::Exchange(hello) => {
                client
                    .exchange(hello.clone())
                    .await
                    .expect("exchange a hello");
            }
            Message::Pull(pull) => {
                client.pull(pull.clone()).await.expect("pull versions");
            }
            Message::Announce(notice) => {
                client
                    .announce(notice.clone())
                    .await
                    .expect("announce a version");
            }
        }
    }
}

fn connections(n: usize) -> ProbeUsage {
    let runtime = runtime();
    let message = Message::Report(report_poll());
    let address = runtime.block_on(start_server(&message));
    measure(|| {
        runtime.block_on(async {
            let mut pools = Vec::new();
            for _ in 0..n {
                let pool = ControlPool::new(TOKEN);
                call(&pool, address, &message, 1).await;
                pools.push(pool);
            }
            pools
        })
    })
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("build the runtime")
}

/// Starts a control server that answers a hello with one of the same size.
async fn start_server(message: &Message) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a free port");
    let address = listener.local_addr().expect("read the local address");
    let hello = match message {
        Message::Exchange(hello) => hello.clone(),
        Message::Report(_) | Message::Pull(_) | Message::Announce(_) => peer_hello(0, 0),
    };
    let control = FixedControl {
        report: agent_report(),
        hello,
    };
    let methods = control.into_rpc().into();
    tokio::spawn(serve_control(
        listener,
        methods,
        TOKEN.into(),
        CancellationToken::new(),
    ));
    address
}

/// Starts a TCP relay that counts the bytes sent in both directions.
async fn start_relay(address: SocketAddr, n_bytes: &'static AtomicU64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a free port");
    let relay = listener.local_addr().expect("read the local address");
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            let outbound = TcpStream::connect(address)
                .await
                .expect("connect to the server");
            let (inbound_read, inbound_write) = inbound.into_split();
            let (outbound_read, outbound_write) = outbound.into_split();
            tokio::spawn(copy_counted(inbound_read, outbound_write, n_bytes));
            tokio::spawn(copy_counted(outbound_read, inbound_write, n_bytes));
        }
    });
    relay
}

async fn copy_counted(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    n_bytes: &AtomicU64,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 16_384];
    while let Ok(n) = from.read(&mut buffer).await {
        if n == 0 || to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
        n_bytes.fetch_add(n as u64, Ordering::SeqCst);
    }
}
