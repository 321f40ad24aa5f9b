//! Probes of control messages between processes, over loopback TCP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use comfreyhead::connection::ControlPool;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::server::{Server, ServerHandle};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};

use super::fixtures::load_report;
use super::probe::{Probe, ProbeUsage, measure};

/// The token that the processes show each other.
const TOKEN: &str = "a-token-of-the-deployment";

pub(super) fn probes() -> Vec<Probe> {
    vec![
        Probe {
            name: "control-message",
            per: "load report sent as a control message and answered, both ends",
            sizes: &[5_000, 10_000, 15_000, 20_000],
            run: load_report_messages,
        },
        Probe {
            name: "control-message-empty",
            per: "control message without a payload, sent and answered, both ends",
            sizes: &[5_000, 10_000, 15_000, 20_000],
            run: empty_messages,
        },
        Probe {
            name: "control-connection",
            per: "open control connection, both ends",
            sizes: &[100, 200, 300, 400],
            run: connections,
        },
    ]
}

fn load_report_messages(n: usize) -> ProbeUsage {
    let report = serde_json::to_value(load_report(12_345)).expect("report encodes");
    messages(n, &report)
}

fn empty_messages(n: usize) -> ProbeUsage {
    messages(n, &Value::Null)
}

fn messages(n: usize, payload: &Value) -> ProbeUsage {
    let runtime = runtime();
    let mut usage = runtime.block_on(async {
        let (address, _server) = start_server().await;
        let pool = ControlPool::new(TOKEN);
        call(&pool, address, payload, 1).await;
        let cpu_ns = measure_async(call(&pool, address, payload, n)).await;
        ProbeUsage {
            cpu_ns,
            ..ProbeUsage::default()
        }
    });
    usage.wire_bytes = runtime.block_on(async {
        let (address, _server) = start_server().await;
        let n_bytes: &'static AtomicU64 = Box::leak(Box::default());
        let relay = start_relay(address, n_bytes).await;
        let pool = ControlPool::new(TOKEN);
        call(&pool, relay, payload, 1).await;
        let before = n_bytes.load(Ordering::SeqCst);
        call(&pool, relay, payload, n).await;
        n_bytes.load(Ordering::SeqCst) - before
    });
    usage
}

/// Measures the processor time of a future on a runtime of one thread.
async fn measure_async(work: impl Future<Output = ()>) -> u64 {
    let before = super::probe::thread_cpu_ns();
    work.await;
    super::probe::thread_cpu_ns() - before
}

async fn call(pool: &ControlPool, address: SocketAddr, payload: &Value, n: usize) {
    let client = pool.client(address).await.expect("the peer is there");
    for _ in 0..n {
        let answer: u64 = client
            .request("control.report", rpc_params![payload])
            .await
            .expect("the peer answers");
        assert_eq!(answer, 1, "the peer's answer");
    }
}

fn connections(n: usize) -> ProbeUsage {
    let runtime = runtime();
    let (address, _server) = runtime.block_on(start_server());
    measure(|| {
        runtime.block_on(async {
            let mut pools = Vec::new();
            for _ in 0..n {
                let pool = ControlPool::new(TOKEN);
                call(&pool, address, &Value::Null, 1).await;
                pools.push(pool);
            }
            pools
        })
    })
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime")
}

async fn start_server() -> (SocketAddr, ServerHandle) {
    let config = jsonrpsee::server::ServerConfig::builder().max_connections(10_000);
    let server = Server::builder()
        .set_config(config.build())
        .build("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = server.local_addr().expect("an address");
    let mut module = RpcModule::new(());
    module
        .register_method("control.report", |params, (), _| {
            let _: Value = params.one().expect("one parameter");
            1_u64
        })
        .expect("a new method");
    (address, server.start(module))
}

/// Starts a relay that counts the bytes of both directions.
async fn start_relay(address: SocketAddr, n_bytes: &'static AtomicU64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let relay = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            let outbound = TcpStream::connect(address).await.expect("the server");
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
