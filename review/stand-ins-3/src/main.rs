//! Stand-ins of callers, servers and the platform's store for the cases of the third review.
//!
//! `review-stand-ins-3 CASE RECORD` plays a case in the project's root. It ends with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod crash;
mod held_body;
mod http;
mod stage;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: review-stand-ins-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let play = match case.as_str() {
        "crash" => crash::play,
        "held-body" => held_body::play,
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let stage = match stage::Stage::new(&record) {
        Ok(stage) => stage,
        Err(err) => {
            eprintln!("the case cannot run: {err}");
            return ExitCode::from(2);
        }
    };
    stage.watch_time();
    let played = play(&stage);
    stage.close();
    let (text, code) = match played {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(err) => (format!("the case could not run: {err}"), 2),
    };
    stage.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
