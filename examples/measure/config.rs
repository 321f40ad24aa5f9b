//! The `config` measurement.

use argh::FromArgs;

/// config
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Reports that this measurement does not exist yet.
pub(crate) fn run(args: &ConfigArgs) {
    let _ = args.json;
    eprintln!("measure: config is not built yet");
    std::process::exit(2);
}
