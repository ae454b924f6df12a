//! `ivyward-lab`: the session front's laboratory.

use clap::{Parser, Subcommand};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Parser)]
#[command(version, about = "Plays days against the session front and judges them")]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play a day's script and judge it; exits with 1 where a rule is broken
    Day {
        script: PathBuf,
        /// The script's own if left out
        #[arg(long)]
        seed: Option<u64>,
        /// A program whose `run FILE` is the manager; this build's if left out
        #[arg(long)]
        manager: Option<PathBuf>,
        /// Where managers' logs go; nowhere if left out
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// Tell all that is wrong with a script
    Check { script: PathBuf },
    /// A manager in a process of its own, for days
    #[command(hide = true)]
    Run { settings: PathBuf },
}

fn read(script: &Path) -> Result<ivyward_settings::Part, String> {
    let text = fs::read_to_string(script).map_err(|e| format!("{}: {e}", script.display()))?;
    ivyward_lab::day::read(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", script.display()));
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn run(file: &Path) -> Result<(), String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let settings = ivyward_daemon::read(&text).map_err(|faults| format!("{}: {faults:?}", file.display()))?;
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let ended = async move {
            term.recv().await;
        };
        ivyward_daemon::manage(&settings, |address| println!("listening {address}"), ended).await
    })
}

fn main() -> ExitCode {
    let done = match Line::parse().what {
        What::Check { script } => read(&script).map(|_| {
            println!("{}: nothing wrong", script.display());
            true
        }),
        What::Run { settings } => run(&settings).map(|()| true),
        What::Day { script, seed, manager, logs } => read(&script).and_then(|script| {
            let verdict = ivyward_lab::day::play(&script, seed, manager.as_deref(), logs.as_deref())?;
            print!("{verdict}");
            Ok(verdict.kept())
        }),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
