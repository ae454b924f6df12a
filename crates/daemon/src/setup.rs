//! From settings to the calls that set the parts up, and what has to fit together in them.

use ivyward::interface::{Cells, KindId, PackageId, ServerEntry, ServerId, ServerState, TitleId, ZoneId};
use ivyward::policy::Manager;
use ivyward::state::{Ladder, Limits, Network, Package, Prices, RetryBudget, SlowStart};
use ivyward_dash::token::Keys;
use ivyward_edge::RefreshSchedule;
use ivyward_replica::Group;
use ivyward_session::RuleGuard;
use ivyward_settings::{Fault, Section, duplicate_faults};
use std::net::SocketAddr;
use std::time::Duration;

/// What the schema can't say: what has to fit together.
pub fn faults(settings: &Section) -> Vec<Fault> {
    let ladder = settings.section("ladder");
    let rungs = ladder.sections("rung");
    let packages = settings.sections("package");
    let servers = settings.sections("server");
    let kinds = settings.sections("kind").len();
    let tokens = settings.section("tokens");
    let mut faults = vec![];
    for (before, rung) in rungs.iter().zip(rungs.iter().skip(1)) {
        for field in ["rate_kb", "worth"] {
            if rung.number(field) <= before.number(field) {
                faults.push(rung.fault(field, "must be over that of the rung before"));
            }
        }
    }
    for package in &packages {
        if package.count("floor") >= rungs.len() {
            faults.push(
                package.fault("floor", &format!("lies over the ladder, which has {} rungs", rungs.len())),
            );
        }
        if package.count("top") < package.count("floor") {
            faults.push(package.fault("top", "lies under the floor"));
        }
        if package.number("patience_s") < package.number("join_target_s") {
            faults.push(package.fault("patience_s", "is shorter than the join target"));
        }
    }
    for name in ["package", "title"] {
        faults.extend(duplicate_faults(&settings.sections(name), "name"));
    }
    faults.extend(duplicate_faults(&servers, "address"));
    faults.extend(duplicate_faults(&tokens.sections("key"), "id"));
    for server in &servers {
        if server_id(&server.text("address")).is_none() {
            faults.push(server.fault("address", "is no IPv4 address with a port"));
        }
        if server.count("kind") >= kinds {
            faults.push(server.fault("kind", &format!("is none of the {kinds} kinds")));
        }
    }
    let places = settings.section("network").count("places");
    for title in settings.sections("title").iter().filter(|title| title.count("first_cell") >= places) {
        faults.push(title.fault("first_cell", &format!("is none of the {places} places")));
    }
    if !settings.has("list_address") && servers.is_empty() {
        faults.push(settings.fault("list_address", "is missing, and no server is given"));
    }
    for (part, name) in [
        (settings, "list_address"),
        (&settings.section("manager"), "listen"),
        (&settings.section("manager"), "console"),
    ] {
        if part.has(name) && part.text(name).parse::<SocketAddr>().is_err() {
            faults.push(part.fault(name, "is no address with a port"));
        }
    }
    faults.extend(peers_faults(settings));
    // Guards against idle connections closed in the moment in which their players ask again.
    let (manager, manifest) = (settings.section("manager"), settings.section("manifest"));
    if manager.number("head_within_s") < 2.0 * (manifest.number("refresh_s") + manifest.number("segment_s")) {
        faults.push(manager.fault("head_within_s", "is under twice the manifest's refresh_s and segment_s"));
    }
    // Guards against tokens that end before their players can have asked for the next ones.
    let (patience, segment) = (patience_bounds(settings), manifest.duration("segment_s"));
    let least = RefreshSchedule::margin(segment, patience.1) + segment;
    if tokens.duration("life_s") < least {
        let least = least.as_secs_f64();
        faults.push(
            tokens.fault("life_s", &format!("is under {least} s: two segments and the longest patience")),
        );
    }
    if tokens.texts("revoked").iter().any(|text| session(text).is_none()) {
        faults.push(tokens.fault("revoked", "is not 32 hexadecimal digits"));
    }
    if let Err(wrong) = keys(&tokens) {
        faults.extend(wrong);
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    faults
}

/// # Errors
/// Keys that can't be used, and a signing key that is not there or can't sign.
pub fn keys(tokens: &Section) -> Result<Keys, Vec<Fault>> {
    let (mut keys, mut faults) = (Keys::new(&tokens.text("signs")), vec![]);
    for key in tokens.sections("key") {
        let id = key.text("id");
        let private = key.has("ed25519_private").then(|| key.text("ed25519_private"));
        let (field, added) = match (key.has("secret"), key.has("ed25519_public")) {
            (true, false) => ("secret", keys.add_secret(&id, &key.text("secret"))),
            (false, true) => {
                let public = key.text("ed25519_public");
                ("ed25519_public", keys.add_ed25519(&id, &public, private.as_deref()))
            }
            _ => ("id", Err("needs one of secret and ed25519_public".into())),
        };
        faults.extend(added.err().map(|what| key.fault(field, &what)));
    }
    if faults.is_empty() && !keys.can_sign() {
        faults.push(tokens.fault("signs", "names no key that can sign"));
    }
    if faults.is_empty() { Ok(keys) } else { Err(faults) }
}

/// A session as its 32 hexadecimal digits.
pub fn session(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok().filter(|_| text.len() == 32)
}

/// The shortest and the longest patience of any package.
pub fn patience_bounds(settings: &Section) -> (Duration, Duration) {
    let all = || settings.sections("package").into_iter().map(|package| package.duration("patience_s"));
    (all().min().unwrap_or_default(), all().max().unwrap_or_default())
}

/// A server's id is its address.
pub fn server_id(address: &str) -> Option<ServerId> {
    let SocketAddr::V4(address) = address.parse().ok()? else { return None };
    let ([a, b, c, d], [p, q]) = (address.ip().octets(), address.port().to_be_bytes());
    Some(ServerId([a, b, c, d, p, q]))
}

pub fn server_address(ServerId([a, b, c, d, p, q]): ServerId) -> SocketAddr {
    SocketAddr::from(([a, b, c, d], u16::from_be_bytes([p, q])))
}

/// Span, free and share of further tune-ins, where they are rationed.
pub fn ration(settings: &Section) -> Option<(Duration, f64, f64)> {
    let ration = settings.section("ration");
    settings.has("ration").then(|| (ration.duration("span_s"), ration.number("free"), ration.number("share")))
}

/// The decision module, as the settings have it.
pub fn policy(settings: &Section) -> Manager {
    let (manager, network) = (settings.section("manager"), settings.section("network"));
    let (cold, limits, ladder) =
        (settings.section("cold"), settings.section("limits"), settings.section("ladder"));
    let rungs = ladder.sections("rung");
    let siblings = manager.count("siblings") as u32;
    let of = |field: &str| rungs.iter().map(|rung| rung.number(field)).collect();
    let package = |package: &Section| Package {
        value: package.number("value"),
        target: package.duration("join_target_s"),
        paid_once: package.boolean("once"),
        scale: package.number("scale"),
        floor: package.count("floor"),
        top: package.count("top").min(rungs.len() - 1),
        seats: package.count("seats"),
    };
    let streams: Vec<_> = settings.sections("kind").iter().map(|kind| kind.number("streams")).collect();
    let (warm_up, from, multiple) =
        (cold.duration("warm_up_s"), cold.number("from"), cold.number("multiple"));
    let fall = cold.duration("fall_s");
    let zone = ZoneId(manager.count("zone") as u8);
    let prices = Prices { cross: network.number("cross"), handshake: network.number("handshake") };
    Manager::new(
        (manager.integer("seed"), siblings, zone, prices),
        Ladder { rates: of("rate_kb"), worths: of("worth"), switch: ladder.number("switch_s") },
        Network {
            places: network.count("places") as u32,
            racks: network.count("racks") as u32,
            links_kb: network.number("links_kb"),
            weight_kb: network.number("weight_kb"),
            uplink_kb: network.number("uplink_kb"),
            configured_report_interval: network.duration("told_s"),
            report_delay: network.duration("seen_s"),
        },
        SlowStart::new(siblings, &streams, warm_up, from, multiple, fall),
        Limits {
            tune_ins: limits.count("tune_ins") as u16,
            call_off: limits.boolean("call_off"),
            probe: limits.boolean("probe").then(|| limits.number("probe_price")),
            come_back: limits.has("come_back_s").then(|| limits.duration("come_back_s")),
        },
        ration(settings).map(|(span, free, share)| RetryBudget::new(span, free, share)),
        settings.sections("package").iter().map(package).collect(),
    )
}

pub fn rule_guard(settings: &Section) -> RuleGuard {
    let seats = settings.sections("package").iter().map(|package| package.count("seats")).collect();
    RuleGuard::new(settings.section("network").duration("drain_grace_s"), ration(settings), seats)
}

fn peers_faults(settings: &Section) -> Vec<Fault> {
    let (manager, mut faults) = (settings.section("manager"), vec![]);
    if !settings.has("peers") {
        return faults;
    }
    let peers = settings.section("peers");
    let members = peers.sections("member");
    let addresses = members.iter().map(|member| (member, "address")).chain([(&peers, "listen")]);
    for (part, name) in addresses.filter(|(part, name)| part.text(name).parse::<SocketAddr>().is_err()) {
        faults.push(part.fault(name, "is no address with a port"));
    }
    faults.extend(duplicate_faults(&members, "name"));
    faults.extend(duplicate_faults(&members, "address"));
    if !members.iter().any(|member| member.text("name") == manager.text("name")) {
        faults.push(peers.fault("member", &format!("none is {:?}, this manager", manager.text("name"))));
    }
    if peers.count("keepers") > members.len() {
        let what = format!("is over the number of members, {}", members.len());
        faults.push(peers.fault("keepers", &what));
    }
    // Guards against a keeper that forgets at each restart, and could never keep again while another is
    // away.
    if manager.text("state_dir").is_empty() {
        faults.push(manager.fault("state_dir", "is missing: what is kept for other managers stands there"));
    }
    faults
}

/// The group of managers as each of them knows it.
pub fn group(settings: &Section) -> Group {
    let peers = settings.section("peers");
    let member = |member: &Section| (member.text("name"), member.count("zone") as u8);
    Group::new(peers.sections("member").iter().map(member).collect(), peers.count("keepers"))
}

/// The managers that this one speaks with; none where it speaks with nobody.
pub fn peers_config(settings: &Section) -> Option<ivyward_peers::Config> {
    if !settings.has("peers") {
        return None;
    }
    let (peers, manager, limits) =
        (settings.section("peers"), settings.section("manager"), settings.section("limits"));
    let address = |member: &Section| Some((member.text("name"), member.text("address").parse().ok()?));
    let longest = settings.sections("title").iter().map(|title| title.duration("length_s")).max();
    Some(ivyward_peers::Config {
        group: group(settings),
        name: manager.text("name"),
        listen: peers.text("listen").parse().ok()?,
        others: peers.sections("member").iter().filter_map(address).collect(),
        word: peers.duration("word_s"),
        // A token of it lives as long after the last that its viewing was given, and it is remembered as
        // long after that.
        span: limits.duration("paid_for_s")
            + longest.unwrap_or_default()
            + settings.section("tokens").duration("life_s"),
        connect: limits.duration("connect_s"),
        state_dir: manager.text("state_dir"),
    })
}

/// By package: the viewer's patience, and whether it is paid at set-up.
pub fn terms(settings: &Section) -> Vec<(Duration, bool)> {
    settings.sections("package").iter().map(|p| (p.duration("patience_s"), p.boolean("once"))).collect()
}

/// The servers that the settings name.
pub fn configured_servers(settings: &Section) -> Vec<ServerEntry> {
    let listed = |server: &Section| {
        Some(ServerEntry {
            server: server_id(&server.text("address"))?,
            state: ServerState::Ready,
            started_at: None,
            weight: server.number("weight"),
            zone: ZoneId(server.count("zone") as u8),
            kind: KindId(server.count("kind")),
            cell: server.count("cell") as u32,
        })
    };
    settings.sections("server").iter().filter_map(listed).collect()
}

/// What a manager needs to know of a title.
#[derive(Clone)]
pub struct Title {
    pub id: TitleId,
    pub name: String,
    pub cells: Cells,
    pub length: Duration,
}

pub fn titles(settings: &Section) -> Vec<Title> {
    let title = |(i, title): (usize, &Section)| Title {
        id: TitleId(i as u64),
        name: title.text("name"),
        cells: Cells { first: title.count("first_cell") as u32, spread: title.count("spread") as u32 },
        length: title.duration("length_s"),
    };
    settings.sections("title").iter().enumerate().map(title).collect()
}

/// By package: its name, and the rates of the ladder's rungs as it plays them, kB a second.
pub fn package_rates(settings: &Section) -> Vec<(PackageId, String, Vec<f64>)> {
    let rungs = settings.section("ladder").sections("rung");
    let rates = |scale: f64| rungs.iter().map(|rung| rung.number("rate_kb") * scale).collect();
    let packages = settings.sections("package");
    let package = |(i, p): (usize, &Section)| (PackageId(i), p.text("name"), rates(p.number("scale")));
    packages.iter().enumerate().map(package).collect()
}
