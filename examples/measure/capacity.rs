//! The `capacity` measurement.

use argh::FromArgs;

/// capacity
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub(crate) struct CapacityArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Reports that this measurement does not exist yet.
pub(crate) fn run(args: &CapacityArgs) {
    let _ = args.json;
    eprintln!("measure: capacity is not built yet");
    std::process::exit(2);
}
