//! The command-line arguments of `comfrey`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use uuid::Uuid;

/// Operates a deployment of comfreyhead through one of its entry VMs.
#[derive(FromArgs)]
#[argh(
    note = "The operator's token is read from COMFREY_TOKEN. Without --entry the address is read \
            from COMFREY_ENTRY.",
    error_code(0, "the command succeeded"),
    error_code(1, "the command failed"),
    error_code(3, "the patch, recall or settlement was rejected"),
    error_code(4, "it is unknown whether the record was written"),
    error_code(5, "the version was not in force everywhere in time")
)]
pub(crate) struct ToolArgs {
    /// operators' address of an entry VM; may be repeated, the first that responds is used
    #[argh(option)]
    pub(crate) entry: Vec<SocketAddr>,
    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: ToolCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ToolCommand {
    Status(StatusArgs),
    Patch(PatchArgs),
    Recall(RecallArgs),
    Show(ShowArgs),
    Diff(DiffArgs),
    History(HistoryArgs),
    Watch(WatchArgs),
    Targets(TargetsArgs),
    Explain(ExplainArgs),
    Plan(PlanArgs),
    Orders(OrdersArgs),
}

/// Shows the entry VM, its peers and its targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {}

/// Publishes a patch against a base version.
#[derive(FromArgs)]
#[argh(subcommand, name = "patch")]
pub(crate) struct PatchArgs {
    /// file with the changes as a JSON list
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// version that the patch is based on
    #[argh(option)]
    pub(crate) base: u64,
    /// batch that the patch belongs to
    #[argh(option)]
    pub(crate) batch: String,
    /// name of the operator
    #[argh(option)]
    pub(crate) author: String,
    /// wait until the version is in force everywhere, for at most this many seconds
    #[argh(option)]
    pub(crate) wait: Option<u64>,
}

/// Publishes a new version without the changes of a batch.
#[derive(FromArgs)]
#[argh(subcommand, name = "recall")]
pub(crate) struct RecallArgs {
    /// batch to recall
    #[argh(positional)]
    pub(crate) batch: String,
    /// version that the recall is based on
    #[argh(option)]
    pub(crate) base: u64,
    /// name of the operator
    #[argh(option)]
    pub(crate) author: String,
    /// wait until the version is in force everywhere, for at most this many seconds
    #[argh(option)]
    pub(crate) wait: Option<u64>,
}

/// Shows a configuration version as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowArgs {
    /// version; defaults to the one in force
    #[argh(positional)]
    pub(crate) version: Option<u64>,
}

/// Shows the differences between two versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// earlier version
    #[argh(positional)]
    pub(crate) from: u64,
    /// later version; defaults to the one in force
    #[argh(positional)]
    pub(crate) to: Option<u64>,
}

/// Lists the versions that can still be recalled.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct HistoryArgs {}

/// Prints a line for each version that comes into force.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub(crate) struct WatchArgs {
    /// exit after this many versions
    #[argh(option)]
    pub(crate) count: Option<u64>,
}

/// Lists the targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct TargetsArgs {}

/// Explains how a request was routed and why, from the entry's memory or from log files.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// log file of a process, or - for standard input; may be repeated
    #[argh(option)]
    pub(crate) log: Vec<PathBuf>,
    /// id of the request, from the header x-request-id; with --log, the id in the log lines
    #[argh(positional)]
    pub(crate) request: String,
}

/// Shows which experts the leader of a group would move and why, without moving them.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(crate) struct PlanArgs {
    /// group of ranks
    #[argh(positional)]
    pub(crate) group: String,
}

/// Lists or settles orders without a known outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "orders")]
pub(crate) struct OrdersArgs {
    #[argh(subcommand)]
    pub(crate) command: OrdersCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum OrdersCommand {
    Open(OpenArgs),
    Settle(SettleArgs),
}

/// Lists the orders without a known outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "open")]
pub(crate) struct OpenArgs {}

/// Records the outcome of an order as established by an operator.
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
pub(crate) struct SettleArgs {
    /// client account
    #[argh(positional)]
    pub(crate) account: String,
    /// idempotency key
    #[argh(positional)]
    pub(crate) key: Uuid,
    /// attempt that holds the claim, from `orders open`
    #[argh(positional)]
    pub(crate) attempt: Uuid,
    /// outcome of the order: answered, failed or not-run
    #[argh(option)]
    pub(crate) outcome: String,
    /// name of the operator
    #[argh(option)]
    pub(crate) author: String,
    /// how the outcome was established
    #[argh(option)]
    pub(crate) note: String,
}
