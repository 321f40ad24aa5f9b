//! Starts entry VMs, agents and stand-ins in one process, serves a few requests and prints results.
//!
//! `cargo run --release --example quickstart` exits with 0 on success; with `--stay` it keeps
//! serving and prints commands to try.

mod callers;
mod fleet;

use argh::FromArgs;
use comfreyhead::prelude::*;
use serde_json::json;

use callers::Caller;
use fleet::Fleet;

/// Starts a small deployment on loopback and serves a few requests.
#[derive(FromArgs)]
struct QuickstartArgs {
    /// keep serving until interrupted
    #[argh(switch)]
    stay: bool,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let args: QuickstartArgs = argh::from_env();
    match run(&args).await {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("quickstart: {err}");
            std::process::ExitCode::FAILURE
        }
    }
}

async fn run(args: &QuickstartArgs) -> Result<()> {
    let fleet = Fleet::start().await?;
    let n_engines = fleet.engines().len();
    println!("2 entry VMs, {n_engines} model engines, 2 ledger servers in 2 data centres");
    let version = fleet.publish().await?;
    println!("configuration version {version} is in force at every process");
    let caller = Caller::new(&fleet);
    ask_complete(&caller).await?;
    ask_streamed(&caller).await?;
    order_twice(&fleet, &caller).await?;
    if args.stay {
        fleet.print_lines_to_try();
        let waited = tokio::signal::ctrl_c().await;
        waited.map_err(|err| Error::Io("cannot listen for an interrupt".to_owned(), err))?;
    }
    fleet.stop().await
}

async fn ask_complete(caller: &Caller) -> Result<()> {
    let body = json!({
        "model": "kit-assistant",
        "messages": [{ "role": "user", "content": "How are quills voiced?" }],
        "max_tokens": 8,
    });
    let answer = caller.post(0, "/v1/chat/completions", &body, &[]).await?;
    let text = answer.body["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    println!("complete answer ({}): {text}", answer.outcome);
    check(
        answer.outcome == "answered" && !text.is_empty(),
        "the complete answer is empty or its outcome is not `answered`",
    )
}

async fn ask_streamed(caller: &Caller) -> Result<()> {
    let body = json!({
        "model": "kit-assistant",
        "prompt": "Regulate the jacks of the upper manual.",
        "max_tokens": 12,
        "stream": true,
    });
    let text = caller.stream(1, "/v1/completions", &body).await?;
    let n_events = text
        .lines()
        .filter(|line| line.starts_with("data: {"))
        .count();
    let end = text
        .lines()
        .find(|line| line.starts_with(": outcome="))
        .unwrap_or("");
    println!("streamed answer: {n_events} events, end marker \"{end}\"");
    check(
        end.starts_with(": outcome=answered"),
        "the streamed answer is incomplete",
    )
}

async fn order_twice(fleet: &Fleet, caller: &Caller) -> Result<()> {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [
        ("idempotency-key", key.as_str()),
        ("idempotency-first-use", "?1"),
    ];
    let body = json!({ "part": "quill set", "quantity": 2 });
    let first = caller
        .post(0, "/v1/services/ledger/ship", &body, &headers)
        .await?;
    let again = caller
        .post(1, "/v1/services/ledger/ship", &body, &headers[..1])
        .await?;
    let n_ran = fleet.n_orders_run();
    println!(
        "one order sent twice through two entry VMs: {} and {}",
        first.outcome, again.outcome
    );
    println!("the ledger servers executed {n_ran} order");
    check(
        n_ran == 1 && first.body == again.body,
        "the order was not executed exactly once with the same answer",
    )
}

fn check(holds: bool, failure: &str) -> Result<()> {
    if holds {
        Ok(())
    } else {
        Err(Error::Invalid(failure.to_owned()))
    }
}
