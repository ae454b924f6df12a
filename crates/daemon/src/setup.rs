//! Builds the parts of a manager from its settings, and checks what has to fit together in them.

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

/// The faults that the schema of the settings can't express: values that contradict each other.
pub fn consistency_faults(settings: &Section) -> Vec<Fault> {
    let ladder = settings.section("ladder");
    let rungs = ladder.sections("rung");
    let packages = settings.sections("package");
    let servers = settings.sections("server");
    let kinds = settings.sections("kind").len();
    let tokens = settings.section("tokens");
    let mut faults = vec![];
    for (lower_rung, rung) in rungs.iter().zip(rungs.iter().skip(1)) {
        for field in ["rate_kb", "worth"] {
            if rung.number(field) <= lower_rung.number(field) {
                faults.push(rung.fault(field, "must be greater than that of the rung before"));
            }
        }
    }
    for package in &packages {
        if package.count("floor") >= rungs.len() {
            faults.push(
                package.fault("floor", &format!("is above the ladder, which has {} rungs", rungs.len())),
            );
        }
        if package.count("top") < package.count("floor") {
            faults.push(package.fault("top", "is below the floor"));
        }
        if package.number("patience_s") < package.number("join_target_s") {
            faults.push(package.fault("patience_s", "is shorter than the join target"));
        }
    }
    for list in ["package", "title"] {
        faults.extend(duplicate_faults(&settings.sections(list), "name"));
    }
    faults.extend(duplicate_faults(&servers, "address"));
    faults.extend(duplicate_faults(&tokens.sections("key"), "id"));
    for server in &servers {
        if server_id(&server.text("address")).is_none() {
            faults.push(server.fault("address", "is not an IPv4 address with a port"));
        }
        if server.count("kind") >= kinds {
            faults.push(server.fault("kind", &format!("must be below the number of kinds, {kinds}")));
        }
    }
    let places = settings.section("network").count("places");
    for title in settings.sections("title").iter().filter(|title| title.count("first_cell") >= places) {
        faults.push(title.fault("first_cell", &format!("must be below the number of places, {places}")));
    }
    if !settings.has("list_address") && servers.is_empty() {
        faults.push(settings.fault("list_address", "is missing, and no server is given"));
    }
    for (address_section, address_field) in [
        (settings, "list_address"),
        (&settings.section("manager"), "listen"),
        (&settings.section("manager"), "console"),
    ] {
        if address_section.has(address_field)
            && address_section.text(address_field).parse::<SocketAddr>().is_err()
        {
            faults.push(address_section.fault(address_field, "is no address with a port"));
        }
    }
    faults.extend(peers_faults(settings));
    // Guards against closing an idle connection just as its player sends the next request.
    let (manager, manifest) = (settings.section("manager"), settings.section("manifest"));
    if manager.number("head_within_s") < 2.0 * (manifest.number("refresh_s") + manifest.number("segment_s")) {
        faults.push(manager.fault(
            "head_within_s",
            "must be at least twice the sum of the manifest's refresh_s and segment_s",
        ));
    }
    // Guards against tokens that expire before their players can have requested the next ones.
    let (patience, segment) = (patience_bounds(settings), manifest.duration("segment_s"));
    let min_lifetime = RefreshSchedule::margin(segment, patience.1) + segment;
    if tokens.duration("life_s") < min_lifetime {
        let min_lifetime = min_lifetime.as_secs_f64();
        faults.push(tokens.fault(
            "life_s",
            &format!("must be at least {min_lifetime} s: two segments and the longest patience"),
        ));
    }
    if tokens.texts("revoked").iter().any(|text| parse_session_id(text).is_none()) {
        faults.push(tokens.fault("revoked", "is not 32 hexadecimal digits"));
    }
    if let Err(key_faults) = keys(&tokens) {
        faults.extend(key_faults);
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    faults
}

/// The keys that check and sign tokens.
///
/// # Errors
/// The keys that can't be used, or a signing key that is missing or can't sign.
pub fn keys(tokens: &Section) -> Result<Keys, Vec<Fault>> {
    let (mut keys, mut faults) = (Keys::new(&tokens.text("signs")), vec![]);
    for key in tokens.sections("key") {
        let id = key.text("id");
        let private_key = key.has("ed25519_private").then(|| key.text("ed25519_private"));
        let (field, add_result) = match (key.has("secret"), key.has("ed25519_public")) {
            (true, false) => ("secret", keys.add_secret(&id, &key.text("secret"))),
            (false, true) => {
                let public_key = key.text("ed25519_public");
                ("ed25519_public", keys.add_ed25519(&id, &public_key, private_key.as_deref()))
            }
            _ => ("id", Err("needs either secret or ed25519_public".into())),
        };
        faults.extend(add_result.err().map(|message| key.fault(field, &message)));
    }
    if faults.is_empty() && !keys.can_sign() {
        faults.push(tokens.fault("signs", "must name a key that can sign"));
    }
    if faults.is_empty() { Ok(keys) } else { Err(faults) }
}

/// Parses a session id of 32 hexadecimal digits.
pub fn parse_session_id(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok().filter(|_| text.len() == 32)
}

/// The shortest and the longest patience of all packages.
pub fn patience_bounds(settings: &Section) -> (Duration, Duration) {
    let patiences = || settings.sections("package").into_iter().map(|package| package.duration("patience_s"));
    (patiences().min().unwrap_or_default(), patiences().max().unwrap_or_default())
}

/// The id of the server at an address: the address's bytes. `None` if it is not an IPv4 address with a
/// port.
pub fn server_id(address: &str) -> Option<ServerId> {
    let SocketAddr::V4(address) = address.parse().ok()? else { return None };
    let ([a, b, c, d], [port_high, port_low]) = (address.ip().octets(), address.port().to_be_bytes());
    Some(ServerId([a, b, c, d, port_high, port_low]))
}

/// The address of a server.
pub fn server_address(ServerId([a, b, c, d, port_high, port_low]): ServerId) -> SocketAddr {
    SocketAddr::from(([a, b, c, d], u16::from_be_bytes([port_high, port_low])))
}

/// The retry budget for further tune-ins, if there is one: its time span, the number that is always free,
/// and the allowed further tune-ins per viewing.
pub fn retry_budget_parameters(settings: &Section) -> Option<(Duration, f64, f64)> {
    let ration = settings.section("ration");
    settings.has("ration").then(|| (ration.duration("span_s"), ration.number("free"), ration.number("share")))
}

/// The decision policy with the parameters of the settings.
pub fn policy(settings: &Section) -> Manager {
    let (manager, network) = (settings.section("manager"), settings.section("network"));
    let (cold, limits, ladder) =
        (settings.section("cold"), settings.section("limits"), settings.section("ladder"));
    let rungs = ladder.sections("rung");
    let siblings = manager.count("siblings") as u32;
    let rung_values = |field: &str| rungs.iter().map(|rung| rung.number(field)).collect();
    let build_package = |package: &Section| Package {
        value: package.number("value"),
        set_up_target: package.duration("join_target_s"),
        paid_once: package.boolean("once"),
        rate_scale: package.number("scale"),
        floor_rung: package.count("floor"),
        top_rung: package.count("top").min(rungs.len() - 1),
        seats: package.count("seats"),
    };
    let streams: Vec<_> = settings.sections("kind").iter().map(|kind| kind.number("streams")).collect();
    let (warm_up, cold_from, cold_multiple) =
        (cold.duration("warm_up_s"), cold.number("from"), cold.number("multiple"));
    let fall_time = cold.duration("fall_s");
    let zone = ZoneId(manager.count("zone") as u8);
    let prices = Prices { cross_zone: network.number("cross"), handshake: network.number("handshake") };
    Manager::new(
        (manager.integer("seed"), siblings, zone, prices),
        Ladder {
            rates_kb: rung_values("rate_kb"),
            worths: rung_values("worth"),
            switch_cost_s: ladder.number("switch_s"),
        },
        Network {
            cell_count: network.count("places") as u32,
            rack_count: network.count("racks") as u32,
            total_link_kb: network.number("links_kb"),
            kb_per_weight: network.number("weight_kb"),
            uplink_kb: network.number("uplink_kb"),
            configured_report_interval: network.duration("told_s"),
            report_delay: network.duration("seen_s"),
        },
        SlowStart::new(siblings, &streams, warm_up, cold_from, cold_multiple, fall_time),
        Limits {
            max_tune_ins: limits.count("tune_ins") as u16,
            may_cancel: limits.boolean("call_off"),
            probe_price: limits.boolean("probe").then(|| limits.number("probe_price")),
            max_come_back_after: limits.has("come_back_s").then(|| limits.duration("come_back_s")),
        },
        retry_budget_parameters(settings)
            .map(|(span, free_retries, retry_share)| RetryBudget::new(span, free_retries, retry_share)),
        settings.sections("package").iter().map(build_package).collect(),
    )
}

/// The guard that checks the policy's decisions against the rules.
pub fn rule_guard(settings: &Section) -> RuleGuard {
    let seats = settings.sections("package").iter().map(|package| package.count("seats")).collect();
    RuleGuard::new(
        settings.section("network").duration("drain_grace_s"),
        retry_budget_parameters(settings),
        seats,
    )
}

/// Faults in the section about the other managers.
fn peers_faults(settings: &Section) -> Vec<Fault> {
    let (manager, mut faults) = (settings.section("manager"), vec![]);
    if !settings.has("peers") {
        return faults;
    }
    let peers = settings.section("peers");
    let members = peers.sections("member");
    let addresses = members.iter().map(|member| (member, "address")).chain([(&peers, "listen")]);
    for (address_section, address_field) in addresses.filter(|(address_section, address_field)| {
        address_section.text(address_field).parse::<SocketAddr>().is_err()
    }) {
        faults.push(address_section.fault(address_field, "is no address with a port"));
    }
    faults.extend(duplicate_faults(&members, "name"));
    faults.extend(duplicate_faults(&members, "address"));
    if !members.iter().any(|member| member.text("name") == manager.text("name")) {
        faults.push(peers.fault("member", &format!("none is {:?}, this manager", manager.text("name"))));
    }
    if peers.count("keepers") > members.len() {
        let message = format!("is over the number of members, {}", members.len());
        faults.push(peers.fault("keepers", &message));
    }
    // Guards against an acceptor that loses its store at each restart: it could not accept claims again
    // while another member is away.
    if manager.text("state_dir").is_empty() {
        faults.push(
            manager.fault("state_dir", "is missing: it holds what this manager stores for other managers"),
        );
    }
    faults
}

/// The group of managers; every member must have the same configuration of it.
pub fn group(settings: &Section) -> Group {
    let peers = settings.section("peers");
    let name_and_zone = |member: &Section| (member.text("name"), member.count("zone") as u8);
    Group::new(peers.sections("member").iter().map(name_and_zone).collect(), peers.count("keepers"))
}

/// The configuration of the connection to the other managers of the group; `None` without a group.
pub fn peers_config(settings: &Section) -> Option<ivyward_peers::Config> {
    if !settings.has("peers") {
        return None;
    }
    let (peers, manager, limits) =
        (settings.section("peers"), settings.section("manager"), settings.section("limits"));
    let name_and_address =
        |member: &Section| Some((member.text("name"), member.text("address").parse().ok()?));
    let longest_title = settings.sections("title").iter().map(|title| title.duration("length_s")).max();
    Some(ivyward_peers::Config {
        group: group(settings),
        name: manager.text("name"),
        listen_address: peers.text("listen").parse().ok()?,
        member_addresses: peers.sections("member").iter().filter_map(name_and_address).collect(),
        majority_timeout: peers.duration("word_s"),
        // A viewing lasts at most as long as the longest title. The last token of it lives for `life_s`
        // after that, and the session is remembered for `paid_for_s` after that.
        retention: limits.duration("paid_for_s")
            + longest_title.unwrap_or_default()
            + settings.section("tokens").duration("life_s"),
        connect_timeout: limits.duration("connect_s"),
        state_dir: manager.text("state_dir"),
    })
}

/// For each package, the viewer's patience and whether a viewing is paid at set-up.
pub fn package_terms(settings: &Section) -> Vec<(Duration, bool)> {
    settings
        .sections("package")
        .iter()
        .map(|package| (package.duration("patience_s"), package.boolean("once")))
        .collect()
}

/// The servers that the settings list.
pub fn configured_servers(settings: &Section) -> Vec<ServerEntry> {
    let server_entry = |server: &Section| {
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
    settings.sections("server").iter().filter_map(server_entry).collect()
}

/// A title of the settings.
#[derive(Clone)]
pub struct Title {
    /// Its position in the settings.
    pub id: TitleId,
    /// Its name in the settings and in requests.
    pub name: String,
    /// The cells whose servers hold the title.
    pub cells: Cells,
    /// How long it plays.
    pub length: Duration,
}

/// The titles of the settings, numbered in their order.
pub fn titles(settings: &Section) -> Vec<Title> {
    let title = |(index, title): (usize, &Section)| Title {
        id: TitleId(index as u64),
        name: title.text("name"),
        cells: Cells { first: title.count("first_cell") as u32, spread: title.count("spread") as u32 },
        length: title.duration("length_s"),
    };
    settings.sections("title").iter().enumerate().map(title).collect()
}

/// The id and name of each package, and the rates of the ladder's rungs at its scale, in kB per second.
pub fn package_rates(settings: &Section) -> Vec<(PackageId, String, Vec<f64>)> {
    let rungs = settings.section("ladder").sections("rung");
    let scaled_rates = |scale: f64| rungs.iter().map(|rung| rung.number("rate_kb") * scale).collect();
    let packages = settings.sections("package");
    let rates_of_package = |(index, package): (usize, &Section)| {
        (PackageId(index), package.text("name"), scaled_rates(package.number("scale")))
    };
    packages.iter().enumerate().map(rates_of_package).collect()
}
