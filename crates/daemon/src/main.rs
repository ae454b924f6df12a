//! The command line of `ivyward`, a session manager for video.

use clap::{Parser, Subcommand};
use ivyward_daemon::{Environment, embedded, peers, quality, read_settings, run_manager, setup};
use ivyward_peers::Store;
use ivyward_settings::Section;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Parser)]
#[command(version, about = "Places and shapes video sessions on streaming servers")]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Write the log as JSON lines
    #[arg(long, global = true)]
    json: bool,
    /// Which messages to log, for example "info,ivyward_daemon=debug"
    #[arg(long, global = true, default_value = "info", env = "IVYWARD_LOG")]
    log: String,
}

#[derive(Subcommand)]
enum Command {
    /// Run a session manager; without a settings file, one with stand-in video servers that it starts
    /// itself
    Run {
        settings: Option<PathBuf>,
        /// Listen on this address instead of the one in the settings
        #[arg(long)]
        listen: Option<std::net::SocketAddr>,
    },
    /// Run a viewing manager of a platform from its configuration file
    Node {
        #[arg(env = "RELAY_CONFIG")]
        config: PathBuf,
    },
    /// Check a settings file and print all its faults
    Check { settings: PathBuf },
    /// Mint a token for tests
    Token {
        title: String,
        #[arg(long, default_value = "clip")]
        package: String,
        /// Number of the highest rung that the viewer can play
        #[arg(long, default_value_t = 255)]
        top: usize,
        /// Seconds until the token expires
        #[arg(long, default_value_t = 60)]
        life: u64,
        /// Settings file with the keys; the embedded settings if omitted
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Show how well sessions play, and which factors explain stalls and slow starts
    Quality {
        /// Address of a manager's console, as `manager.console` in its settings
        console: std::net::SocketAddr,
        /// Print the page as raw JSON
        #[arg(long)]
        raw: bool,
    },
    /// Show which managers of its group a manager is in contact with, and what it stores for them
    Peers {
        /// Address of a manager's console, as `manager.console` in its settings
        console: std::net::SocketAddr,
        /// Print the page as raw JSON
        #[arg(long)]
        raw: bool,
    },
    /// Create the empty store of a manager that is new in its group and has never stored anything for it
    Begin { settings: PathBuf },
    /// Print the version
    Version,
}

/// Reads a settings file; the error lists all faults with the file name.
fn load_settings(file: &Path) -> Result<Section, String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    read_settings(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
        lines.collect::<Vec<_>>().join("\n")
    })
}

/// Runs a manager until a signal ends it. SIGHUP reads the settings file again.
fn run_from_settings(
    file: Option<&Path>, listen: Option<std::net::SocketAddr>, dropped: Rc<dyn Fn() -> u64>,
) -> Result<(), String> {
    let mut settings = match file {
        Some(file) => load_settings(file)?,
        None => embedded::settings(embedded::start_standins()?)?,
    };
    if let Some(listen) = listen {
        let mut manager = settings.section("manager");
        manager.put_text("listen", &listen.to_string());
        settings.put("manager", manager);
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let mut sigterm = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut sigint = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let mut sighup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let (settings_sender, settings_receiver) = tokio::sync::mpsc::unbounded_channel();
        let (settings_file, reload_sender) = (file.map(Path::to_path_buf), settings_sender.clone());
        let reload_on_hangup = async move {
            while let (Some(()), Some(file)) = (sighup.recv().await, &settings_file) {
                match fs::read_to_string(file) {
                    Ok(text) => drop(reload_sender.send(text)),
                    Err(error) => tracing::error!("{}: {error}", file.display()),
                }
            }
            std::future::pending::<()>().await;
        };
        let environment = Environment {
            settings_texts: Some(settings_receiver),
            dropped_log_lines: dropped,
            ..Default::default()
        };
        let end_signal = async move {
            tokio::select! { _ = sigterm.recv() => {}, _ = sigint.recv() => {}, () = reload_on_hangup => {} }
        };
        let ready = |address| {
            println!("listening {address}");
            if file.is_none() {
                let (title, package) = ("how-to-charge", "clip");
                match embedded::token(&settings, title, package, 255, Duration::from_secs(600)) {
                    Ok(token) => println!("curl -i 'http://{address}/mpd/{title}.mpd?token={token}'"),
                    Err(error) => println!("no test token: {error}"),
                }
            }
        };
        println!("{}", run_manager(&settings, ready, end_signal, environment).await?);
        Ok(())
    })
}

/// Prints a page of a manager's console, as a table or as raw JSON.
fn print_page(
    console: std::net::SocketAddr, path: &str, raw: bool, table: impl Fn(&serde_json::Value) -> String,
) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let fetch = ivyward_daemon::quality::fetch_page(console, path);
    let page = tokio::task::LocalSet::new().block_on(&runtime, fetch)?;
    if raw {
        println!("{page}");
    } else {
        print!("{}", table(&page));
    }
    Ok(())
}

/// Creates the empty store of a manager that is new in its group.
fn create_store(file: &Path) -> Result<(), String> {
    let settings = load_settings(file)?;
    if !settings.has("peers") {
        return Err(format!(
            "{}: peers: is missing: a manager without it stores nothing for others",
            file.display()
        ));
    }
    let store_file = Store::create(&settings.section("manager").text("state_dir"), &setup::group(&settings))?;
    println!("{}: created an empty store", store_file.display());
    Ok(())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&cli.log) {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("ivyward: --log: {error}");
            return ExitCode::from(2);
        }
    };
    let (_log, dropped) = ivyward_daemon::log::start(filter, cli.json);
    let result = match cli.command {
        Command::Run { settings, listen } => run_from_settings(settings.as_deref(), listen, dropped),
        Command::Node { config } => ivyward_node::run(&config),
        Command::Check { settings: file } => {
            load_settings(&file).map(|_| println!("{}: no faults found", file.display()))
        }
        Command::Token { title, package, top, life, settings: file } => {
            let token_settings = match file {
                Some(file) => load_settings(&file),
                None => embedded::settings(([127, 0, 0, 1], 0).into()),
            };
            let life = Duration::from_secs(life);
            token_settings
                .and_then(|token_settings| embedded::token(&token_settings, &title, &package, top, life))
                .map(|t| println!("{t}"))
        }
        Command::Quality { console, raw } => print_page(console, "/quality", raw, quality::table),
        Command::Peers { console, raw } => print_page(console, "/peers", raw, peers::table),
        Command::Begin { settings: file } => create_store(&file),
        Command::Version => {
            println!("ivyward {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
