//! What goes wrong on a day: each trouble of the script at its time, on what the seed draws.

use crate::managers::{Manager, Speaking};
use ivyward_fault_proxy::Fault;
use ivyward_fleet::ServerNo;
use ivyward_settings::Section;
use ivyward_standin::Standins;
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// A trouble as it was played.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    pub kind: String,
    pub from: Duration,
    pub until: Duration,
    /// The servers it took; none where it took racks or managers, or the list.
    pub servers: Vec<ServerNo>,
    pub managers: Vec<usize>,
    pub racks: Vec<usize>,
}

fn part_of<T>(all: Vec<T>, part: f64, chance: &mut Pcg64Mcg) -> Vec<T> {
    let mut all = all;
    all.shuffle(chance);
    let count = (all.len() as f64 * part).round().max(1.0) as usize;
    all.truncate(count);
    all
}

/// Plays all troubles of a day that begins at `begin`; what each takes is drawn here, so that it is known beforehand.
pub fn play(
    troubles: &[Section], seed: u64, standins: &Standins,
    (managers, speaking): (&Rc<Vec<Manager>>, Option<Rc<Speaking>>), tokens: &Section,
    (begun, begin): (Instant, Duration),
) -> Vec<Played> {
    let mut all = vec![];
    for (i, trouble) in troubles.iter().enumerate() {
        let mut chance = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31).wrapping_add(i as u64));
        let kind = trouble.enum_name("kind");
        let (from, len) = (begin + trouble.duration("at_s"), trouble.duration("len_s"));
        let (part, size, extra) = (trouble.number("part"), trouble.number("size"), trouble.duration("extra"));
        let mut servers: Vec<_> = standins.model(|fleet| fleet.server_numbers().collect());
        let (mut taken, mut racks) = (vec![], vec![]);
        match kind.as_str() {
            "LIST_LATE" | "BURST" | "NOTES_LATE" | "KEY_CHANGE" => servers.clear(),
            "UPLINK" => {
                servers.clear();
                racks = part_of((0..standins.model(|fleet| fleet.racks())).collect(), part, &mut chance);
            }
            "MANAGER_KILL" | "MANAGER_CLOCK" | "PEERS_CUT" => {
                servers.clear();
                taken = part_of((0..managers.len()).collect(), part, &mut chance);
            }
            _ => servers = part_of(servers, part, &mut chance),
        }
        let until = from + len;
        all.push(Played {
            kind: kind.clone(),
            from,
            until,
            servers: servers.clone(),
            managers: taken.clone(),
            racks: racks.clone(),
        });
        let (standins, managers) = (standins.clone(), managers.clone());
        if let Some(speaking) = speaking.clone().filter(|_| kind == "PEERS_CUT") {
            let path_fault = if size == 1.0 { Fault::Reset } else { Fault::Stall };
            spawn_local(async move {
                sleep_until(begun + from).await;
                speaking.between(&taken, path_fault);
                sleep(len).await;
                speaking.between(&taken, Fault::Forward);
            });
            continue;
        }
        if kind == "KEY_CHANGE" {
            let tokens = tokens.clone();
            spawn_local(async move {
                sleep_until(begun + from).await;
                key_change(&standins, &managers, &tokens, len / 3).await;
            });
            continue;
        }
        spawn_local(async move {
            sleep_until(begun + from).await;
            run(&kind, &standins, &managers, (servers, taken, racks), (size, extra, len), chance).await;
        });
    }
    all
}

async fn run(
    kind: &str, standins: &Standins, managers: &Rc<Vec<Manager>>,
    (servers, taken, racks): (Vec<ServerNo>, Vec<usize>, Vec<usize>),
    (size, extra, len): (f64, Duration, Duration), mut chance: Pcg64Mcg,
) {
    let each = |with: &dyn Fn(ServerNo)| servers.iter().for_each(|at| with(*at));
    match kind {
        "FREEZE" => {
            each(&|at| standins.freeze(at));
            sleep(len).await;
            each(&|at| standins.thaw(at));
        }
        "CRASH" => {
            each(&|at| standins.crash(at));
            sleep(len).await;
            each(&|at| standins.start(at));
        }
        "VANISH" => {
            each(&|at| standins.vanish(at));
            sleep(len).await;
            each(&|at| standins.crash(at));
            each(&|at| standins.start(at));
        }
        "DEPLOY" => {
            let batch = ((servers.len() as f64 * size.min(1.0)).ceil() as usize).max(1);
            let batches = servers.len().div_ceil(batch) as u32;
            for batch in servers.chunks(batch) {
                batch.iter().for_each(|at| standins.drain(*at));
                let (next, standins, batch) =
                    (Instant::now() + len / batches, standins.clone(), batch.to_vec());
                spawn_local(async move {
                    sleep(extra).await;
                    batch.iter().for_each(|at| standins.crash(*at));
                    sleep(Duration::from_millis(100)).await;
                    batch.iter().for_each(|at| standins.start(*at));
                });
                sleep_until(next).await;
            }
        }
        "ANSWER_LOST" => turned(standins, &servers, "answer_lost", len, |f, on| f.loses_answers = on).await,
        "BREAK" => turned(standins, &servers, "break", len, |f, on| f.breaks_connections = on).await,
        "FAST_ERRORS" => {
            let part = size.min(1.0);
            turned(standins, &servers, "fast_errors", len, |f, on| {
                f.error_fraction = if on { part } else { 0.0 }
            })
            .await;
        }
        "SLOW" => {
            turned(standins, &servers, "slow", len, |f, on| f.set_up_slowdown = if on { size } else { 1.0 })
                .await
        }
        "LINK" => {
            turned(standins, &servers, "link", len, |f, on| f.link_slowdown = if on { size } else { 1.0 })
                .await
        }
        "NEIGHBOUR" => {
            let until = Instant::now() + len;
            while Instant::now() < until {
                let on = Duration::from_secs_f64(0.5 + chance.random::<f64>() * extra.as_secs_f64());
                turned(standins, &servers, "neighbour", on, |f, on| {
                    f.link_slowdown = if on { size } else { 1.0 }
                })
                .await;
                sleep(on.min(until.saturating_duration_since(Instant::now()))).await;
            }
        }
        "UPLINK" => {
            standins.model(|fleet| racks.iter().for_each(|rack| fleet.set_uplink_slowdown(*rack, size)));
            sleep(len).await;
            standins.model(|fleet| racks.iter().for_each(|rack| fleet.set_uplink_slowdown(*rack, 1.0)));
        }
        "LIST_LATE" => {
            standins.set_additional_list_delay(Duration::from_secs_f64(size));
            sleep(len).await;
            standins.set_additional_list_delay(Duration::ZERO);
        }
        "NOTES_LATE" => {
            standins.model(|fleet| fleet.set_additional_note_delay(Duration::from_secs_f64(size)));
            sleep(len).await;
            standins.model(|fleet| fleet.set_additional_note_delay(Duration::ZERO));
        }
        "MANAGER_KILL" => {
            for i in taken {
                let managers = managers.clone();
                spawn_local(async move {
                    if let Err(error) = managers[i].kill(len).await {
                        eprintln!("{}: {error}", managers[i].name);
                    }
                });
            }
        }
        "CLOCK" => {
            each(&|at| standins.set_clock_offset(at, size as i64));
            sleep(len).await;
            each(&|at| standins.set_clock_offset(at, 0));
        }
        "MANAGER_CLOCK" => {
            for i in &taken {
                managers[*i].jump().await;
            }
            sleep(len).await;
            for i in &taken {
                managers[*i].jump().await;
            }
        }
        // A burst is drawn with the viewers.
        _ => {}
    }
}

/// The tokens of a day before, during and after a change of keys: from the first key by way of both to the second.
pub fn tokens_of(tokens: &Section, taken: &[usize], signs: usize) -> Section {
    let ids: Vec<_> = tokens.sections("key").iter().map(|key| key.text("id")).collect();
    let mut tokens = tokens.clone();
    let there = |id: &String| ids.iter().position(|at| at == id).is_some_and(|at| taken.contains(&at));
    tokens.retain("key", |key| there(&key.text("id")));
    tokens.put_text("signs", &ids[signs]);
    tokens
}

async fn key_change(standins: &Standins, managers: &[Manager], tokens: &Section, step: Duration) {
    for (taken, signs) in [(&[0, 1][..], 0), (&[0, 1], 1), (&[1], 1)] {
        let tokens = tokens_of(tokens, taken, signs);
        match ivyward_daemon::setup::keys(&tokens) {
            Ok(keys) => standins.set_token_keys(keys),
            Err(faults) => eprintln!("keys: {faults:?}"),
        }
        for manager in managers {
            if let Err(error) = manager.tokens(tokens.clone()).await {
                eprintln!("{error}");
            }
        }
        sleep(step).await;
    }
}

/// A fault on some servers for a while.
async fn turned(
    standins: &Standins, servers: &[ServerNo], name: &'static str, len: Duration,
    turn: impl Fn(&mut ivyward_fleet::Faults, bool),
) {
    servers.iter().for_each(|at| standins.set_fault(*at, name, true, |faults| turn(faults, true)));
    sleep(len).await;
    servers.iter().for_each(|at| standins.set_fault(*at, name, false, |faults| turn(faults, false)));
}
