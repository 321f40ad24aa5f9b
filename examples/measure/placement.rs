//! The `placement` measurement.

use argh::FromArgs;

/// placement
#[derive(FromArgs)]
#[argh(subcommand, name = "placement")]
pub(crate) struct PlacementArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Reports that this measurement does not exist yet.
pub(crate) fn run(args: &PlacementArgs) {
    let _ = args.json;
    eprintln!("measure: placement is not built yet");
    std::process::exit(2);
}
