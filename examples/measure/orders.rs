//! The `orders` measurement.

use argh::FromArgs;

/// orders
#[derive(FromArgs)]
#[argh(subcommand, name = "orders")]
pub(crate) struct OrdersArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Reports that this measurement does not exist yet.
pub(crate) fn run(args: &OrdersArgs) {
    let _ = args.json;
    eprintln!("measure: orders is not built yet");
    std::process::exit(2);
}
