//! Plays one case of the review against real entry processes, with stand-ins for the platform's
//! store, the servers and the clients.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod client;
mod entry;
mod foreign_entries;
mod header_limit;
mod net;
mod reader_cut;
mod reader_moved;
mod record;
mod server;
mod start_beside_leaving;
mod store;

use std::path::PathBuf;
use std::process::exit;

use record::Record;

/// What a case needs.
pub struct Setup {
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the case plays its disruption.
    pub has_trouble: bool,
    net: String,
}

impl Setup {
    /// Returns a loopback address that only this run uses.
    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.net)
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = &args[..] else {
        eprintln!("usage: standin CASE RECORD FOLDER");
        exit(2);
    };
    let id = std::process::id();
    let setup = Setup {
        record: Record::create(record),
        folder: folder.into(),
        has_trouble: std::env::var("TROUBLE").is_ok_and(|text| text != "0"),
        net: format!("127.{}.{}", 1 + (id >> 8) % 250, 1 + id % 250),
    };
    setup.record.say(&format!(
        "case {case}, {} the disruption",
        if setup.has_trouble { "with" } else { "without" }
    ));
    let verdict = match case.as_str() {
        "foreign-entries" => foreign_entries::play(&setup),
        "header-limit" => header_limit::play(&setup),
        "reader-moved" => reader_moved::play(&setup),
        "reader-cut" => reader_cut::play(&setup),
        "start-beside-leaving" => start_beside_leaving::play(&setup),
        other => Verdict::CouldNotRun(format!("no case {other}")),
    };
    match verdict {
        Verdict::Held => {
            setup.record.say("the rule held");
        }
        Verdict::Broken => {
            setup.record.say("the rule was broken");
            exit(1);
        }
        Verdict::CouldNotRun(why) => {
            setup.record.say(&format!("the case could not run: {why}"));
            exit(2);
        }
    }
}
