//! Runs one measurement: `cargo run --release --example measure -- NAME [--json]`.

mod capacity;
mod config;
mod orders;
mod path;
mod placement;
mod routing;

use argh::FromArgs;

/// Measures one part of comfreyhead and prints a table, or JSON lines.
#[derive(FromArgs)]
struct MeasureArgs {
    #[argh(subcommand)]
    part: MeasurePart,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum MeasurePart {
    Capacity(capacity::CapacityArgs),
    Config(config::ConfigArgs),
    Orders(orders::OrdersArgs),
    Path(path::PathArgs),
    Placement(placement::PlacementArgs),
    Routing(routing::RoutingArgs),
}

fn main() {
    let args: MeasureArgs = argh::from_env();
    match args.part {
        MeasurePart::Capacity(args) => capacity::run(&args),
        MeasurePart::Config(args) => config::run(&args),
        MeasurePart::Orders(args) => orders::run(&args),
        MeasurePart::Path(args) => path::run(&args),
        MeasurePart::Placement(args) => placement::run(&args),
        MeasurePart::Routing(args) => routing::run(&args),
    }
}
