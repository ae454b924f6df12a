//! Plays the troubles of a day's script at their times, on targets that the seed draws.

use crate::managers::{Manager, PeerPaths};
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

/// A trouble with the targets and times that were drawn for it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlayedTrouble {
    /// The kind, as the script has it.
    pub kind: String,
    /// When it begins, counted from the start of the program.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
    /// The affected servers; empty if the trouble affects racks, managers or the list.
    pub servers: Vec<ServerNo>,
    /// The affected managers.
    pub managers: Vec<usize>,
    /// The affected racks.
    pub racks: Vec<usize>,
}

/// Draws a fraction of `items`, at least one.
fn draw_fraction<T>(items: Vec<T>, fraction: f64, rng: &mut Pcg64Mcg) -> Vec<T> {
    let mut items = items;
    items.shuffle(rng);
    let count = (items.len() as f64 * fraction).round().max(1.0) as usize;
    items.truncate(count);
    items
}

/// Starts playing all troubles of a day whose viewers start at `day_start`.
///
/// The targets of all troubles are drawn here, so that the caller knows them beforehand.
pub fn play(
    troubles: &[Section], seed: u64, standins: &Standins,
    (managers, peer_paths): (&Rc<Vec<Manager>>, Option<Rc<PeerPaths>>), tokens: &Section,
    (started_at, day_start): (Instant, Duration),
) -> Vec<PlayedTrouble> {
    let mut played_troubles = vec![];
    for (index, trouble) in troubles.iter().enumerate() {
        let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
        let kind = trouble.enum_name("kind");
        let (from, duration) = (day_start + trouble.duration("at_s"), trouble.duration("len_s"));
        let (fraction, size, extra) =
            (trouble.number("part"), trouble.number("size"), trouble.duration("extra"));
        let mut target_servers: Vec<_> = standins.model(|fleet| fleet.server_numbers().collect());
        let (mut target_managers, mut target_racks) = (vec![], vec![]);
        match kind.as_str() {
            "LIST_LATE" | "BURST" | "NOTES_LATE" | "KEY_CHANGE" => target_servers.clear(),
            "UPLINK" => {
                target_servers.clear();
                target_racks =
                    draw_fraction((0..standins.model(|fleet| fleet.racks())).collect(), fraction, &mut rng);
            }
            "MANAGER_KILL" | "MANAGER_CLOCK" | "PEERS_CUT" => {
                target_servers.clear();
                target_managers = draw_fraction((0..managers.len()).collect(), fraction, &mut rng);
            }
            _ => target_servers = draw_fraction(target_servers, fraction, &mut rng),
        }
        let until = from + duration;
        played_troubles.push(PlayedTrouble {
            kind: kind.clone(),
            from,
            until,
            servers: target_servers.clone(),
            managers: target_managers.clone(),
            racks: target_racks.clone(),
        });
        let (standins, managers) = (standins.clone(), managers.clone());
        if let Some(peer_paths) = peer_paths.clone().filter(|_| kind == "PEERS_CUT") {
            let path_fault = if size == 1.0 { Fault::Reset } else { Fault::Stall };
            spawn_local(async move {
                sleep_until(started_at + from).await;
                peer_paths.set_fault_between(&target_managers, path_fault);
                sleep(duration).await;
                peer_paths.set_fault_between(&target_managers, Fault::Forward);
            });
            continue;
        }
        if kind == "KEY_CHANGE" {
            let tokens = tokens.clone();
            spawn_local(async move {
                sleep_until(started_at + from).await;
                change_keys(&standins, &managers, &tokens, duration / 3).await;
            });
            continue;
        }
        spawn_local(async move {
            sleep_until(started_at + from).await;
            run_trouble(
                &kind,
                &standins,
                &managers,
                (target_servers, target_managers, target_racks),
                (size, extra, duration),
                rng,
            )
            .await;
        });
    }
    played_troubles
}

/// Plays one trouble from its beginning to its end.
async fn run_trouble(
    kind: &str, standins: &Standins, managers: &Rc<Vec<Manager>>,
    (target_servers, target_managers, target_racks): (Vec<ServerNo>, Vec<usize>, Vec<usize>),
    (size, extra, duration): (f64, Duration, Duration), mut rng: Pcg64Mcg,
) {
    let for_each_server =
        |action: &dyn Fn(ServerNo)| target_servers.iter().for_each(|server| action(*server));
    match kind {
        "FREEZE" => {
            for_each_server(&|server| standins.freeze(server));
            sleep(duration).await;
            for_each_server(&|server| standins.thaw(server));
        }
        "CRASH" => {
            for_each_server(&|server| standins.crash(server));
            sleep(duration).await;
            for_each_server(&|server| standins.start(server));
        }
        "VANISH" => {
            for_each_server(&|server| standins.vanish(server));
            sleep(duration).await;
            for_each_server(&|server| standins.crash(server));
            for_each_server(&|server| standins.start(server));
        }
        "DEPLOY" => {
            let batch = ((target_servers.len() as f64 * size.min(1.0)).ceil() as usize).max(1);
            let batches = target_servers.len().div_ceil(batch) as u32;
            for batch in target_servers.chunks(batch) {
                batch.iter().for_each(|server| standins.drain(*server));
                let (next_batch_at, standins, batch) =
                    (Instant::now() + duration / batches, standins.clone(), batch.to_vec());
                spawn_local(async move {
                    sleep(extra).await;
                    batch.iter().for_each(|server| standins.crash(*server));
                    sleep(Duration::from_millis(100)).await;
                    batch.iter().for_each(|server| standins.start(*server));
                });
                sleep_until(next_batch_at).await;
            }
        }
        "ANSWER_LOST" => {
            apply_fault_for(standins, &target_servers, "answer_lost", duration, |faults, enabled| {
                faults.loses_answers = enabled
            })
            .await
        }
        "BREAK" => {
            apply_fault_for(standins, &target_servers, "break", duration, |faults, enabled| {
                faults.breaks_connections = enabled
            })
            .await
        }
        "FAST_ERRORS" => {
            let error_fraction = size.min(1.0);
            apply_fault_for(standins, &target_servers, "fast_errors", duration, |faults, enabled| {
                faults.error_fraction = if enabled { error_fraction } else { 0.0 }
            })
            .await;
        }
        "SLOW" => {
            apply_fault_for(standins, &target_servers, "slow", duration, |faults, enabled| {
                faults.set_up_slowdown = if enabled { size } else { 1.0 }
            })
            .await
        }
        "LINK" => {
            apply_fault_for(standins, &target_servers, "link", duration, |faults, enabled| {
                faults.link_slowdown = if enabled { size } else { 1.0 }
            })
            .await
        }
        "NEIGHBOUR" => {
            let ends_at = Instant::now() + duration;
            while Instant::now() < ends_at {
                let noise_duration = Duration::from_secs_f64(0.5 + rng.random::<f64>() * extra.as_secs_f64());
                apply_fault_for(standins, &target_servers, "neighbour", noise_duration, |faults, enabled| {
                    faults.link_slowdown = if enabled { size } else { 1.0 }
                })
                .await;
                sleep(noise_duration.min(ends_at.saturating_duration_since(Instant::now()))).await;
            }
        }
        "UPLINK" => {
            standins
                .model(|fleet| target_racks.iter().for_each(|rack| fleet.set_uplink_slowdown(*rack, size)));
            sleep(duration).await;
            standins
                .model(|fleet| target_racks.iter().for_each(|rack| fleet.set_uplink_slowdown(*rack, 1.0)));
        }
        "LIST_LATE" => {
            standins.set_additional_list_delay(Duration::from_secs_f64(size));
            sleep(duration).await;
            standins.set_additional_list_delay(Duration::ZERO);
        }
        "NOTES_LATE" => {
            standins.model(|fleet| fleet.set_additional_note_delay(Duration::from_secs_f64(size)));
            sleep(duration).await;
            standins.model(|fleet| fleet.set_additional_note_delay(Duration::ZERO));
        }
        "MANAGER_KILL" => {
            for index in target_managers {
                let managers = managers.clone();
                spawn_local(async move {
                    if let Err(error) = managers[index].kill(duration).await {
                        eprintln!("{}: restarting the killed manager: {error}", managers[index].name);
                    }
                });
            }
        }
        "CLOCK" => {
            for_each_server(&|server| standins.set_clock_offset(server, size as i64));
            sleep(duration).await;
            for_each_server(&|server| standins.set_clock_offset(server, 0));
        }
        "MANAGER_CLOCK" => {
            for index in &target_managers {
                managers[*index].shift_clock().await;
            }
            sleep(duration).await;
            for index in &target_managers {
                managers[*index].shift_clock().await;
            }
        }
        // Bursts are drawn together with the viewers.
        _ => {}
    }
}

/// Returns the `tokens` settings with only the keys at `key_indices`, signing by the key at `signing_index`.
///
/// A key change goes from the first key to both keys and then to the second key.
pub fn tokens_with_keys(tokens: &Section, key_indices: &[usize], signing_index: usize) -> Section {
    let ids: Vec<_> = tokens.sections("key").iter().map(|key| key.text("id")).collect();
    let mut tokens = tokens.clone();
    let is_included = |id: &String| {
        ids.iter().position(|known_id| known_id == id).is_some_and(|index| key_indices.contains(&index))
    };
    tokens.retain("key", |key| is_included(&key.text("id")));
    tokens.put_text("signs", &ids[signing_index]);
    tokens
}

/// Changes the signing key of servers and managers in three steps, so that tokens of both keys stay valid.
async fn change_keys(standins: &Standins, managers: &[Manager], tokens: &Section, step_duration: Duration) {
    for (key_indices, signing_index) in [(&[0, 1][..], 0), (&[0, 1], 1), (&[1], 1)] {
        let tokens = tokens_with_keys(tokens, key_indices, signing_index);
        match ivyward_daemon::setup::keys(&tokens) {
            Ok(keys) => standins.set_token_keys(keys),
            Err(faults) => eprintln!("key change: the settings of tokens have faults: {faults:?}"),
        }
        for manager in managers {
            if let Err(error) = manager.set_tokens(tokens.clone()).await {
                eprintln!("key change: {error}");
            }
        }
        sleep(step_duration).await;
    }
}

/// Sets a fault on some servers for a while.
async fn apply_fault_for(
    standins: &Standins, servers: &[ServerNo], name: &'static str, duration: Duration,
    set_fault: impl Fn(&mut ivyward_fleet::Faults, bool),
) {
    servers
        .iter()
        .for_each(|server| standins.set_fault(*server, name, true, |faults| set_fault(faults, true)));
    sleep(duration).await;
    servers
        .iter()
        .for_each(|server| standins.set_fault(*server, name, false, |faults| set_fault(faults, false)));
}
