//! The commands of `comfrey`.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::ExitCode;

use comfreyhead::connection::PlanReport;
use comfreyhead::prelude::*;
use comfreyhead::process::distribution::InForceReport;
use comfreyhead::process::operator::{
    ConfigReport, LogTrail, OpenOrders, PatchOrder, PatchReport, PatchResult, RecallOrder,
    RequestReport, SettleOrder, SettleReport, StatusReport, TargetReport, VersionReport,
};
use comfreyhead::process::orders::{AttemptId, FindingOutcome, OrderKey};
use comfreyhead::version::config::{AuthorName, BatchName, ConfigChange, diff};
use serde::Serialize;
use uuid::Uuid;

use crate::args::{
    DiffArgs, ExplainArgs, OrdersCommand, PatchArgs, RecallArgs, SettleArgs, ShowArgs, ToolArgs,
    ToolCommand, WatchArgs,
};
use crate::client::OperatorClient;
use crate::tables;

/// The exit code if the record was rejected.
const REJECTED: u8 = 3;
/// The exit code if it is unknown whether the record was written.
const UNKNOWN: u8 = 4;
/// The exit code if the version was not in force everywhere in time.
const NOT_IN_FORCE: u8 = 5;
/// The exit code if the record was not written.
const NOT_WRITTEN: u8 = 1;
/// The interval at which reports are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The format in which results are printed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OutputFormat {
    Text,
    Json,
}

/// Runs the command given by the arguments.
///
/// # Errors
/// The command failed.
pub(crate) async fn run(args: &ToolArgs) -> Result<ExitCode> {
    // Reading log files requires neither an entry VM nor a token.
    if let ToolCommand::Explain(args) = &args.command
        && !args.log.is_empty()
    {
        return explain_from_logs(args);
    }
    let client = OperatorClient::new(&args.entry)?;
    let format = if args.json {
        OutputFormat::Json
    } else {
        OutputFormat::Text
    };
    match &args.command {
        ToolCommand::Status(_) => {
            let report: StatusReport = client.get("/status").await?;
            print(format, &report, tables::status)
        }
        ToolCommand::Targets(_) => {
            let report: Vec<TargetReport> = client.get("/targets").await?;
            print(format, &report, |report| tables::targets(report))
        }
        ToolCommand::History(_) => {
            let report: Vec<VersionReport> = client.get("/history").await?;
            print(format, &report, |report| tables::history(report))
        }
        ToolCommand::Show(args) => show(&client, args).await,
        ToolCommand::Diff(args) => show_diff(&client, format, args).await,
        ToolCommand::Watch(args) => watch(&client, args).await,
        ToolCommand::Explain(args) => explain(&client, format, args).await,
        ToolCommand::Patch(args) => patch(&client, format, args).await,
        ToolCommand::Recall(args) => recall(&client, format, args).await,
        ToolCommand::Plan(args) => {
            let report: PlanReport = client.get(&format!("/plans/{}", args.group)).await?;
            print(format, &report, tables::plan)
        }
        ToolCommand::Orders(args) => match &args.command {
            OrdersCommand::Open(_) => {
                let report: OpenOrders = client.get("/orders/open").await?;
                print(format, &report, tables::open_orders)
            }
            OrdersCommand::Settle(args) => settle(&client, format, args).await,
        },
    }
}

async fn show(client: &OperatorClient, args: &ShowArgs) -> Result<ExitCode> {
    let report = get_version(client, args.version).await?;
    print(OutputFormat::Json, &report, |_| String::new())
}

async fn show_diff(
    client: &OperatorClient,
    format: OutputFormat,
    args: &DiffArgs,
) -> Result<ExitCode> {
    let from = get_version(client, Some(args.from)).await?;
    let to = get_version(client, args.to).await?;
    let differences: Vec<String> = diff(&from.content, &to.content)
        .iter()
        .map(ToString::to_string)
        .collect();
    print(format, &differences, |differences| differences.join("\n"))
}

async fn get_version(client: &OperatorClient, version: Option<u64>) -> Result<ConfigReport> {
    match version {
        Some(version) => client.get(&format!("/config/{version}")).await,
        None => client.get("/config").await,
    }
}

async fn watch(client: &OperatorClient, args: &WatchArgs) -> Result<ExitCode> {
    let mut last = client.get::<StatusReport>("/status").await?.version;
    println!("version {last} is in force");
    let mut n_seen = 0;
    while args.count.is_none_or(|count| n_seen < count) {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Ok(versions) = client.get::<Vec<VersionReport>>("/history").await else {
            continue;
        };
        for version in versions
            .iter()
            .filter(|version| last < version.summary.number)
        {
            println!("{}", version.summary);
            n_seen += 1;
        }
        last = versions
            .last()
            .map_or(last, |version| last.max(version.summary.number));
    }
    Ok(ExitCode::SUCCESS)
}

async fn explain(
    client: &OperatorClient,
    format: OutputFormat,
    args: &ExplainArgs,
) -> Result<ExitCode> {
    let request: Uuid = args
        .request
        .parse()
        .map_err(|_| Error::Invalid(format!("request \"{}\" is not a UUID", args.request)))?;
    let report: RequestReport = client.get(&format!("/requests/{request}")).await?;
    print(format, &report, tables::explanation)
}

fn explain_from_logs(args: &ExplainArgs) -> Result<ExitCode> {
    let mut trail = LogTrail::default();
    for path in &args.log {
        let read_error = |err| Error::Io(path.display().to_string(), err);
        let input: Box<dyn BufRead> = match path.as_os_str() == "-" {
            true => Box::new(std::io::stdin().lock()),
            false => Box::new(BufReader::new(File::open(path).map_err(read_error)?)),
        };
        for line in input.lines() {
            trail.add_line(&line.map_err(read_error)?, &args.request);
        }
    }
    if trail.steps.is_empty() {
        let reason = format!("no log line names request \"{}\"", args.request);
        return Err(Error::Invalid(reason));
    }
    print!("{trail}");
    Ok(ExitCode::SUCCESS)
}

async fn patch(
    client: &OperatorClient,
    format: OutputFormat,
    args: &PatchArgs,
) -> Result<ExitCode> {
    let order = PatchOrder {
        base: VersionNumber(args.base),
        batch: BatchName::from(args.batch.as_str()),
        author: AuthorName::from(args.author.as_str()),
        changes: read_changes(&args.file)?,
    };
    let report: PatchReport = client.post("/patches", &order).await?;
    report_result(client, format, &report, args.wait).await
}

async fn recall(
    client: &OperatorClient,
    format: OutputFormat,
    args: &RecallArgs,
) -> Result<ExitCode> {
    let order = RecallOrder {
        base: VersionNumber(args.base),
        batch: BatchName::from(args.batch.as_str()),
        author: AuthorName::from(args.author.as_str()),
    };
    let report: PatchReport = client.post("/recalls", &order).await?;
    report_result(client, format, &report, args.wait).await
}

async fn settle(
    client: &OperatorClient,
    format: OutputFormat,
    args: &SettleArgs,
) -> Result<ExitCode> {
    let outcome = match args.outcome.as_str() {
        "answered" => FindingOutcome::Answered,
        "failed" => FindingOutcome::Failed,
        "not-run" => FindingOutcome::NotRun,
        other => {
            let expected = "expected answered, failed or not-run";
            return Err(Error::Invalid(format!("--outcome {other}: {expected}")));
        }
    };
    let order = SettleOrder {
        key: OrderKey {
            account: AccountName::from(args.account.as_str()),
            id: args.key,
        },
        attempt: AttemptId(args.attempt),
        outcome,
        author: AuthorName::from(args.author.as_str()),
        note: args.note.clone(),
    };
    let report: SettleReport = client.post("/orders/settle", &order).await?;
    print(format, &report, |report| {
        format!("{}: {}", report.result, report.reason)
    })?;
    Ok(exit_code(report.result))
}

/// Prints the result of a patch or recall and, if `wait` is set, waits up to that many seconds
/// for an accepted version to be in force everywhere.
async fn report_result(
    client: &OperatorClient,
    format: OutputFormat,
    report: &PatchReport,
    wait: Option<u64>,
) -> Result<ExitCode> {
    print(format, report, |report| match report.result {
        PatchResult::Accepted => format!("accepted: version {}", report.version),
        result => format!("{result}: {} (nonce {})", report.reason, report.nonce),
    })?;
    match (report.result, wait) {
        (PatchResult::Accepted, Some(seconds)) => {
            await_in_force(client, format, report.version, seconds).await
        }
        (result, _) => Ok(exit_code(result)),
    }
}

async fn await_in_force(
    client: &OperatorClient,
    format: OutputFormat,
    version: VersionNumber,
    seconds: u64,
) -> Result<ExitCode> {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(seconds);
    loop {
        let report: InForceReport = client.get(&format!("/in-force/{version}")).await?;
        let is_everywhere = report.is_everywhere();
        if is_everywhere || deadline <= tokio::time::Instant::now() {
            print(format, &report, |report| tables::in_force(version, report))?;
            let code = if is_everywhere { 0 } else { NOT_IN_FORCE };
            return Ok(ExitCode::from(code));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn read_changes(path: &Path) -> Result<Vec<ConfigChange>> {
    let text = std::fs::read_to_string(path)
        .map_err(|err| Error::Io(format!("cannot read {}", path.display()), err))?;
    serde_json::from_str(&text).map_err(|err| {
        Error::Invalid(format!(
            "{}: invalid list of changes: {err}",
            path.display()
        ))
    })
}

fn exit_code(result: PatchResult) -> ExitCode {
    match result {
        PatchResult::Accepted => ExitCode::SUCCESS,
        PatchResult::Rejected => ExitCode::from(REJECTED),
        PatchResult::NotWritten => ExitCode::from(NOT_WRITTEN),
        PatchResult::Unknown => ExitCode::from(UNKNOWN),
    }
}

fn print<T: Serialize>(
    format: OutputFormat,
    report: &T,
    text: impl Fn(&T) -> String,
) -> Result<ExitCode> {
    match format {
        OutputFormat::Text => println!("{}", text(report)),
        OutputFormat::Json => {
            let json = serde_json::to_string_pretty(report);
            println!("{}", json.map_err(|err| Error::Invalid(err.to_string()))?);
        }
    }
    Ok(ExitCode::SUCCESS)
}
