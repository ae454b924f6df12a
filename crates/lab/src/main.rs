//! `ivyward-lab`: the session front's laboratory.

use clap::{Parser, Subcommand};
use ivyward_lab::scale::Ask;
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
        /// Managers choose at random, to be compared with
        #[arg(long, conflicts_with = "manager")]
        random: bool,
        /// Leave the script's troubles out, to be compared with
        #[arg(long)]
        quiet: bool,
        /// Managers share nothing, to be compared with: what cuts them off from each other is left out
        #[arg(long)]
        alone: bool,
        /// Seconds that viewers come for, instead of the script's
        #[arg(long)]
        length: Option<f64>,
        /// Where managers' logs go; nowhere if left out
        #[arg(long)]
        logs: Option<PathBuf>,
        /// Where what was seen is written, to be judged again
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Play the history of a seed in virtual time and judge it; exits with 1 where a rule is broken
    History {
        #[arg(long)]
        seed: u64,
        /// What is spoilt at an edge of the real code, to see it rejected
        #[arg(long)]
        spoilt: Option<String>,
        /// Where what was seen is written
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Judge a history that `day` or `history` wrote; exits with 1 where a rule is broken, with 2 where it can't be judged
    Judge { history: PathBuf },
    /// Tell all that is wrong with a script
    Check { script: PathBuf },
    /// Measure a manager against a bare responder, under a script's settings and fleet
    Measure {
        script: PathBuf,
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Viewings in a round
        #[arg(long, default_value_t = 400)]
        viewings: usize,
        #[arg(long, default_value_t = 8)]
        connections: usize,
    },
    /// Measure what a placement and a look at the rungs cost as live viewings and servers grow
    Growth {
        /// Live viewings; may be given several times
        #[arg(long, default_values_t = [100, 1000, 10_000])]
        live: Vec<u32>,
        /// Servers; may be given several times
        #[arg(long, default_values_t = [200])]
        servers: Vec<u32>,
        /// Another build of this laboratory, measured side by side
        #[arg(long)]
        against: Option<PathBuf>,
    },
    /// Measure what control costs a manager as the fleet grows; exits with 1 where a budget is passed
    Scale {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Sizes of fleets of real processes of the `ivyward` beside this program, 200 at most; without a number none
        #[arg(long, num_args = 0.., default_values_t = [10, 30, 100, 200])]
        managers: Vec<usize>,
        /// Sizes of fleets of hollow managers: the same cores without sockets, in virtual time; without a number none
        #[arg(long, num_args = 0.., default_values_t = [100, 300, 580, 1160])]
        hollow: Vec<usize>,
        /// Another build of `ivyward`, measured in turns with this one
        #[arg(long)]
        against: Option<PathBuf>,
        /// Hollow managers for a shorter while, without the rarer troubles
        #[arg(long)]
        small: bool,
        /// A defect put in on purpose, to see it found: hollow managers tell all what is told to neighbours
        #[arg(long)]
        all_by_all: bool,
    },
    /// Measure what connections, viewings, servers, paid viewings and members cost as there are more of them
    Slopes {
        /// connection, viewing, answer, list, claim or cores; may be given several times, all if left out
        #[arg(long)]
        only: Vec<String>,
        #[arg(long, default_value_t = 3)]
        runs: usize,
        /// Connections and live viewings at most, connections as far as descriptors allow
        #[arg(long, default_value_t = 20_000)]
        most: usize,
        /// Manifests asked for a second at most
        #[arg(long, default_value_t = 12_000)]
        rate: usize,
        /// Servers listed at most
        #[arg(long, default_value_t = 2000)]
        servers: usize,
        /// Paid viewings at most
        #[arg(long, default_value_t = 2000)]
        paid: usize,
        /// Members of the group at most, in the cores
        #[arg(long, default_value_t = 1160)]
        members: usize,
        /// Seconds after which what was asked is settled; answers are asked for over three times that
        #[arg(long, default_value_t = 1.0)]
        settle: f64,
    },
    /// Kilobytes of memory that each of so many sessions kept, or records in common, takes
    #[command(hide = true)]
    Weigh { what: String, count: usize },
    /// What is named for faults planted in worlds of sessions
    Quality {
        /// Worlds of each kind
        #[arg(long, default_value_t = 200)]
        worlds: u64,
        /// Sessions in a window
        #[arg(long, default_value_t = 4000)]
        sessions: u32,
        /// The part of sessions that a fault makes stutter; may be given several times
        #[arg(long, default_values_t = [0.1, 0.2, 0.4])]
        size: Vec<f64>,
        /// The same worlds from reports, as they should be and doubled, late, by wrong clocks and in floods
        #[arg(long)]
        disturbed: bool,
    },
    /// A responder that answers everything with one manifest
    #[command(hide = true)]
    Bare,
    /// Play short, dense trials of viewing managers under faults drawn from seeds; exits with 1 where a rule is broken
    Soak {
        /// The first seed and the last
        #[arg(long, num_args = 2, default_values_t = [1, 10])]
        seeds: Vec<u64>,
        /// Trials at once
        #[arg(long, default_value_t = 3)]
        jobs: usize,
        /// A program whose `node FILE` is the manager; this build's if left out
        #[arg(long)]
        manager: Option<PathBuf>,
        /// Where managers' logs stay; nowhere if left out
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Only print what the first seed draws
        #[arg(long)]
        plan: bool,
    },
    /// A viewing manager in a process of its own, for soaks
    #[command(hide = true)]
    Node { config: PathBuf },
    /// A manager in a process of its own, for days
    #[command(hide = true)]
    Run {
        settings: PathBuf,
        /// Plain random choice in the module's place
        #[arg(long)]
        random: bool,
    },
}

fn read(script: &Path) -> Result<ivyward_settings::Section, String> {
    let text = fs::read_to_string(script).map_err(|e| format!("{}: {e}", script.display()))?;
    ivyward_lab::day::read(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", script.display()));
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn run(file: &Path, random: bool) -> Result<(), String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let settings =
        ivyward_daemon::read_settings(&text).map_err(|faults| format!("{}: {faults:?}", file.display()))?;
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    let (_log, dropped) = ivyward_daemon::log::start(filter, false);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let mut jump = signal(SignalKind::user_defined1()).map_err(|e| e.to_string())?;
        let (tell, texts) = tokio::sync::mpsc::unbounded_channel();
        let ahead = std::rc::Rc::new(std::cell::Cell::new(false));
        let jumped = ahead.clone();
        // The clock of a day's manager jumps an hour when it is told to, and back.
        let clock = move || {
            ivyward_daemon::unix_date() + std::time::Duration::from_secs(if jumped.get() { 3600 } else { 0 })
        };
        let outside = ivyward_daemon::Environment {
            clock: std::rc::Rc::new(clock),
            dropped_log_lines: dropped,
            settings_texts: Some(texts),
        };
        let again = file.to_path_buf();
        let ended = async move {
            loop {
                tokio::select! {
                    _ = term.recv() => return,
                    _ = jump.recv() => ahead.set(!ahead.get()),
                    _ = hup.recv() => drop(fs::read_to_string(&again).map(|text| tell.send(text))),
                }
            }
        };
        let policy: Box<dyn ivyward_session::Policy> = if random {
            Box::new(ivyward_lab::day::random(&settings))
        } else {
            Box::new(ivyward_daemon::setup::policy(&settings))
        };
        let ready = |address| println!("listening {address}");
        println!(
            "{}",
            ivyward_daemon::run_manager_with_policy(&settings, policy, ready, ended, outside).await?
        );
        Ok(())
    })
}

fn measure(script: &Path, rounds: usize, viewings: usize, connections: usize) -> Result<(), String> {
    let script = read(script)?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let measured = ivyward_lab::measure::front(&script, &program, rounds, viewings, connections);
    tokio::task::LocalSet::new().block_on(&runtime, measured)
}

fn judge(file: &Path) -> Result<bool, String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let (terms, history) = ivyward_rules::read(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
        lines.collect::<Vec<_>>().join("\n")
    })?;
    let rules = ivyward_rules::judge(&terms, &history);
    print!("{}", ivyward_rules::table(&rules));
    Ok(rules.iter().all(|rule| rule.violations.is_empty()))
}

fn history(seed: u64, spoilt: Option<&str>, record: Option<&Path>) -> Result<bool, String> {
    use ivyward_lab::history::{SPOILT, play};
    let all = SPOILT.map(|spoilt| format!("{spoilt:?}"));
    let find = |name: &str| all.iter().position(|known| known == name).map(|i| SPOILT[i]);
    let spoilt = match spoilt {
        Some(name) => {
            Some(find(name).ok_or_else(|| format!("--spoilt: {name} is none of {}", all.join(", ")))?)
        }
        None => None,
    };
    let played = play(seed, spoilt);
    if let Some(file) = record {
        let text = ivyward_rules::write(&played.terms, &played.history);
        fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    let rules = ivyward_rules::judge(&played.terms, &played.history);
    print!("{}", ivyward_rules::table(&rules));
    println!("left {}, assertions that failed in managers {}", played.left, played.breaches);
    Ok(rules.iter().all(|rule| rule.violations.is_empty()))
}

fn slopes(only: &[String], sizes: &ivyward_lab::slopes::Sizes) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    ivyward_lab::slopes::table(&program, only, sizes, |text| print!("{text}"))
}

fn weigh(what: &str, count: usize) -> Result<(), String> {
    let weighed = match what {
        "sessions" => ivyward_lab::slopes::Weighed::Sessions,
        "records" => ivyward_lab::slopes::Weighed::Records,
        _ => return Err(format!("{what}: is neither sessions nor records")),
    };
    println!("{}", ivyward_lab::slopes::weigh(weighed, count));
    Ok(())
}

fn soak(
    seeds: &[u64], jobs: usize, (manager, keep): (Option<PathBuf>, Option<PathBuf>), plan: bool,
) -> Result<bool, String> {
    let [first, last] = seeds else { return Err("--seeds takes the first and the last".into()) };
    if plan {
        println!("{}", ivyward_lab::soak::describe_plan(*first));
        return Ok(true);
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = manager.as_deref().unwrap_or(&own);
    let ask =
        ivyward_lab::soak::SoakOptions { seeds: *first..=*last, jobs, program, log_dir: keep.as_deref() };
    ivyward_lab::soak::run(&ask, |line| println!("{line}"))
}

fn node(config: &Path) -> Result<(), String> {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "error".into());
    let _log = ivyward_daemon::log::start(filter, false);
    ivyward_node::run(config)
}

fn bare() -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(ivyward_lab::measure::bare())
}

fn main() -> ExitCode {
    let done = match Line::parse().what {
        What::Check { script } => read(&script).map(|_| {
            println!("{}: nothing wrong", script.display());
            true
        }),
        What::Run { settings, random } => run(&settings, random).map(|()| true),
        What::Growth { live, servers, against } => {
            ivyward_lab::growth::table(&servers, &live, against.as_deref()).map(|table| {
                print!("{table}");
                true
            })
        }
        What::Quality { worlds, sessions, size, disturbed } => {
            if disturbed {
                let size = size.last().copied().unwrap_or(0.4);
                print!("{}", ivyward_lab::quality::disturbed(worlds, sessions, size));
            } else {
                print!("{}", ivyward_lab::quality::table(worlds, sessions, &size));
            }
            Ok(true)
        }
        What::Scale { seed, managers, hollow, against, small, all_by_all } => {
            let (managers, hollow) = (&managers[..], &hollow[..]);
            let against = against.as_deref();
            ivyward_lab::scale::run(&Ask { seed, managers, hollow, against, small, all_by_all })
        }
        What::Slopes { only, runs, most, rate, servers, paid, members, settle } => {
            let settle = std::time::Duration::from_secs_f64(settle.clamp(0.01, 60.0));
            let sizes = ivyward_lab::slopes::Sizes { runs, most, rate, servers, paid, members, settle };
            slopes(&only, &sizes).map(|()| true)
        }
        What::Weigh { what, count } => weigh(&what, count).map(|()| true),
        What::Bare => bare().map(|()| true),
        What::Measure { script, rounds, viewings, connections } => {
            measure(&script, rounds, viewings, connections).map(|()| true)
        }
        What::Judge { history } => judge(&history),
        What::Soak { seeds, jobs, manager, keep, plan } => soak(&seeds, jobs, (manager, keep), plan),
        What::Node { config } => node(&config).map(|()| true),
        What::History { seed, spoilt, record } => history(seed, spoilt.as_deref(), record.as_deref()),
        What::Day { script, seed, manager, random, quiet, alone, length, logs, record } => read(&script)
            .and_then(|mut script| {
                if let Some(length) = length {
                    script.put_number("length_s", length);
                }
                if quiet {
                    script.clear("trouble");
                }
                if alone {
                    script.clear("peers");
                    script.retain("trouble", |trouble| trouble.enum_name("kind") != "PEERS_CUT");
                }
                let program = (manager.as_deref(), random);
                let verdict =
                    ivyward_lab::day::play(&script, seed, program, (logs.as_deref(), record.as_deref()))?;
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
