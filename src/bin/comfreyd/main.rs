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

/// Runs one process of comfreyhead: an entry VM's or an agent's, as the settings say.
#[derive(FromArgs)]
struct DaemonArgs {
    /// only check the settings file
    #[argh(switch)]
    check: bool,
    /// print the OpenAPI document of the operators' API
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
    let path = path.ok_or_else(|| Error::Invalid("name a settings file, or see --help".into()))?;
    let settings = Settings::load(path)?;
    if args.check {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    serve(settings, path)
}

#[tokio::main]
async fn serve(settings: Settings, path: &Path) -> Result<()> {
    stop_on_broken_invariants();
    let log = root_logger(settings.log, &settings.process.name);
    slog::info!(log, "settings read"; "file" => %path.display());
    match settings.role.clone() {
        RoleSettings::Entry(entry) => serve_entry(settings, &entry, log).await,
        RoleSettings::Agent(agent) => serve_agent(settings, &agent, log).await,
    }
}

/// Ends the process at a broken invariant, in whatever task it shows.
fn stop_on_broken_invariants() {
    let show = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        show(panic);
        std::process::abort();
    }));
}

async fn serve_entry(settings: Settings, entry: &EntrySettings, log: slog::Logger) -> Result<()> {
    let listeners = EntryListeners::bind(&settings, entry).await?;
    let process = EntryProcess::new(settings, log)?;
    let leaving = std::sync::Arc::clone(&process);
    on_stop_signal(move || leaving.leave())?;
    process.run(listeners).await
}

async fn serve_agent(settings: Settings, agent: &AgentSettings, log: slog::Logger) -> Result<()> {
    let listeners = AgentListeners::bind(&settings, agent).await?;
    let process = AgentProcess::new(settings, agent, log)?;
    let leaving = std::sync::Arc::clone(&process);
    on_stop_signal(move || leaving.leave())?;
    process.run(listeners).await
}

/// Calls `leave` at the first signal to stop.
fn on_stop_signal(leave: impl FnOnce() + Send + 'static) -> Result<()> {
    let failed = |err| Error::Io("cannot watch for signals".to_owned(), err);
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        leave();
    });
    Ok(())
}
