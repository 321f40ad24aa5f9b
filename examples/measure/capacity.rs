//! The `capacity` measurement: memory, CPU time and network bytes per unit of load.
//!
//! Each probe runs library code at several sizes. Each run has its own process, so that it cannot
//! reuse memory freed by an earlier run. A straight line is fitted to the results; a large residual
//! shows that the cost is not linear.

#[path = "capacity/agent.rs"]
mod agent;
#[path = "capacity/config.rs"]
mod config;
#[path = "capacity/entry.rs"]
mod entry;
#[path = "capacity/fixtures.rs"]
mod fixtures;
#[path = "capacity/group.rs"]
mod group;
#[path = "capacity/line_fit.rs"]
mod line_fit;
#[path = "capacity/probe.rs"]
mod probe;
#[path = "capacity/wire.rs"]
mod wire;

use argh::FromArgs;

use line_fit::LineFit;
use probe::{Probe, ProbeUsage};

/// Runs per size; the run with the least CPU time is reported.
const N_RUNS: usize = 3;

/// capacity: slopes of memory, processor time and bytes on the wire
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub(crate) struct CapacityArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
    /// run only the probes whose name contains this text
    #[argh(option, default = "String::new()")]
    only: String,
    /// run one probe in this process, at the size of --size (used by the measurement itself)
    #[argh(option)]
    probe: Option<String>,
    /// the size for --probe
    #[argh(option, default = "0")]
    size: usize,
}

/// Runs the selected probes and prints one line for each.
pub(crate) fn run(args: &CapacityArgs) {
    let probes = probes();
    if let Some(name) = &args.probe {
        return run_here(&probes, name, args.size);
    }
    if !args.json {
        println!(
            "{:<24} {:>12} {:>9} {:>12} {:>9} {:>12} {:>9}  per",
            "probe", "bytes", "resid", "cpu ns", "resid", "wire bytes", "resid"
        );
    }
    for probe in probes
        .iter()
        .filter(|probe| probe.name.contains(&args.only))
    {
        print_slopes(probe, &run_sizes(probe), args.json);
    }
}

fn probes() -> Vec<Probe> {
    let lists = [
        entry::probes(),
        agent::probes(),
        config::probes(),
        group::probes(),
        wire::probes(),
    ];
    lists.into_iter().flatten().collect()
}

fn run_here(probes: &[Probe], name: &str, size: usize) {
    let probe = probes.iter().find(|probe| probe.name == name);
    let probe = probe.unwrap_or_else(|| panic!("unknown probe {name}"));
    let usage = (probe.run)(size);
    println!("{}", serde_json::to_string(&usage).expect("usage encodes"));
}

/// Runs a probe at each of its sizes, with a separate process for each run.
fn run_sizes(probe: &Probe) -> Vec<(usize, ProbeUsage)> {
    let at_size = |&size: &usize| {
        let runs = (0..N_RUNS).map(|_| run_child(probe.name, size));
        let best = runs.min_by_key(|usage| usage.cpu_ns);
        (size, best.expect("at least one run"))
    };
    probe.sizes.iter().map(at_size).collect()
}

fn run_child(name: &str, size: usize) -> ProbeUsage {
    let program = std::env::current_exe().expect("path of the current executable");
    let output = std::process::Command::new(program)
        .args(["capacity", "--probe", name, "--size", &size.to_string()])
        .output()
        .expect("run the probe process");
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().last().unwrap_or_default();
    serde_json::from_str(line).unwrap_or_else(|err| {
        let stderr = String::from_utf8_lossy(&output.stderr);
        panic!("probe {name} at size {size}: {err}; stdout: {text}; stderr: {stderr}")
    })
}

fn print_slopes(probe: &Probe, runs: &[(usize, ProbeUsage)], is_json: bool) {
    let fit = |value: fn(&ProbeUsage) -> u64| {
        let points = runs
            .iter()
            .map(|(size, usage)| (*size as f64, value(usage) as f64));
        LineFit::of(&points.collect::<Vec<_>>())
    };
    let bytes = fit(|usage| usage.bytes);
    let cpu = fit(|usage| usage.cpu_ns);
    let wire = fit(|usage| usage.wire_bytes);
    if is_json {
        let line = serde_json::json!({
            "probe": probe.name, "per": probe.per, "sizes": probe.sizes,
            "bytes": bytes, "cpu_ns": cpu, "wire_bytes": wire,
            "runs": runs.iter().map(|(_, usage)| usage).collect::<Vec<_>>(),
        });
        println!("{line}");
        return;
    }
    println!(
        "{:<24} {:>12.1} {:>8.1}% {:>12.1} {:>8.1}% {:>12.1} {:>8.1}%  {}",
        probe.name,
        bytes.slope,
        bytes.residual * 100.0,
        cpu.slope,
        cpu.residual * 100.0,
        wire.slope,
        wire.residual * 100.0,
        probe.per,
    );
}
