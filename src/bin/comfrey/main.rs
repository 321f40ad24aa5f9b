//! The operators' command-line tool.

mod args;
mod client;
mod commands;
mod tables;

use std::process::ExitCode;

use args::ToolArgs;

/// The exit code of a command that failed.
const FAILED: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let args: ToolArgs = argh::from_env();
    match commands::run(&args).await {
        Ok(code) => code,
        Err(err) => {
            eprintln!("comfrey: {err}");
            ExitCode::from(FAILED)
        }
    }
}
