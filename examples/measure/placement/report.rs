//! Prints the results as tables or JSON lines, and draws the plot.

use std::path::Path;

use comfy_table::Table;
use plotters::prelude::*;
use serde_json::json;

use super::protocol::ProtocolCost;
use super::run::{PolicyOutcome, SAMPLE_MINUTES, TraceRun};
use super::trace::TraceKind;

/// Summary statistics of a policy's run over a trace; `plan_ms` is the mean.
struct OutcomeSummary {
    skew_mean: f64,
    skew_p95: f64,
    rank_skew_mean: f64,
    bytes: u64,
    plan_ms: f64,
    plan_ms_max: f64,
}

impl OutcomeSummary {
    fn new(outcome: &PolicyOutcome) -> Self {
        let plan_ms = outcome
            .plan_times
            .iter()
            .map(|time| time.as_secs_f64() * 1_000.0);
        Self {
            skew_mean: mean(&outcome.skews),
            skew_p95: percentile_95(&outcome.skews),
            rank_skew_mean: mean(&outcome.rank_skews),
            bytes: outcome.bytes.last().copied().unwrap_or(0),
            plan_ms: plan_ms.clone().sum::<f64>() / outcome.plan_times.len().max(1) as f64,
            plan_ms_max: plan_ms.fold(0.0, f64::max),
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn percentile_95(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[(sorted.len() * 95).div_ceil(100) - 1]
}

pub(super) fn print_json(runs: &[TraceRun], costs: &[ProtocolCost]) {
    for run in runs {
        for outcome in &run.outcomes {
            let summary = OutcomeSummary::new(outcome);
            let line = json!({
                "trace": run.trace.name(),
                "policy": outcome.policy,
                "ranks": run.size.shape.ranks,
                "experts": run.size.shape.experts,
                "layers": run.size.shape.layers,
                "spare_slots_per_rank": spare_slots(run),
                "skew_mean": summary.skew_mean,
                "skew_p95": summary.skew_p95,
                "rank_skew_mean": summary.rank_skew_mean,
                "skew_lower_bound": run.lower_bound,
                "bytes_moved": summary.bytes,
                "moves": outcome.moves,
                "most_moves_a_round": outcome.most_moves,
                "plan_ms": summary.plan_ms,
                "plan_ms_max": summary.plan_ms_max,
            });
            println!("{line}");
        }
    }
    for cost in costs {
        let line = json!({
            "protocol": "step-window",
            "ranks": cost.ranks,
            "window_steps": cost.window_steps,
            "rank_messages_per_s": cost.rank_messages,
            "rank_bytes_per_s": cost.rank_bytes,
            "rank_core_share": cost.rank_core,
            "leader_messages_per_s": cost.leader_messages,
            "leader_bytes_per_s": cost.leader_bytes,
            "leader_core_share": cost.leader_core,
            "switch_wait_s": cost.switch_wait_s,
        });
        println!("{line}");
    }
}

fn spare_slots(run: &TraceRun) -> usize {
    let shape = run.size.shape;
    (shape.slots_per_layer() - usize::from(shape.experts)) / usize::from(shape.ranks)
}

pub(super) fn print_tables(runs: &[TraceRun], costs: &[ProtocolCost]) {
    for run in runs {
        let shape = run.size.shape;
        println!(
            "{}: {} ranks x {} experts, {} layers, {} spare slot(s) a rank; skew cannot be below {:.4}",
            run.trace.name(),
            shape.ranks,
            shape.experts,
            shape.layers,
            spare_slots(run),
            run.lower_bound
        );
        println!("{}", run_table(run));
    }
    println!("Step windows at 26 steps a second; budget: 1.9% of a core and 11 KB/s");
    println!("{}", cost_table(costs));
}

fn run_table(run: &TraceRun) -> Table {
    let full = run
        .outcomes
        .iter()
        .find(|outcome| outcome.policy == "full-resolve");
    let full_bytes = full
        .and_then(|full| full.bytes.last().copied())
        .unwrap_or(0)
        .max(1);
    let mut table = Table::new();
    table.set_header([
        "policy",
        "skew mean",
        "skew p95",
        "rank skew",
        "GB moved",
        "of full",
        "moves",
        "most",
        "plan ms",
        "max ms",
    ]);
    for outcome in &run.outcomes {
        let summary = OutcomeSummary::new(outcome);
        table.add_row([
            outcome.policy.to_string(),
            format!("{:.4}", summary.skew_mean),
            format!("{:.4}", summary.skew_p95),
            format!("{:.4}", summary.rank_skew_mean),
            format!("{:.1}", summary.bytes as f64 / 1e9),
            format!("1/{:.1}", full_bytes as f64 / summary.bytes.max(1) as f64),
            outcome.moves.to_string(),
            outcome.most_moves.to_string(),
            format!("{:.2}", summary.plan_ms),
            format!("{:.1}", summary.plan_ms_max),
        ]);
    }
    table
}

fn cost_table(costs: &[ProtocolCost]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "ranks",
        "steps",
        "rank msg/s",
        "rank B/s",
        "rank core",
        "leader msg/s",
        "leader B/s",
        "leader core",
        "switch wait s",
    ]);
    for cost in costs {
        table.add_row([
            cost.ranks.to_string(),
            cost.window_steps.to_string(),
            format!("{:.2}", cost.rank_messages),
            format!("{:.0}", cost.rank_bytes),
            format!("{:.5}%", cost.rank_core * 100.0),
            format!("{:.1}", cost.leader_messages),
            format!("{:.0}", cost.leader_bytes),
            format!("{:.4}%", cost.leader_core * 100.0),
            format!("{:.1}", cost.switch_wait_s),
        ]);
    }
    table
}

/// The line colours of the policies, in the order of the policies.
const COLOURS: [RGBColor; 6] = [
    RGBColor(120, 120, 120),
    RGBColor(200, 60, 60),
    RGBColor(220, 150, 40),
    RGBColor(40, 110, 200),
    RGBColor(30, 140, 70),
    RGBColor(140, 60, 160),
];

/// Plots skew and moved bytes over the daily-drift trace of the larger group.
pub(super) fn plot(runs: &[TraceRun], path: &Path) {
    let run = runs
        .iter()
        .rev()
        .find(|run| run.trace == TraceKind::DailyDrift);
    let drawn = run.map(|run| draw(run, path));
    if let Some(Err(err)) = drawn {
        eprintln!("measure: {}: {err}", path.display());
        std::process::exit(1);
    }
}

fn draw(run: &TraceRun, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (960, 720)).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(400);
    let skews = run
        .outcomes
        .iter()
        .map(|outcome| outcome.skews.clone())
        .collect();
    draw_panel(run, &upper, "step-time skew", skews)?;
    let gigabytes = |outcome: &PolicyOutcome| {
        outcome
            .bytes
            .iter()
            .map(|&bytes| (bytes as f64 / 1e9).max(0.1).log10())
            .collect()
    };
    let bytes = run.outcomes.iter().map(gigabytes).collect();
    draw_panel(run, &lower, "moved GB, log10", bytes)?;
    root.present()?;
    Ok(())
}

fn draw_panel(
    run: &TraceRun,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    series: Vec<Vec<f64>>,
) -> Result<(), Box<dyn std::error::Error>> {
    let values = series.iter().flatten().copied();
    let low = values.clone().fold(f64::MAX, f64::min);
    let high = values.fold(f64::MIN, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..24.0, low..high)?;
    chart
        .configure_mesh()
        .x_desc("hours")
        .y_desc(title)
        .draw()?;
    for ((outcome, values), colour) in run.outcomes.iter().zip(series).zip(COLOURS) {
        let points = values
            .into_iter()
            .enumerate()
            .map(|(sample, y)| ((sample * SAMPLE_MINUTES) as f64 / 60.0, y));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(outcome.policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
