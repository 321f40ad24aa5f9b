//! Stand-ins for the cases 6 to 10: the platform's store, servers, clients and the platform that
//! starts and kills processes. Only the standard library is used.
//!
//! `standin CASE FOLDER` plays a case and writes `record.txt` in its folder.

mod cases;
mod client;
mod http;
mod node;
mod rank;
mod record;
mod server;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["server", rest @ ..] => server::run(rest),
        ["rank", rest @ ..] => rank::run(rest),
        [case, folder] => cases::play(case, folder),
        _ => {
            eprintln!("usage: standin CASE FOLDER");
            ExitCode::from(2)
        }
    }
}
