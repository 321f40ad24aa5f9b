//! The `routing` measurement.

use argh::FromArgs;

/// routing
#[derive(FromArgs)]
#[argh(subcommand, name = "routing")]
pub(crate) struct RoutingArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Reports that this measurement does not exist yet.
pub(crate) fn run(args: &RoutingArgs) {
    let _ = args.json;
    eprintln!("measure: routing is not built yet");
    std::process::exit(2);
}
