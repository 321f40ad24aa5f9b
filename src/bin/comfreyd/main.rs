//! The comfreyhead daemon.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use comfreyhead::error::{Error, Result};
use comfreyhead::process::agent::{AgentListeners, AgentProcess};
use comfreyhead::process::entry::{EntryListeners, EntryProcess};
use comfreyhead::process::logger::root_logger;
use comfreyhead::process::operator::openapi_document;
use comfreyhead::process::settings::{AgentSettings, EntrySettings, RoleSettings, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// Runs one process of comfreyhead, an entry VM or an agent as given by the settings.
#[derive(FromArgs)]
struct DaemonArgs {
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
    /// print the OpenAPI document of the operators' API and exit
    #[argh(switch)]
    openapi: bool,
    /// the settings file
    #[argh(positional)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("comfreyd: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &DaemonArgs) -> Result<()> {
    if args.openapi {
        print!("{}", openapi_document()?);
        return Ok(());
    }
    let path = args.settings.as_deref();
    let path =
        path.ok_or_else(|| Error::Invalid("specify a settings file, or see --help".into()))?;
    let settings = Settings::load(path)?;
    if args.check {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    serve(settings, path)
}

#[tokio::main]
async fn serve(settings: Settings, path: &Path) -> Result<()> {
    abort_on_panic();
    let log = root_logger(settings.log, &settings.process.name);
    slog::info!(log, "settings read"; "file" => %path.display());
    match settings.role.clone() {
        RoleSettings::Entry(entry) => serve_entry(settings, &entry, log).await,
        RoleSettings::Agent(agent) => serve_agent(settings, &agent, log).await,
    }
}

/// Aborts the process on a panic in any task, since a panic means a violated invariant.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::abort();
    }));
}

async fn serve_entry(settings: Settings, entry: &EntrySettings, log: slog::Logger) -> Result<()> {
    let listeners = EntryListeners::bind(&settings, entry).await?;
    let process = EntryProcess::new(settings, log)?;
    let stopping = std::sync::Arc::clone(&process);
    on_stop_signal(move || stopping.leave())?;
    process.run(listeners).await
}

async fn serve_agent(settings: Settings, agent: &AgentSettings, log: slog::Logger) -> Result<()> {
    let listeners = AgentListeners::bind(&settings, agent).await?;
    let process = AgentProcess::new(settings, agent, log)?;
    let stopping = std::sync::Arc::clone(&process);
    on_stop_signal(move || stopping.leave())?;
    process.run(listeners).await
}

/// Calls `leave` on the first SIGTERM or SIGINT.
fn on_stop_signal(leave: impl FnOnce() + Send + 'static) -> Result<()> {
    let signal_error = |err| Error::Io("cannot listen for signals".to_owned(), err);
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        leave();
    });
    Ok(())
}
