//! The `placement` measurement: step-time skew and moved bytes over drift traces, and the cost of
//! the step-window protocol.

mod policy;
mod protocol;
mod report;
mod run;
mod trace;

use argh::FromArgs;

use self::policy::PolicyKind;
use self::run::{GroupSize, TraceRun};
use self::trace::TraceKind;

/// Measure the skew and the moved bytes of placement policies over drift traces.
#[derive(FromArgs)]
#[argh(subcommand, name = "placement")]
pub(crate) struct PlacementArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,

    /// write a plot of skew and bytes over a trace to this SVG file
    #[argh(option)]
    plot: Option<std::path::PathBuf>,

    /// weights of one more product policy to try: skew_weight,move_weight,max_moves,horizon_s
    #[argh(option)]
    weights: Option<String>,
}

/// Runs every policy on every trace, then measures the protocol.
pub(crate) fn run(args: &PlacementArgs) {
    let mut policies = PolicyKind::all();
    policies.extend(args.weights.as_deref().map(PolicyKind::from_weights));
    let runs: Vec<TraceRun> = std::thread::scope(|scope| {
        let cases = GroupSize::all()
            .into_iter()
            .flat_map(|size| TraceKind::ALL.into_iter().map(move |trace| (size, trace)));
        let cases: Vec<_> = cases.collect();
        let mut runs = Vec::new();
        for chunk in cases.chunks(run::PARALLEL_RUNS) {
            let threads: Vec<_> = chunk
                .iter()
                .map(|&(size, trace)| {
                    let policies = &policies;
                    scope.spawn(move || TraceRun::measure(size, trace, policies))
                })
                .collect();
            runs.extend(
                threads
                    .into_iter()
                    .map(|thread| thread.join().expect("run ends")),
            );
        }
        runs
    });
    let costs = protocol::measure_all();
    if args.json {
        report::print_json(&runs, &costs);
    } else {
        report::print_tables(&runs, &costs);
    }
    if let Some(path) = &args.plot {
        report::plot(&runs, path);
    }
}
