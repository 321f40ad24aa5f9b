//! Human-readable text for reports.

use comfreyhead::connection::PlanReport;
use comfreyhead::prelude::*;
use comfreyhead::process::distribution::{DataCentreReport, InForceReport};
use comfreyhead::process::operator::{
    OpenOrders, PeerReport, RequestReport, StatusReport, TargetReport, VersionReport,
};
use comfy_table::Table;
use comfy_table::presets::NOTHING;

/// Formats the table of peers.
pub(crate) fn peers(peers: &[PeerReport]) -> String {
    let mut table = table(&["ENTRY VM", "DATA CENTRE", "CONTROL", "VERSION", "STATE"]);
    for peer in peers {
        let state = if peer.reachable {
            "reachable"
        } else {
            "unreachable"
        };
        table.add_row([
            or_dash(peer.name.as_ref()),
            or_dash(peer.data_centre.as_ref()),
            peer.control.to_string(),
            peer.version.to_string(),
            format!("{state}, heard {}", format_age(peer.silent_ms)),
        ]);
    }
    table.to_string()
}

/// Formats the table of targets.
pub(crate) fn targets(targets: &[TargetReport]) -> String {
    let columns = [
        "TARGET",
        "DATA CENTRE",
        "SERVES",
        "STATE",
        "LOAD",
        "VERSION",
        "HEARD",
    ];
    let mut table = table(&columns);
    for target in targets {
        let slow = if target.slow { ", slow" } else { "" };
        table.add_row([
            target.target.to_string(),
            target.data_centre.to_string(),
            target.serves.clone(),
            format!("{}{slow}", target.state),
            target.load.to_string(),
            target.version.to_string(),
            format_age(target.silent_ms),
        ]);
    }
    table.to_string()
}

/// Formats the status of an entry VM with its data centres, peers and targets.
pub(crate) fn status(report: &StatusReport) -> String {
    let log = match (report.reads_log, report.log_reachable) {
        (true, _) => "reads the log service",
        (false, true) => "does not read the log service",
        (false, false) => "log service unreachable or not read here",
    };
    format!(
        "entry VM {} in {}: version {} ({})\nserves: {}; {log}; {} requests in flight\n\n\
         {}\n\n{}\n\n{}",
        report.name,
        report.data_centre,
        report.version,
        report.digest,
        report.basis.as_deref().unwrap_or("not yet"),
        report.in_flight,
        data_centres(&report.data_centres),
        peers(&report.peers),
        targets(&report.targets)
    )
}

/// Formats the table of versions.
pub(crate) fn history(versions: &[VersionReport]) -> String {
    let mut table = table(&["VERSION", "BATCH", "AUTHOR", "RECALLED BY", "CHANGED"]);
    for version in versions {
        let paths: Vec<String> = version
            .summary
            .paths
            .iter()
            .map(ToString::to_string)
            .collect();
        table.add_row([
            version.summary.number.to_string(),
            or_dash(version.summary.batch.as_ref()),
            or_dash(version.summary.author.as_ref()),
            or_dash(version.recalled_by.as_ref()),
            paths.join(", "),
        ]);
    }
    table.to_string()
}

/// Formats the lines on where a version is in force.
pub(crate) fn in_force(version: VersionNumber, report: &InForceReport) -> String {
    let mut lines = vec![format!(
        "version {version}: in force at {} processes, lagging {}, unreachable {}, not asked yet {}",
        report.in_force.len(),
        report.lagging.len(),
        report.unreachable.len(),
        report.pending.len()
    )];
    lines.extend(
        report
            .lagging
            .iter()
            .map(|peer| format!("  lagging: {peer}")),
    );
    lines.extend(report.unreachable.iter().map(|peer| {
        let number = or_dash(peer.number.as_ref());
        format!("  unreachable: {}, last told version {number}", peer.name)
    }));
    lines.extend(
        report
            .pending
            .iter()
            .map(|peer| format!("  not asked yet: {peer}")),
    );
    lines.join("\n")
}

/// Formats the table of data centres.
pub(crate) fn data_centres(reports: &[DataCentreReport]) -> String {
    let mut table = table(&[
        "DATA CENTRE",
        "PROCESSES",
        "UNREACHABLE",
        "VERSION",
        "STATE",
    ]);
    for report in reports {
        table.add_row([
            report.name.to_string(),
            report.members.to_string(),
            report.unreachable.to_string(),
            or_dash(report.highest.as_ref()),
            if report.cut_off {
                "cut off"
            } else {
                "reachable"
            }
            .to_owned(),
        ]);
    }
    table.to_string()
}

/// Formats the lines on the decisions for a request.
pub(crate) fn explanation(report: &RequestReport) -> String {
    let outcome = report
        .outcome
        .map_or("in progress".to_owned(), |outcome| outcome.to_string());
    let mut lines = vec![format!(
        "request {} of {}: {outcome}",
        report.request, report.account
    )];
    let start = report
        .decisions
        .first()
        .map_or(0, |decision| decision.at_ms);
    for decision in &report.decisions {
        lines.push(format!(
            "  +{} ms  {}",
            decision.at_ms - start,
            decision.decision
        ));
    }
    lines.join("\n")
}

/// Formats the lines of a plan.
pub(crate) fn plan(report: &PlanReport) -> String {
    let mut lines = vec![format!(
        "group {}: map {}, skew {:.4} -> {:.4}, {} bytes to load, {}",
        report.group,
        report.map,
        report.skew_before,
        report.skew_after,
        report.bytes,
        report.reason
    )];
    lines.extend(
        report
            .moves
            .iter()
            .map(|expert_move| format!("  {expert_move}")),
    );
    lines.join("\n")
}

/// Formats the table of orders without a known outcome.
pub(crate) fn open_orders(orders: &OpenOrders) -> String {
    let mut table = table(&["ACCOUNT", "KEY", "ATTEMPT", "TARGET", "AGENT", "AGE"]);
    for order in &orders.orders {
        table.add_row([
            order.key.account.to_string(),
            order.key.id.to_string(),
            order.attempt.to_string(),
            order.target.to_string(),
            order.agent.to_string(),
            humantime::format_duration(Duration::from_secs(order.age_s)).to_string(),
        ]);
    }
    table.to_string()
}

fn table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(columns);
    table
}

fn format_age(silent_ms: Option<u64>) -> String {
    match silent_ms {
        Some(ms) if ms < 1_000 => "now".to_owned(),
        Some(ms) => {
            let time = Duration::from_secs(ms / 1_000);
            format!("{} ago", humantime::format_duration(time))
        }
        None => "never".to_owned(),
    }
}

fn or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or("-".to_owned(), T::to_string)
}
