//! The `routing` benchmark: waiting times and goodput of routing policies, and
//! the cost of a decision.

mod cost;
mod engine;
mod model;
mod policy;
mod workload;

use argh::FromArgs;
use comfy_table::Table;
use serde::Serialize;

use model::{ModelResult, ModelScenario, ScenarioFault};
use policy::RoutePolicy;

/// measure the choice of targets in a queue model, and the cost of a decision
#[derive(FromArgs)]
#[argh(subcommand, name = "routing")]
pub(crate) struct RoutingArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
    /// measure only fleets of this many targets (19 or 550)
    #[argh(option)]
    targets: Option<usize>,
    /// measure only this load, as a share of capacity
    #[argh(option)]
    load: Option<f64>,
    /// measure only the cost of decisions
    #[argh(switch)]
    cost: bool,
    /// the seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
}

/// One result, printed as a table row or a JSON line.
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
enum RoutingLine {
    Queue(ModelResult),
    Cost(cost::CostResult),
}

/// Runs the selected scenarios and prints one result for each.
pub(crate) fn run(args: &RoutingArgs) {
    let sizes = [19, 550];
    let mut lines: Vec<RoutingLine> = sizes
        .into_iter()
        .filter(|_| !args.cost)
        .filter(|&size| args.targets.is_none_or(|wanted| wanted == size))
        .flat_map(|size| scenarios(size, args.seed))
        .filter(|scenario| args.load.is_none_or(|wanted| wanted == scenario.load))
        .map(|scenario| RoutingLine::Queue(model::run(&scenario)))
        .collect();
    if args.targets.is_none() && args.load.is_none() {
        lines.extend(cost::run().into_iter().map(RoutingLine::Cost));
    }
    if args.json {
        for line in &lines {
            let text = serde_json::to_string(line).expect("plain values serialize");
            println!("{text}");
        }
        return;
    }
    print_tables(&lines);
}

fn scenarios(n_targets: usize, seed: u64) -> Vec<ModelScenario> {
    let mut scenarios = Vec::new();
    for report_lag_s in [0.1, 1.0, 5.0] {
        for load in [0.5, 0.9, 1.2, 2.0] {
            scenarios.push((report_lag_s, load, ScenarioFault::None));
        }
    }
    scenarios.push((1.0, 0.9, ScenarioFault::LostSixth));
    scenarios.push((1.0, 2.0, ScenarioFault::LostSixth));
    scenarios.push((1.0, 2.0, ScenarioFault::Surge));
    scenarios.push((1.0, 0.9, ScenarioFault::Stall));
    scenarios.push((1.0, 0.5, ScenarioFault::SlowTarget));
    scenarios.push((1.0, 0.9, ScenarioFault::SlowTarget));
    scenarios
        .into_iter()
        .flat_map(|(report_lag_s, load, fault)| {
            RoutePolicy::ALL.map(|policy| ModelScenario {
                n_targets,
                load,
                report_lag_s,
                fault,
                policy,
                seed,
            })
        })
        .collect()
}

fn print_tables(lines: &[RoutingLine]) {
    let mut queues = Table::new();
    queues.set_header([
        "targets",
        "load",
        "lag s",
        "fault",
        "policy",
        "wait p50/95/99 ms",
        "first token p50/95/99 ms",
        "hit %",
        "goodput %",
        "in time %",
        "small accounts in time %",
        "refused %",
        "late %",
        "tries",
    ]);
    let mut costs = Table::new();
    costs.set_header(["what", "size", "ns", "bytes"]);
    for line in lines {
        match line {
            RoutingLine::Queue(result) => {
                queues.add_row(result.row());
            }
            RoutingLine::Cost(result) => {
                costs.add_row(result.row());
            }
        }
    }
    println!("{queues}");
    println!("{costs}");
}
