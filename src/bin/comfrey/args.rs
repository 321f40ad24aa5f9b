//! The arguments of the tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use uuid::Uuid;

/// Operates a deployment of comfreyhead through one of its entry VMs.
#[derive(FromArgs)]
#[argh(
    note = "The operator's token is read from COMFREY_TOKEN. Without --entry the address is read \
            from COMFREY_ENTRY.",
    error_code(0, "the command was carried out"),
    error_code(1, "the command could not be carried out"),
    error_code(3, "the patch, recall or settlement was rejected"),
    error_code(4, "it is not known whether the record was written"),
    error_code(5, "the version was not in force everywhere in time")
)]
pub(crate) struct ToolArgs {
    /// address of an entry VM for operators; may be repeated, the first that answers is used
    #[argh(option)]
    pub(crate) entry: Vec<SocketAddr>,
    /// print JSON for programs
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

/// Publishes a patch against a named version.
#[derive(FromArgs)]
#[argh(subcommand, name = "patch")]
pub(crate) struct PatchArgs {
    /// file with the changes, a JSON list
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// version that the patch was made against
    #[argh(option)]
    pub(crate) base: u64,
    /// batch that the patch belongs to
    #[argh(option)]
    pub(crate) batch: String,
    /// operator
    #[argh(option)]
    pub(crate) author: String,
    /// wait until the version is in force everywhere, for at most this many seconds
    #[argh(option)]
    pub(crate) wait: Option<u64>,
}

/// Publishes a later version without the changes of a batch.
#[derive(FromArgs)]
#[argh(subcommand, name = "recall")]
pub(crate) struct RecallArgs {
    /// batch to recall
    #[argh(positional)]
    pub(crate) batch: String,
    /// version that the recall was decided on
    #[argh(option)]
    pub(crate) base: u64,
    /// operator
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
    /// version; without it the one in force
    #[argh(positional)]
    pub(crate) version: Option<u64>,
}

/// Shows what differs between two versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// earlier version
    #[argh(positional)]
    pub(crate) from: u64,
    /// later version; without it the one in force
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
    /// end after this many versions
    #[argh(option)]
    pub(crate) count: Option<u64>,
}

/// Lists the targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct TargetsArgs {}

/// Explains why a request was routed as it was, from the entry's memory or from log files.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// log file of a process; - reads standard input; may be given more than once
    #[argh(option)]
    pub(crate) log: Vec<PathBuf>,
    /// id of the request, from the header x-request-id; in log files, what their lines name
    #[argh(positional)]
    pub(crate) request: String,
}

/// Shows what the leader of a group would move and why, without doing it.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(crate) struct PlanArgs {
    /// group of ranks
    #[argh(positional)]
    pub(crate) group: String,
}

/// Reviews orders without a known outcome.
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

/// Records what was found out about an order.
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
    /// what was found: answered, failed or not-run
    #[argh(option)]
    pub(crate) outcome: String,
    /// operator
    #[argh(option)]
    pub(crate) author: String,
    /// how it was found out
    #[argh(option)]
    pub(crate) note: String,
}
