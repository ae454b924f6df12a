//! Tests of verdicts beyond the rules, of scripts, of reports, and of the cost of a placement.

use crate::trouble::PlayedTrouble;
use crate::verdict::evaluate_day;
use ivyward_daemon::Ended;
use ivyward_fleet::{ManagerNo, ServerNo, SlowStartModel, TuneInKey};
use ivyward_rules::{Event, History, Package, Record, SetUpEnd, Terms};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_unclean_manager_end_fails_the_day_and_trouble_effects_are_counted() {
    let slow_start = SlowStartModel {
        initial_capacity_fraction: 0.4,
        warm_up: ms(10_000),
        overload_factor: 2.0,
        overload_window: ms(1000),
    };
    let terms = Terms {
        packages: vec![],
        grace: ms(250),
        retry_budget: None,
        slack: ms(100),
        time_tolerance: ms(10),
        slow_start: (slow_start, 100),
    };
    for (violation_count, passes) in [(Some(0), true), (Some(1), false), (None, false)] {
        let end_report = violation_count.map(|breaches| Ended { breaches, ..Default::default() });
        assert_eq!(
            evaluate_day(&terms, &History::default(), &[], &[end_report], &[]).passed(),
            passes,
            "{violation_count:?}"
        );
    }
    let (server, key) =
        (ServerNo(0), |viewing_id| TuneInKey { manager: ManagerNo(0), incarnation: 1, viewing_id, n: 0 });
    let set_up = |viewing_id| Event::SetUp {
        server,
        key: key(viewing_id),
        session: u128::from(viewing_id),
        package: 0,
        title: "t".into(),
        rung: 1,
    };
    let records = [
        (100, set_up(1)),
        (150, Event::SetUpEnded { server, key: key(1), how: SetUpEnd::ServerClosed }),
        (1100, set_up(2)),
    ];
    let records = records.map(|(at, what)| Record { at: ms(at), what }).to_vec();
    let package = |name: &str| Package {
        name: name.into(),
        patience: ms(3000),
        target: ms(1000),
        value: 1.0,
        paid_once: false,
        floor: 0,
        seats: 0,
    };
    let terms = Terms { packages: vec![package("clip")], ..terms };
    let played = |kind: &str, servers: &[usize]| {
        let servers = servers.iter().map(|at| ServerNo(*at)).collect();
        PlayedTrouble {
            kind: kind.into(),
            from: ms(0),
            until: ms(500),
            servers,
            managers: vec![],
            racks: vec![],
        }
    };
    let played_troubles =
        [played("FREEZE", &[0]), played("FREEZE", &[1]), played("BREAK", &[0]), played("CRASH", &[0])];
    let verdict =
        evaluate_day(&terms, &History { records, ..Default::default() }, &[], &[None], &played_troubles);
    let effect_counts: Vec<_> = verdict.troubles.iter().map(|trouble| trouble.1).collect();
    assert_eq!(effect_counts, [1, 0, 1, 0]);
}

#[test]
fn faults_in_scripts_are_reported_with_their_field() {
    let quiet = include_str!("../../../days/quiet.txtpb");
    let scripts =
        [quiet, include_str!("../../../days/bad-day.txtpb"), include_str!("../../../days/burst.txtpb")];
    scripts.iter().for_each(|text| drop(crate::day::read(text).expect("a script")));
    let cases = [
        ("length_s: 30", "length_s: 0", "length_s"),
        ("share: [3, 5, 2]", "share: [3, 5]", "viewers.package_share"),
        ("watch_least_s: 5", "watch_least_s: 50", "viewers.watch_most_s"),
        ("first_cell: 9", "first_cell: 12", "settings.title[3].first_cell"),
        ("rate_kb: 450", "rate_kb: 50", "settings.ladder.rung[1].rate_kb"),
        ("name: \"b\"", "name: \"a\"", "settings.title[1].name"),
        ("floor: 1", "floor: 4", "settings.package[2].floor"),
        ("signs: \"day\"", "signs: \"night\"", "settings.tokens.signs"),
        ("fleet {", "trouble { kind: FREEZE at_s: 31 len_s: 1 } fleet {", "trouble[0].at_s"),
        ("fleet {", "trouble { kind: QUAKE at_s: 3 len_s: 1 } fleet {", "trouble.kind"),
    ];
    for (from, to, field) in cases {
        let text = quiet.replacen(from, to, 1);
        let faults = crate::day::read(&text).err().unwrap_or_default();
        assert!(faults.iter().any(|fault| fault.field == field), "{to}: {faults:#?}");
    }
}

#[test]
fn duplicated_late_and_excessive_reports_change_no_named_cause() {
    use crate::quality::{Kind, reported_window, world};
    for kind in [Kind::Rack, Kind::Tenant, Kind::Exclusive] {
        for seed in 0..2 {
            let [undisturbed, disturbed_window] =
                [false, true].map(|disturbed| reported_window(kind, seed, 3000, 0.5, disturbed));
            let planted = world(kind, seed, 3000, 0.5).1;
            for window in [&undisturbed, &disturbed_window] {
                // Poor networks, whose players stall in every world, may be named too.
                let named: Vec<_> = ivyward_quality::blame(&window.stalls)
                    .into_iter()
                    .map(|blame| (blame.factor, blame.level))
                    .filter(|(factor, _)| *factor != ivyward_quality::Factor::Network)
                    .collect();
                assert_eq!(named, planted, "{kind:?}, seed {seed}");
            }
            let [before, after] = [&undisturbed, &disturbed_window].map(|window| window.stalls.whole());
            assert_eq!(before.count, after.count);
            let relative_change = (after.mean() / before.mean() - 1.0).abs();
            assert!(relative_change < 0.03, "{kind:?}, seed {seed}: {relative_change}");
        }
    }
}

#[test]
fn the_cost_of_a_placement_does_not_grow_with_the_number_of_servers() {
    // Servers, live viewings, and the maximum ratio of visited entries to those at 200 servers and 400
    // viewings.
    let base_cost = crate::growth::measure_cost(200, 400);
    for (servers, viewings, max_ratio) in [(2000, 400, 1.2), (2000, 4000, 1.2)] {
        let cost = crate::growth::measure_cost(servers, viewings);
        let ratio = cost.entries_per_placement / base_cost.entries_per_placement;
        assert!(ratio <= max_ratio, "{servers} servers, {viewings} viewings: {ratio:.2} times the entries");
        assert!(
            cost.held_entries <= 11 * base_cost.held_entries,
            "{} entries held against {}",
            cost.held_entries,
            base_cost.held_entries
        );
    }
}
