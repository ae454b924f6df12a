//! `ivyward-lab`, the command line of the session manager's test laboratory.

use clap::{Parser, Subcommand};
use ivyward_lab::scale::ScaleOptions;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Parser)]
#[command(version, about = "Plays days against the session manager, checks its rules and measures its costs")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play the script of a day and check the rules; exits with 1 if a rule is violated
    Day {
        /// Script of the day
        script: PathBuf,
        /// Seed of all random draws [default: the script's seed]
        #[arg(long)]
        seed: Option<u64>,
        /// Program whose `run FILE` starts a manager [default: this program]
        #[arg(long)]
        manager: Option<PathBuf>,
        /// Let managers choose servers at random, as a baseline for comparison
        #[arg(long, conflicts_with = "manager")]
        random: bool,
        /// Leave out the script's troubles, for comparison
        #[arg(long)]
        quiet: bool,
        /// Run managers without connections between them, for comparison; leaves out PEERS_CUT troubles
        #[arg(long)]
        alone: bool,
        /// Seconds during which viewers arrive [default: the script's length]
        #[arg(long)]
        length: Option<f64>,
        /// Directory for the managers' logs [default: no logs]
        #[arg(long)]
        logs: Option<PathBuf>,
        /// File for the observed history, which `judge` reads
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Play the history of a seed in virtual time and check the rules; exits with 1 if a rule is violated
    History {
        /// Seed of all random draws
        #[arg(long)]
        seed: u64,
        /// Defect to inject at the edge of the real code, to check that a rule rejects it
        #[arg(long)]
        spoilt: Option<String>,
        /// File for the observed history, which `judge` reads
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Check the rules on a history written by `day` or `history`; exits with 1 if a rule is violated, with 2
    /// if the file can't be read
    Judge {
        /// File of the recorded history
        history: PathBuf,
    },
    /// Check a script and print all faults in it
    Check {
        /// Script of a day
        script: PathBuf,
    },
    /// Measure a manager against a minimal HTTP responder, with the settings and fleet of a script
    Measure {
        /// Script with the settings and the fleet
        script: PathBuf,
        /// Number of rounds
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Viewings per round
        #[arg(long, default_value_t = 400)]
        viewings: usize,
        /// Number of connections
        #[arg(long, default_value_t = 8)]
        connections: usize,
    },
    /// Measure the cost of a placement and of a check of the rungs as live viewings and servers grow
    Growth {
        /// Number of live viewings; may be repeated
        #[arg(long, default_values_t = [100, 1000, 10_000])]
        live: Vec<u32>,
        /// Number of servers; may be repeated
        #[arg(long, default_values_t = [200])]
        servers: Vec<u32>,
        /// Another build of this program to measure side by side
        #[arg(long)]
        against: Option<PathBuf>,
    },
    /// Measure the control traffic and work of a manager as the fleet grows; exits with 1 if a budget is
    /// exceeded
    Scale {
        /// Seed of all random draws
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Sizes of fleets of real `ivyward` processes (the program next to this one), at most 200;
        /// without a value none
        #[arg(long, num_args = 0.., default_values_t = [10, 30, 100, 200])]
        managers: Vec<usize>,
        /// Sizes of fleets of hollow managers, which run the same cores without sockets in virtual time;
        /// without a value none
        #[arg(long, num_args = 0.., default_values_t = [100, 300, 580, 1160])]
        hollow: Vec<usize>,
        /// Another build of `ivyward` to measure alternately with this one
        #[arg(long)]
        against: Option<PathBuf>,
        /// Run hollow managers for a shorter time, without the rarer troubles
        #[arg(long)]
        small: bool,
        /// Inject a defect to check that it is found: hollow managers send to all peers what is meant for
        /// neighbours
        #[arg(long)]
        all_by_all: bool,
    },
    /// Measure how costs grow with the numbers of connections, viewings, servers, paid viewings and members
    Slopes {
        /// Measurement to run: connection, viewing, answer, list, claim or cores; may be repeated
        /// [default: all]
        #[arg(long)]
        only: Vec<String>,
        /// Number of runs of each measurement
        #[arg(long, default_value_t = 3)]
        runs: usize,
        /// Maximum number of connections and live viewings; connections are also limited by file
        /// descriptors
        #[arg(long, default_value_t = 20_000)]
        most: usize,
        /// Maximum rate of manifest requests per second
        #[arg(long, default_value_t = 12_000)]
        rate: usize,
        /// Maximum number of listed servers
        #[arg(long, default_value_t = 2000)]
        servers: usize,
        /// Maximum number of paid viewings
        #[arg(long, default_value_t = 2000)]
        paid: usize,
        /// Maximum number of group members, for the measurement of cores
        #[arg(long, default_value_t = 1160)]
        members: usize,
        /// Seconds to wait until requests have settled; answers are measured over three times as long
        #[arg(long, default_value_t = 1.0)]
        settle: f64,
    },
    /// Measure the memory in kilobytes that each of COUNT sessions or records takes
    #[command(hide = true)]
    Weigh {
        /// sessions or records
        what: String,
        /// Number of them
        count: usize,
    },
    /// Evaluate which causes are named for faults planted in synthetic worlds of sessions
    Quality {
        /// Number of worlds of each kind
        #[arg(long, default_value_t = 200)]
        worlds: u64,
        /// Number of sessions in a window
        #[arg(long, default_value_t = 4000)]
        sessions: u32,
        /// Fraction of the affected sessions that a fault makes stall; may be repeated
        #[arg(long, default_values_t = [0.1, 0.2, 0.4])]
        size: Vec<f64>,
        /// Compare worlds from undisturbed reports and from duplicated, late, wrongly dated and excessive
        /// ones
        #[arg(long)]
        disturbed: bool,
    },
    /// Run an HTTP responder that answers every request with the same manifest
    #[command(hide = true)]
    Bare,
    /// Play short, dense trials of viewing managers under faults drawn from seeds; exits with 1 if a rule
    /// is violated
    Soak {
        /// First and last seed
        #[arg(long, num_args = 2, default_values_t = [1, 10])]
        seeds: Vec<u64>,
        /// Number of concurrent trials
        #[arg(long, default_value_t = 3)]
        jobs: usize,
        /// Program whose `node FILE` starts a manager [default: this program]
        #[arg(long)]
        manager: Option<PathBuf>,
        /// Directory in which managers' logs are kept [default: not kept]
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Only print the plan that the first seed draws
        #[arg(long)]
        plan: bool,
    },
    /// Run one viewing manager for `soak`
    #[command(hide = true)]
    Node {
        /// Configuration file
        config: PathBuf,
    },
    /// Run one manager for `day`
    #[command(hide = true)]
    Run {
        /// Settings file
        settings: PathBuf,
        /// Replace the decision module by random choice
        #[arg(long)]
        random: bool,
    },
}

/// Reads and checks a script; all its faults become one error message.
fn read(script: &Path) -> Result<ivyward_settings::Section, String> {
    let text = fs::read_to_string(script).map_err(|e| format!("{}: {e}", script.display()))?;
    ivyward_lab::day::read(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", script.display()));
        lines.collect::<Vec<_>>().join("\n")
    })
}

/// Runs a manager of a day until SIGTERM. SIGHUP reloads its settings.
fn run(settings_path: &Path, random: bool) -> Result<(), String> {
    let text = fs::read_to_string(settings_path).map_err(|e| format!("{}: {e}", settings_path.display()))?;
    let settings = ivyward_daemon::read_settings(&text)
        .map_err(|faults| format!("{}: {faults:?}", settings_path.display()))?;
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    let (_log, dropped) = ivyward_daemon::log::start(filter, false);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hang_up = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let mut user_signal = signal(SignalKind::user_defined1()).map_err(|e| e.to_string())?;
        let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
        let is_clock_shifted = std::rc::Rc::new(std::cell::Cell::new(false));
        let clock_shifted = is_clock_shifted.clone();
        // SIGUSR1 shifts the manager's clock by an hour, and back again.
        let clock = move || {
            ivyward_daemon::unix_date()
                + std::time::Duration::from_secs(if clock_shifted.get() { 3600 } else { 0 })
        };
        let outside = ivyward_daemon::Environment {
            clock: std::rc::Rc::new(clock),
            dropped_log_lines: dropped,
            settings_texts: Some(receiver),
        };
        let path = settings_path.to_path_buf();
        let until_ended = async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = user_signal.recv() => is_clock_shifted.set(!is_clock_shifted.get()),
                    _ = hang_up.recv() => drop(fs::read_to_string(&path).map(|text| sender.send(text))),
                }
            }
        };
        let policy: Box<dyn ivyward_session::Policy> = if random {
            Box::new(ivyward_lab::day::random_policy(&settings))
        } else {
            Box::new(ivyward_daemon::setup::policy(&settings))
        };
        let on_ready = |address| println!("listening {address}");
        println!(
            "{}",
            ivyward_daemon::run_manager_with_policy(&settings, policy, on_ready, until_ended, outside)
                .await?
        );
        Ok(())
    })
}

/// Measures a manager against the minimal responder.
fn measure(script: &Path, rounds: usize, viewings: usize, connections: usize) -> Result<(), String> {
    let script = read(script)?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let measured =
        ivyward_lab::measure::compare_with_bare_responder(&script, &program, rounds, viewings, connections);
    tokio::task::LocalSet::new().block_on(&runtime, measured)
}

/// Checks the rules on a recorded history; false if a rule is violated.
fn check_recorded_history(file: &Path) -> Result<bool, String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let (terms, history) = ivyward_rules::read(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
        lines.collect::<Vec<_>>().join("\n")
    })?;
    let rules = ivyward_rules::check_rules(&terms, &history);
    print!("{}", ivyward_rules::table(&rules));
    Ok(rules.iter().all(|rule| rule.violations.is_empty()))
}

/// Plays a history and checks the rules; false if a rule is violated.
fn history(seed: u64, defect: Option<&str>, record: Option<&Path>) -> Result<bool, String> {
    use ivyward_lab::history::{INJECTED_DEFECTS, play};
    let defect_names = INJECTED_DEFECTS.map(|defect| format!("{defect:?}"));
    let find_defect =
        |name: &str| defect_names.iter().position(|known| known == name).map(|i| INJECTED_DEFECTS[i]);
    let defect = match defect {
        Some(name) => Some(find_defect(name).ok_or_else(|| {
            format!("--spoilt: unknown defect {name}; use one of {}", defect_names.join(", "))
        })?),
        None => None,
    };
    let played = play(seed, defect);
    if let Some(file) = record {
        let text = ivyward_rules::write(&played.terms, &played.history);
        fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    let rules = ivyward_rules::check_rules(&played.terms, &played.history);
    print!("{}", ivyward_rules::table(&rules));
    println!("left {}, assertions that failed in managers {}", played.leftover_count, played.violation_count);
    Ok(rules.iter().all(|rule| rule.violations.is_empty()))
}

/// Runs the measurements of `slopes` and prints their table.
fn slopes(only: &[String], sizes: &ivyward_lab::slopes::ScalingOptions) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    ivyward_lab::slopes::run_measurements(&program, only, sizes, |text| print!("{text}"))
}

/// Measures the memory of sessions or records.
fn weigh(what: &str, count: usize) -> Result<(), String> {
    let weighed = match what {
        "sessions" => ivyward_lab::slopes::MemoryItem::Sessions,
        "records" => ivyward_lab::slopes::MemoryItem::Records,
        _ => return Err(format!("weigh: unknown kind {what}; use sessions or records")),
    };
    println!("{}", ivyward_lab::slopes::memory_per_item_kb(weighed, count));
    Ok(())
}

/// Runs the trials of `soak`, or prints the plan of the first one; false if a rule is violated.
fn soak(
    seeds: &[u64], jobs: usize, (manager, log_dir): (Option<PathBuf>, Option<PathBuf>), plan: bool,
) -> Result<bool, String> {
    let [first, last] = seeds else { return Err("--seeds needs the first and the last seed".into()) };
    if plan {
        println!("{}", ivyward_lab::soak::describe_plan(*first));
        return Ok(true);
    }
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = manager.as_deref().unwrap_or(&own_program);
    let options =
        ivyward_lab::soak::SoakOptions { seeds: *first..=*last, jobs, program, log_dir: log_dir.as_deref() };
    ivyward_lab::soak::run(&options, |line| println!("{line}"))
}

/// Runs a viewing manager for `soak`.
fn node(config: &Path) -> Result<(), String> {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "error".into());
    let _log = ivyward_daemon::log::start(filter, false);
    ivyward_node::run(config)
}

/// Runs the minimal responder.
fn bare() -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(ivyward_lab::measure::serve_fixed_manifest())
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Check { script } => read(&script).map(|_| {
            println!("{}: nothing wrong", script.display());
            true
        }),
        Command::Run { settings, random } => run(&settings, random).map(|()| true),
        Command::Growth { live, servers, against } => {
            ivyward_lab::growth::table(&servers, &live, against.as_deref()).map(|table| {
                print!("{table}");
                true
            })
        }
        Command::Quality { worlds, sessions, size, disturbed } => {
            if disturbed {
                let size = size.last().copied().unwrap_or(0.4);
                print!("{}", ivyward_lab::quality::disturbed_table(worlds, sessions, size));
            } else {
                print!("{}", ivyward_lab::quality::table(worlds, sessions, &size));
            }
            Ok(true)
        }
        Command::Scale { seed, managers, hollow, against, small, all_by_all } => {
            let (managers, hollow) = (&managers[..], &hollow[..]);
            let against = against.as_deref();
            ivyward_lab::scale::run(&ScaleOptions {
                seed,
                process_fleet_sizes: managers,
                simulated_fleet_sizes: hollow,
                other_program: against,
                short_scenarios: small,
                all_by_all,
            })
        }
        Command::Slopes { only, runs, most, rate, servers, paid, members, settle } => {
            let settle = std::time::Duration::from_secs_f64(settle.clamp(0.01, 60.0));
            let sizes = ivyward_lab::slopes::ScalingOptions {
                runs,
                max_viewings: most,
                max_requests_per_s: rate,
                max_servers: servers,
                max_paid_viewings: paid,
                max_members: members,
                settle_for: settle,
            };
            slopes(&only, &sizes).map(|()| true)
        }
        Command::Weigh { what, count } => weigh(&what, count).map(|()| true),
        Command::Bare => bare().map(|()| true),
        Command::Measure { script, rounds, viewings, connections } => {
            measure(&script, rounds, viewings, connections).map(|()| true)
        }
        Command::Judge { history } => check_recorded_history(&history),
        Command::Soak { seeds, jobs, manager, keep, plan } => soak(&seeds, jobs, (manager, keep), plan),
        Command::Node { config } => node(&config).map(|()| true),
        Command::History { seed, spoilt, record } => history(seed, spoilt.as_deref(), record.as_deref()),
        Command::Day { script, seed, manager, random, quiet, alone, length, logs, record } => read(&script)
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
                Ok(verdict.passed())
            }),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
