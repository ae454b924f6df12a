//! From settings to the calls that set the parts up, and what has to fit together in them.

use ivyward::interface::{Cells, KindId, PackageId, ServerEntry, ServerId, ServerState, TitleId, ZoneId};
use ivyward::policy::Manager;
use ivyward::state::{Ladder, Limits, Network, Package, Prices, RetryBudget, SlowStart};
use ivyward_dash::token::Keys;
use ivyward_edge::RefreshSchedule;
use ivyward_replica::Group;
use ivyward_session::RuleGuard;
use ivyward_settings::{Fault, Part, twice};
use std::net::SocketAddr;
use std::time::Duration;

/// What the schema can't say: what has to fit together.
pub fn faults(settings: &Part) -> Vec<Fault> {
    let ladder = settings.one("ladder");
    let rungs = ladder.list("rung");
    let packages = settings.list("package");
    let servers = settings.list("server");
    let kinds = settings.list("kind").len();
    let tokens = settings.one("tokens");
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
        faults.extend(twice(&settings.list(name), "name"));
    }
    faults.extend(twice(&servers, "address"));
    faults.extend(twice(&tokens.list("key"), "id"));
    for server in &servers {
        if server_id(&server.text("address")).is_none() {
            faults.push(server.fault("address", "is no IPv4 address with a port"));
        }
        if server.count("kind") >= kinds {
            faults.push(server.fault("kind", &format!("is none of the {kinds} kinds")));
        }
    }
    let places = settings.one("network").count("places");
    for title in settings.list("title").iter().filter(|title| title.count("first_cell") >= places) {
        faults.push(title.fault("first_cell", &format!("is none of the {places} places")));
    }
    if !settings.has("list_address") && servers.is_empty() {
        faults.push(settings.fault("list_address", "is missing, and no server is given"));
    }
    for (part, name) in [
        (settings, "list_address"),
        (&settings.one("manager"), "listen"),
        (&settings.one("manager"), "console"),
    ] {
        if part.has(name) && part.text(name).parse::<SocketAddr>().is_err() {
            faults.push(part.fault(name, "is no address with a port"));
        }
    }
    faults.extend(peers_faults(settings));
    // Guards against idle connections closed in the moment in which their players ask again.
    let (manager, manifest) = (settings.one("manager"), settings.one("manifest"));
    if manager.number("head_within_s") < 2.0 * (manifest.number("refresh_s") + manifest.number("segment_s")) {
        faults.push(manager.fault("head_within_s", "is under twice the manifest's refresh_s and segment_s"));
    }
    // Guards against tokens that end before their players can have asked for the next ones.
    let (patience, segment) = (patiences(settings), manifest.span("segment_s"));
    let least = RefreshSchedule::margin(segment, patience.1) + segment;
    if tokens.span("life_s") < least {
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
pub fn keys(tokens: &Part) -> Result<Keys, Vec<Fault>> {
    let (mut keys, mut faults) = (Keys::new(&tokens.text("signs")), vec![]);
    for key in tokens.list("key") {
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
pub fn patiences(settings: &Part) -> (Duration, Duration) {
    let all = || settings.list("package").into_iter().map(|package| package.span("patience_s"));
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
pub fn ration(settings: &Part) -> Option<(Duration, f64, f64)> {
    let ration = settings.one("ration");
    settings.has("ration").then(|| (ration.span("span_s"), ration.number("free"), ration.number("share")))
}

/// The decision module, as the settings have it.
pub fn policy(settings: &Part) -> Manager {
    let (manager, network) = (settings.one("manager"), settings.one("network"));
    let (cold, limits, ladder) = (settings.one("cold"), settings.one("limits"), settings.one("ladder"));
    let rungs = ladder.list("rung");
    let siblings = manager.count("siblings") as u32;
    let of = |field: &str| rungs.iter().map(|rung| rung.number(field)).collect();
    let package = |package: &Part| Package {
        value: package.number("value"),
        target: package.span("join_target_s"),
        paid_once: package.truth("once"),
        scale: package.number("scale"),
        floor: package.count("floor"),
        top: package.count("top").min(rungs.len() - 1),
        seats: package.count("seats"),
    };
    let streams: Vec<_> = settings.list("kind").iter().map(|kind| kind.number("streams")).collect();
    let (warm_up, from, multiple) = (cold.span("warm_up_s"), cold.number("from"), cold.number("multiple"));
    let fall = cold.span("fall_s");
    let zone = ZoneId(manager.count("zone") as u8);
    let prices = Prices { cross: network.number("cross"), handshake: network.number("handshake") };
    Manager::new(
        (manager.whole("seed"), siblings, zone, prices),
        Ladder { rates: of("rate_kb"), worths: of("worth"), switch: ladder.number("switch_s") },
        Network {
            places: network.count("places") as u32,
            racks: network.count("racks") as u32,
            links_kb: network.number("links_kb"),
            weight_kb: network.number("weight_kb"),
            uplink_kb: network.number("uplink_kb"),
            configured_report_interval: network.span("told_s"),
            report_delay: network.span("seen_s"),
        },
        SlowStart::new(siblings, &streams, warm_up, from, multiple, fall),
        Limits {
            tune_ins: limits.count("tune_ins") as u16,
            call_off: limits.truth("call_off"),
            probe: limits.truth("probe").then(|| limits.number("probe_price")),
            come_back: limits.has("come_back_s").then(|| limits.span("come_back_s")),
        },
        ration(settings).map(|(span, free, share)| RetryBudget::new(span, free, share)),
        settings.list("package").iter().map(package).collect(),
    )
}

pub fn rule_guard(settings: &Part) -> RuleGuard {
    let seats = settings.list("package").iter().map(|package| package.count("seats")).collect();
    RuleGuard::new(settings.one("network").span("drain_grace_s"), ration(settings), seats)
}

fn peers_faults(settings: &Part) -> Vec<Fault> {
    let (manager, mut faults) = (settings.one("manager"), vec![]);
    if !settings.has("peers") {
        return faults;
    }
    let peers = settings.one("peers");
    let members = peers.list("member");
    let addresses = members.iter().map(|member| (member, "address")).chain([(&peers, "listen")]);
    for (part, name) in addresses.filter(|(part, name)| part.text(name).parse::<SocketAddr>().is_err()) {
        faults.push(part.fault(name, "is no address with a port"));
    }
    faults.extend(twice(&members, "name"));
    faults.extend(twice(&members, "address"));
    if !members.iter().any(|member| member.text("name") == manager.text("name")) {
        faults.push(peers.fault("member", &format!("none is {:?}, this manager", manager.text("name"))));
    }
    if peers.count("keepers") > members.len() {
        let what = format!("is over the number of members, {}", members.len());
        faults.push(peers.fault("keepers", &what));
    }
    // Guards against a keeper that forgets at each restart, and could never keep again while another is away.
    if manager.text("state_dir").is_empty() {
        faults.push(manager.fault("state_dir", "is missing: what is kept for other managers stands there"));
    }
    faults
}

/// The group of managers as each of them knows it.
pub fn group(settings: &Part) -> Group {
    let peers = settings.one("peers");
    let member = |member: &Part| (member.text("name"), member.count("zone") as u8);
    Group::new(peers.list("member").iter().map(member).collect(), peers.count("keepers"))
}

/// The managers that this one speaks with; none where it speaks with nobody.
pub fn peers(settings: &Part) -> Option<ivyward_peers::Config> {
    if !settings.has("peers") {
        return None;
    }
    let (peers, manager, limits) = (settings.one("peers"), settings.one("manager"), settings.one("limits"));
    let address = |member: &Part| Some((member.text("name"), member.text("address").parse().ok()?));
    let longest = settings.list("title").iter().map(|title| title.span("length_s")).max();
    Some(ivyward_peers::Config {
        group: group(settings),
        name: manager.text("name"),
        listen: peers.text("listen").parse().ok()?,
        others: peers.list("member").iter().filter_map(address).collect(),
        word: peers.span("word_s"),
        // A token of it lives as long after the last that its viewing was given, and it is remembered as long after that.
        span: limits.span("paid_for_s") + longest.unwrap_or_default() + settings.one("tokens").span("life_s"),
        connect: limits.span("connect_s"),
        state_dir: manager.text("state_dir"),
    })
}

/// By package: the viewer's patience, and whether it is paid at set-up.
pub fn terms(settings: &Part) -> Vec<(Duration, bool)> {
    settings.list("package").iter().map(|p| (p.span("patience_s"), p.truth("once"))).collect()
}

/// The servers that the settings name.
pub fn servers(settings: &Part) -> Vec<ServerEntry> {
    let listed = |server: &Part| {
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
    settings.list("server").iter().filter_map(listed).collect()
}

/// What a manager needs to know of a title.
#[derive(Clone)]
pub struct Title {
    pub id: TitleId,
    pub name: String,
    pub cells: Cells,
    pub length: Duration,
}

pub fn titles(settings: &Part) -> Vec<Title> {
    let title = |(i, title): (usize, &Part)| Title {
        id: TitleId(i as u64),
        name: title.text("name"),
        cells: Cells { first: title.count("first_cell") as u32, spread: title.count("spread") as u32 },
        length: title.span("length_s"),
    };
    settings.list("title").iter().enumerate().map(title).collect()
}

/// By package: its name, and the rates of the ladder's rungs as it plays them, kB a second.
pub fn rates(settings: &Part) -> Vec<(PackageId, String, Vec<f64>)> {
    let rungs = settings.one("ladder").list("rung");
    let rates = |scale: f64| rungs.iter().map(|rung| rung.number("rate_kb") * scale).collect();
    let packages = settings.list("package");
    let package = |(i, p): (usize, &Part)| (PackageId(i), p.text("name"), rates(p.number("scale")));
    packages.iter().enumerate().map(package).collect()
}
