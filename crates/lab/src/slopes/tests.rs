//! Tests of the fits, of the report's lines, and of the message counts of the cores.

use super::cores::{broadcast_cost, catch_up};
use super::{FigureKind, Series, doubling};

fn series(kind: FigureKind, sizes: &[usize], runs: &[&[f64]]) -> Series {
    let mut series = Series::new("memory", "kB", kind, sizes);
    series.runs = runs.iter().map(|run| run.to_vec()).collect();
    series
}

#[test]
fn slopes_and_exponents_are_those_of_known_curves() {
    let sizes = [0, 1, 2, 4, 8];
    let curve = |base: f64, each: f64, power: i32| {
        sizes.map(|size| base + each * f64::from(size as u32).powi(power)).to_vec()
    };
    // Kind of figure, values of two runs; median, least and greatest slope and exponent.
    let cases = [
        (FigureKind::Total, [curve(9000.0, 12.0, 1), curve(9100.0, 12.0, 1)], Some([12.0; 3]), [1.0; 3]),
        (FigureKind::Total, [curve(10.0, 12.0, 1), curve(10.0, 14.0, 1)], Some([14.0, 12.0, 14.0]), [1.0; 3]),
        (FigureKind::Total, [curve(10.0, 5.0, 2), curve(10.0, 5.0, 2)], None, [2.0; 3]),
        (FigureKind::PerItem, [curve(0.0, 3.0, 2), curve(0.0, 3.0, 1)], None, [2.0, 1.0, 2.0]),
        (FigureKind::PerItem, [curve(40.0, 0.0, 1), curve(50.0, 0.0, 1)], Some([0.0; 3]), [0.0; 3]),
    ];
    for (kind, runs, slope, exponent) in cases {
        let fit = series(kind, &sizes, &[&runs[0], &runs[1]]).fit();
        let is_near = |found: super::fit::Spread, wanted: [f64; 3]| {
            let found = [found.median, found.min, found.max];
            found.iter().zip(wanted).all(|(found, wanted)| (found - wanted).abs() < 1e-9)
        };
        assert!(slope.is_none_or(|slope| is_near(fit.slope, slope)), "{runs:?}: {fit:?}");
        assert!(is_near(fit.exponent, exponent), "{runs:?}: {fit:?}");
    }
}

#[test]
fn a_series_renders_figures_slope_spread_exponent_and_largest_size() {
    let measured = series(FigureKind::Total, &[0, 10, 20], &[&[100.0, 120.0, 140.0], &[100.0, 110.0, 120.0]]);
    let lines: Vec<_> = measured.render("connection").lines().map(String::from).collect();
    assert_eq!(lines[0], "connection: memory, kB");
    let row: Vec<_> = lines[2].split_whitespace().collect();
    assert_eq!(row, ["10", "120.000", "(110.000", "to", "120.000)"]);
    let last =
        "  slope 2.0000 kB for one more (1.0000 to 2.0000), exponent 1.00 (1.00 to 1.00), 2 runs, largest 20";
    assert_eq!(lines[4], last);
    let single = series(FigureKind::PerItem, &[10], &[&[3.0]]).render("cores");
    assert!(single.ends_with("  one at the largest 3.000 kB, 1 runs, largest 10\n"), "{single}");
}

#[test]
fn sizes_double_up_to_the_largest() {
    let cases: [((usize, u32), &[usize]); 4] = [
        ((20_000, 5), &[1250, 2500, 5000, 10_000, 20_000]),
        ((16, 4), &[2, 4, 8, 16]),
        ((3, 5), &[1, 3]),
        ((0, 5), &[]),
    ];
    for ((max, count), sizes) in cases {
        assert_eq!(doubling(max, count), sizes, "{max}");
    }
}

#[test]
fn a_record_reaches_all_members_in_few_hops_and_a_lagging_replica_gets_it_once() {
    // Members; most hops.
    for (members, max) in [(2, 1), (3, 1), (30, 4), (580, 6), (1160, 7)] {
        let (origin, all, hops) = broadcast_cost(members);
        assert!(origin <= 6 && origin < members, "{members} members: its origin sends {origin} messages");
        assert!(all <= 6 * members, "{members} members: {all} messages");
        assert!(hops <= max, "{members} members: {hops} hops");
    }
    // Missing records; rounds until both replicas are equal, with at most 4,096 records a round.
    for (behind, rounds) in [(1, 1), (31, 1), (4096, 1), (4097, 2), (16_384, 4)] {
        let (messages, records, took) = catch_up(behind);
        assert_eq!((records, took), (behind, rounds));
        assert!(messages <= behind.div_ceil(256) + 5 * rounds, "{behind}: {messages} messages");
    }
}

#[test]
fn an_unknown_measurement_is_named_in_the_error() {
    let sizes = super::ScalingOptions {
        runs: 1,
        max_viewings: 1,
        max_requests_per_s: 1,
        max_servers: 1,
        max_paid_viewings: 1,
        max_members: 3,
        settle_for: std::time::Duration::ZERO,
    };
    let error =
        super::run_measurements(std::path::Path::new("/nowhere"), &["weather".into()], &sizes, |_| ()).err();
    let error = error.unwrap_or_default();
    assert!(
        error.contains("weather") && error.contains("connection, viewing, answer, list, claim, cores"),
        "{error}"
    );
}
