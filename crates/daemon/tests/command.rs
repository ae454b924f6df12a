//! The `ivyward` program's command line.

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use std::{env, fs};

const DEFAULT_SETTINGS: &str = include_str!("../src/default.txtpb");

fn run_ivyward(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ivyward")).args(arguments).output().expect("the program runs")
}

#[test]
fn without_settings_the_program_runs_alone_and_the_printed_url_serves_a_manifest() {
    let mut program = Command::new(env!("CARGO_BIN_EXE_ivyward"));
    let program =
        program.args(["run", "--listen", "127.0.0.1:0"]).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut process = program.spawn().expect("the program runs");
    let mut lines = BufReader::new(process.stdout.take().expect("its output")).lines();
    let mut next_line = || lines.next().expect("a line").expect("text");
    assert!(next_line().starts_with("listening 127.0.0.1:"));
    let url_line = next_line();
    let url = url_line.split('\'').nth(1).expect("an address in quotes").to_string();
    let (host, path) = url.strip_prefix("http://").and_then(|rest| rest.split_once('/')).expect("an address");
    // Just after its start, the program may not have its server list yet.
    let started_at = Instant::now();
    let response = loop {
        let mut stream = std::net::TcpStream::connect(host).expect("a connection");
        let head = format!("GET /{path} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n\r\n");
        std::io::Write::write_all(&mut stream, head.as_bytes()).expect("written");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("an answer");
        if response.starts_with("HTTP/1.1 200") || started_at.elapsed() > Duration::from_secs(10) {
            break response;
        }
    };
    assert!(response.contains("application/dash+xml") && response.contains("<MPD "), "{response}");
    let process_id = process.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &process_id]).status().expect("kill runs").success());
    assert!(process.wait().expect("it ends").success());
    assert_eq!(next_line(), "breaches 0");
}

#[test]
fn check_lists_every_error_with_its_place() {
    let file = env::temp_dir().join(format!("ivyward-settings-{}.txtpb", std::process::id()));
    let name = file.to_string_lossy().into_owned();
    let unreadable = DEFAULT_SETTINGS.replace("switch_s", "swich_s").replace("rate_kb: 450", "rate_kb: 50");
    let unreadable = unreadable.replace("places: 12", "places: 0").replace("floor: ", "flor: ");
    let servers = "server { address: \"127.0.0.1:1\" }\nserver { address: \"127.0.0.1:1\" kind: 3 }\n";
    // Unreadable settings hide conflicts between settings; all errors of one kind are listed at once.
    let cases = [
        (unreadable, vec!["ladder.swich_s", "network.places", ": is 0, under 1"]),
        (
            format!("{DEFAULT_SETTINGS}{servers}").replace("rate_kb: 450", "rate_kb: 50"),
            vec!["ladder.rung[1].rate_kb", "server[1].address", "given twice", "server[1].kind"],
        ),
        (
            format!(
                "{DEFAULT_SETTINGS}peers {{ listen: \"here\" member {{ name: \"a\" address: \"127.0.0.1:1\" }}\n \
                 member {{ name: \"a\" address: \"b\" }} }}"
            ),
            vec![
                "peers.listen: is no address with a port",
                "peers.member[1].address: is no address with a port",
                "peers.member[1].name: \"a\" is given twice",
                "peers.member: none is \"manager-1\", this manager",
                "peers.keepers: is over the number of members, 2",
                "manager.state_dir: is missing",
            ],
        ),
        (DEFAULT_SETTINGS.into(), vec!["list_address: is missing, and no server is given"]),
    ];
    for (text, expected_errors) in cases {
        fs::write(&file, &text).expect("written");
        let output = run_ivyward(&["check", &name]);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{errors}");
        assert!(expected_errors.iter().all(|part| errors.contains(part)), "{expected_errors:?}: {errors}");
        assert!(errors.lines().all(|line| line.starts_with(&format!("{name}:"))), "{errors}");
        assert_eq!(run_ivyward(&["run", &name]).status.code(), Some(1));
    }
    fs::write(&file, format!("{DEFAULT_SETTINGS}server {{ address: \"127.0.0.1:1\" }}\n")).expect("written");
    assert_eq!(run_ivyward(&["check", &name]).status.code(), Some(0));
    fs::remove_file(&file).ok();
    assert!(String::from_utf8_lossy(&run_ivyward(&["check", &name]).stderr).contains(&name));
}

#[test]
fn tokens_are_minted_only_for_titles_and_packages_of_the_settings() {
    let cases = [
        (vec!["token", "how-to-charge"], Some(0)),
        (vec!["token", "how-to-charge", "--package", "ticket", "--life", "5"], Some(0)),
        (vec!["token", "nothing"], Some(1)),
        (vec!["token", "how-to-charge", "--package", "nothing"], Some(1)),
        (vec!["token"], Some(2)),
        (vec!["--log", "=,=", "version"], Some(2)),
        (vec!["version"], Some(0)),
    ];
    for (arguments, code) in cases {
        assert_eq!(run_ivyward(&arguments).status.code(), code, "{arguments:?}");
    }
    let token = run_ivyward(&["token", "how-to-charge"]).stdout;
    assert_eq!(token.iter().filter(|b| **b == b'.').count(), 2);
}

#[test]
fn an_incarnation_is_above_the_last_one_even_if_the_clock_went_back() {
    let dir = env::temp_dir().join(format!("ivyward-state-{}", std::process::id()));
    let name = dir.to_string_lossy().into_owned();
    let ms = Duration::from_millis;
    for (date, incarnation) in [(ms(1000), 1000), (ms(500), 1001), (ms(1001), 1002), (ms(5000), 5000)] {
        assert_eq!(ivyward_daemon::incarnation::next(&name, date), Ok(incarnation));
    }
    fs::write(dir.join("birth"), "no number").expect("written");
    assert!(ivyward_daemon::incarnation::next(&name, ms(1)).is_err_and(|e| e.contains("no number")));
    fs::remove_dir_all(&dir).ok();
    assert_eq!(ivyward_daemon::incarnation::next("", ms(7)), Ok(7));
}
