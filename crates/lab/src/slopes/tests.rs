//! The lines through what was measured, and what the cores are counted to do.

use super::cores::{catch_up, told_on};
use super::{Kind, Series, doubling};

fn series(kind: Kind, sizes: &[usize], runs: &[&[f64]]) -> Series {
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
    // Kind, what two runs show; slope and exponent of the middle run, least and most.
    let cases = [
        (Kind::Whole, [curve(9000.0, 12.0, 1), curve(9100.0, 12.0, 1)], Some([12.0; 3]), [1.0; 3]),
        (Kind::Whole, [curve(10.0, 12.0, 1), curve(10.0, 14.0, 1)], Some([14.0, 12.0, 14.0]), [1.0; 3]),
        (Kind::Whole, [curve(10.0, 5.0, 2), curve(10.0, 5.0, 2)], None, [2.0; 3]),
        (Kind::Each, [curve(0.0, 3.0, 2), curve(0.0, 3.0, 1)], None, [2.0, 1.0, 2.0]),
        (Kind::Each, [curve(40.0, 0.0, 1), curve(50.0, 0.0, 1)], Some([0.0; 3]), [0.0; 3]),
    ];
    for (kind, runs, slope, exponent) in cases {
        let fit = series(kind, &sizes, &[&runs[0], &runs[1]]).fit();
        let near = |told: super::fit::Spread, wanted: [f64; 3]| {
            let told = [told.middle, told.least, told.most];
            told.iter().zip(wanted).all(|(told, wanted)| (told - wanted).abs() < 1e-9)
        };
        assert!(slope.is_none_or(|slope| near(fit.slope, slope)), "{runs:?}: {fit:?}");
        assert!(near(fit.exponent, exponent), "{runs:?}: {fit:?}");
    }
}

#[test]
fn a_table_says_figures_slope_spread_exponent_and_how_far_it_went() {
    let told = series(Kind::Whole, &[0, 10, 20], &[&[100.0, 120.0, 140.0], &[100.0, 110.0, 120.0]]);
    let lines: Vec<_> = told.told("connection").lines().map(String::from).collect();
    assert_eq!(lines[0], "connection: memory, kB");
    let row: Vec<_> = lines[2].split_whitespace().collect();
    assert_eq!(row, ["10", "120.000", "(110.000", "to", "120.000)"]);
    let last =
        "  slope 2.0000 kB for one more (1.0000 to 2.0000), exponent 1.00 (1.00 to 1.00), 2 runs, largest 20";
    assert_eq!(lines[4], last);
    let one = series(Kind::Each, &[10], &[&[3.0]]).told("cores");
    assert!(one.ends_with("  one at the largest 3.000 kB, 1 runs, largest 10\n"), "{one}");
}

#[test]
fn sizes_double_up_to_the_most() {
    let cases: [((usize, u32), &[usize]); 4] = [
        ((20_000, 5), &[1250, 2500, 5000, 10_000, 20_000]),
        ((16, 4), &[2, 4, 8, 16]),
        ((3, 5), &[1, 3]),
        ((0, 5), &[]),
    ];
    for ((most, count), sizes) in cases {
        assert_eq!(doubling(most, count), sizes, "{most}");
    }
}

#[test]
fn a_record_is_told_by_few_reaches_all_in_few_hops_and_who_is_behind_gets_it_once() {
    // Members; hops at most.
    for (members, most) in [(2, 1), (3, 1), (30, 4), (580, 6), (1160, 7)] {
        let (origin, all, hops) = told_on(members);
        assert!(origin <= 6 && origin < members, "{members} members: its origin tells {origin}");
        assert!(all <= 6 * members, "{members} members: {all} messages");
        assert!(hops <= most, "{members} members: {hops} hops");
    }
    // Records behind; turns until both hold the same: 4,096 a turn at most.
    for (behind, turns) in [(1, 1), (31, 1), (4096, 1), (4097, 2), (16_384, 4)] {
        let (messages, records, took) = catch_up(behind);
        assert_eq!((records, took), (behind, turns));
        assert!(messages <= behind.div_ceil(256) + 5 * turns, "{behind}: {messages} messages");
    }
}

#[test]
fn a_thing_that_is_not_known_is_named() {
    let sizes = super::Sizes {
        runs: 1,
        most: 1,
        rate: 1,
        servers: 1,
        paid: 1,
        members: 3,
        settle: std::time::Duration::ZERO,
    };
    let error = super::table(std::path::Path::new("/nowhere"), &["weather".into()], &sizes, |_| ()).err();
    let error = error.unwrap_or_default();
    assert!(
        error.contains("weather") && error.contains("connection, viewing, answer, list, claim, cores"),
        "{error}"
    );
}
