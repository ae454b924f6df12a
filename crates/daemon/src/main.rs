//! `ivyward`: the session front.

use clap::{Parser, Subcommand};
use ivyward_daemon::{Outside, embedded, manage, peers, quality, read, setup};
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
    what: Command,
    /// Log as JSON lines
    #[arg(long, global = true)]
    json: bool,
    /// What is logged, as in "info,ivyward_daemon=debug"
    #[arg(long, global = true, default_value = "info", env = "IVYWARD_LOG")]
    log: String,
}

#[derive(Subcommand)]
enum Command {
    /// Run a manager; without a file, one over stand-in servers that it starts itself
    Run {
        settings: Option<PathBuf>,
        /// Listen here instead of where the settings say
        #[arg(long)]
        listen: Option<std::net::SocketAddr>,
    },
    /// Run a viewing manager of a platform, as its configuration says
    Node {
        #[arg(env = "RELAY_CONFIG")]
        config: PathBuf,
    },
    /// Tell all that is wrong with settings
    Check { settings: PathBuf },
    /// Mint a token for trying
    Token {
        title: String,
        #[arg(long, default_value = "clip")]
        package: String,
        /// The highest rung that the viewer can use
        #[arg(long, default_value_t = 255)]
        top: usize,
        /// Seconds until it expires
        #[arg(long, default_value_t = 60)]
        life: u64,
        /// The settings with the keys; the embedded ones if left out
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Tell how players fare, and what is to blame where they stutter
    Quality {
        /// A manager's console, as `manager.console` of its settings says
        console: std::net::SocketAddr,
        /// As it is, for machines
        #[arg(long)]
        raw: bool,
    },
    /// Tell of the managers that one speaks with, and what it keeps for them
    Peers {
        /// A manager's console, as `manager.console` of its settings says
        console: std::net::SocketAddr,
        /// As it is, for machines
        #[arg(long)]
        raw: bool,
    },
    /// Make the memory of a manager that is new in its group and has never kept anything for it
    Begin { settings: PathBuf },
    /// Tell the version
    Version,
}

fn load_settings(file: &Path) -> Result<Section, String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    read(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn run_manager(
    file: Option<&Path>, listen: Option<std::net::SocketAddr>, dropped: Rc<dyn Fn() -> u64>,
) -> Result<(), String> {
    let mut settings = match file {
        Some(file) => load_settings(file)?,
        None => embedded::settings(embedded::fleet()?)?,
    };
    if let Some(listen) = listen {
        let mut manager = settings.section("manager");
        manager.put_text("listen", &listen.to_string());
        settings.put("manager", manager);
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let mut hup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let (tell, texts) = tokio::sync::mpsc::unbounded_channel();
        let (again, watched) = (file.map(Path::to_path_buf), tell.clone());
        let anew = async move {
            while let (Some(()), Some(file)) = (hup.recv().await, &again) {
                match fs::read_to_string(file) {
                    Ok(text) => drop(watched.send(text)),
                    Err(error) => tracing::error!("{}: {error}", file.display()),
                }
            }
            std::future::pending::<()>().await;
        };
        let outside = Outside { texts: Some(texts), dropped, ..Default::default() };
        let ended = async move {
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {}, () = anew => {} }
        };
        let ready = |address| {
            println!("listening {address}");
            if file.is_none() {
                let (title, package) = ("how-to-charge", "clip");
                match embedded::token(&settings, title, package, 255, Duration::from_secs(600)) {
                    Ok(token) => println!("curl -i 'http://{address}/mpd/{title}.mpd?token={token}'"),
                    Err(error) => println!("no token: {error}"),
                }
            }
        };
        println!("{}", manage(&settings, ready, ended, outside).await?);
        Ok(())
    })
}

fn print_page(
    console: std::net::SocketAddr, path: &str, raw: bool, table: impl Fn(&serde_json::Value) -> String,
) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let asked = ivyward_daemon::quality::ask(console, path);
    let page = tokio::task::LocalSet::new().block_on(&runtime, asked)?;
    if raw {
        println!("{page}");
    } else {
        print!("{}", table(&page));
    }
    Ok(())
}

fn begin_memory(file: &Path) -> Result<(), String> {
    let settings = load_settings(file)?;
    if !settings.has("peers") {
        return Err(format!("{}: peers: is missing: this manager keeps nothing for others", file.display()));
    }
    let made = Store::begin(&settings.section("manager").text("state_dir"), &setup::group(&settings))?;
    println!("{}: an empty memory", made.display());
    Ok(())
}

fn main() -> ExitCode {
    let line = Cli::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&line.log) {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("ivyward: --log: {error}");
            return ExitCode::from(2);
        }
    };
    let (_log, dropped) = ivyward_daemon::log::start(filter, line.json);
    let done = match line.what {
        Command::Run { settings, listen } => run_manager(settings.as_deref(), listen, dropped),
        Command::Node { config } => ivyward_node::run(&config),
        Command::Check { settings: file } => {
            load_settings(&file).map(|_| println!("{}: nothing wrong", file.display()))
        }
        Command::Token { title, package, top, life, settings: file } => {
            let given = match file {
                Some(file) => load_settings(&file),
                None => embedded::settings(([127, 0, 0, 1], 0).into()),
            };
            let life = Duration::from_secs(life);
            given
                .and_then(|given| embedded::token(&given, &title, &package, top, life))
                .map(|t| println!("{t}"))
        }
        Command::Quality { console, raw } => print_page(console, "/quality", raw, quality::table),
        Command::Peers { console, raw } => print_page(console, "/peers", raw, peers::table),
        Command::Begin { settings: file } => begin_memory(&file),
        Command::Version => {
            println!("ivyward {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
