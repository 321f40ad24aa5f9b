//! The `path` measurement: the latency and throughput of calls through an entry and an agent,
//! compared with direct calls to the engines.

// Only the quickstart example uses the remaining items of these two modules.
#[allow(dead_code)]
#[path = "../quickstart/callers.rs"]
mod callers;
#[allow(dead_code)]
#[path = "../quickstart/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::Instant;

use argh::FromArgs;
use comfreyhead::error::{Error, Result};
use futures::future::join_all;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use callers::Caller;
use fleet::Fleet;

/// The numbers of concurrent callers.
const CALLERS: [usize; 3] = [1, 8, 24];
/// The number of requests that each caller sends.
const REQUESTS: usize = 40;
/// The number of tokens in each answer.
const TOKENS: u64 = 16;
/// The upper bound of the latency histogram, in microseconds; longer times are clamped to it.
const MAX_TIME_US: u64 = 60_000_000;
/// The HTTP path of the requests.
const PATH: &str = "/v1/completions";

/// measures what an entry and an agent add to a direct call of the engines
#[derive(FromArgs)]
#[argh(subcommand, name = "path")]
pub(crate) struct PathArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// The latency and throughput of direct or routed calls.
struct PathFigures {
    median_us: u64,
    p95_us: u64,
    requests_per_s: f64,
}

/// Runs the measurement and prints its table.
pub(crate) fn run(args: &PathArgs) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    if let Err(err) = runtime.block_on(measure(args)) {
        eprintln!("measure: path: {err}");
        std::process::exit(1);
    }
}

async fn measure(args: &PathArgs) -> Result<()> {
    let fleet = Fleet::start().await?;
    fleet.publish().await?;
    if !args.json {
        println!("{TOKENS} tokens an answer, 3 engines of 8 slots, {REQUESTS} requests a caller");
        println!(
            "{:>8} {:>7} {:>12} {:>12} {:>12}",
            "callers", "way", "median us", "p95 us", "req/s"
        );
    }
    for n_callers in CALLERS {
        let direct = measure_calls(&fleet.engines(), n_callers).await?;
        let routed = measure_calls(&fleet.callers(), n_callers).await?;
        for (way, figures) in [("direct", &direct), ("routed", &routed)] {
            print(args, (n_callers, way), figures);
        }
        let ratio = routed.median_us as f64 / direct.median_us as f64;
        let rate = routed.requests_per_s / direct.requests_per_s;
        if !args.json {
            println!(
                "{n_callers:>8} {:>7} {ratio:>12.3} {:>12} {rate:>12.3}",
                "ratio", ""
            );
        }
    }
    fleet.stop().await
}

fn print(args: &PathArgs, (n_callers, way): (usize, &str), figures: &PathFigures) {
    if args.json {
        let line = json!({
            "callers": n_callers, "way": way, "median_us": figures.median_us,
            "p95_us": figures.p95_us, "requests_per_s": figures.requests_per_s,
        });
        println!("{line}");
        return;
    }
    let PathFigures {
        median_us,
        p95_us,
        requests_per_s,
    } = figures;
    println!("{n_callers:>8} {way:>7} {median_us:>12} {p95_us:>12} {requests_per_s:>12.1}");
}

async fn measure_calls(addresses: &[SocketAddr], n_callers: usize) -> Result<PathFigures> {
    let started_at = Instant::now();
    let callers = (0..n_callers).map(|idx| send_requests(addresses.to_vec(), idx));
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3)
        .map_err(|err| Error::Invalid(err.to_string()))?;
    for called in join_all(callers).await {
        for time_us in called? {
            times.saturating_record(time_us);
        }
    }
    let n_requests = (n_callers * REQUESTS) as f64;
    Ok(PathFigures {
        median_us: times.value_at_quantile(0.5),
        p95_us: times.value_at_quantile(0.95),
        requests_per_s: n_requests / started_at.elapsed().as_secs_f64(),
    })
}

async fn send_requests(addresses: Vec<SocketAddr>, caller: usize) -> Result<Vec<u64>> {
    let client = Caller::of(addresses.clone());
    let mut times = Vec::with_capacity(REQUESTS);
    for idx in 0..REQUESTS {
        let body: Value = json!({
            "model": "kit-assistant", "prompt": format!("letter {caller}/{idx}"),
            "max_tokens": TOKENS, "stream": true,
        });
        let started_at = Instant::now();
        let text = client
            .stream((caller + idx) % addresses.len(), PATH, &body)
            .await?;
        if !text.contains("data: [DONE]") {
            return Err(Error::Invalid("an answer is not whole".to_owned()));
        }
        times.push(started_at.elapsed().as_micros() as u64);
    }
    Ok(times)
}
