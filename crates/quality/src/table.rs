//! Sessions, summed up by what they have in common.

use std::collections::BTreeMap;

/// What a session has in common with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Factor {
    Rack,
    /// Within its rack.
    Server,
    Title,
    Tenant,
    /// The player's own network.
    Network,
}

pub const FACTORS: [Factor; 5] =
    [Factor::Rack, Factor::Server, Factor::Title, Factor::Tenant, Factor::Network];

/// One rack, one title, and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(pub u32);

/// A number of sessions, and the sum and the sum of squares of how bad they were, each between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    pub n: f64,
    pub bad: f64,
    pub squares: f64,
}

impl Sum {
    pub fn add(&mut self, other: &Sum) {
        (self.n, self.bad, self.squares) =
            (self.n + other.n, self.bad + other.bad, self.squares + other.squares);
    }

    pub fn without(&self, other: &Sum) -> Sum {
        let least = |x: f64| x.max(0.0);
        Sum {
            n: least(self.n - other.n),
            bad: least(self.bad - other.bad),
            squares: least(self.squares - other.squares),
        }
    }

    pub fn mean(&self) -> f64 {
        if self.n > 0.0 { self.bad / self.n } else { 0.0 }
    }

    /// Variance of one session, of which as much as `k` sessions of variance `usual` is taken for granted.
    pub fn variance(&self, usual: f64, k: f64) -> f64 {
        let own = self.squares - self.bad * self.mean();
        (own.max(0.0) + k * usual) / (self.n - 1.0 + k).max(1.0)
    }
}

/// A window's sessions by all that they have in common. A session weighs as one, however often it reported.
#[derive(Clone, Debug, Default)]
pub struct Table {
    cells: BTreeMap<[Level; FACTORS.len()], Sum>,
}

impl Table {
    pub fn add(&mut self, levels: [Level; FACTORS.len()], bad: f64) {
        let bad = if bad.is_finite() { bad.clamp(0.0, 1.0) } else { 0.0 };
        self.cells.entry(levels).or_default().add(&Sum { n: 1.0, bad, squares: bad * bad });
    }

    pub fn cells(&self) -> impl Iterator<Item = (&[Level; FACTORS.len()], &Sum)> {
        self.cells.iter()
    }

    pub fn len(&self) -> usize {
        self.cells.len()
    }

    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// All sessions together.
    pub fn whole(&self) -> Sum {
        self.cells.values().fold(Sum::default(), |mut all, sum| {
            all.add(sum);
            all
        })
    }

    /// The sessions of each level of a factor.
    pub fn by(&self, factor: Factor) -> BTreeMap<Level, Sum> {
        let mut sums = BTreeMap::<_, Sum>::new();
        self.cells().for_each(|(levels, sum)| sums.entry(levels[factor as usize]).or_default().add(sum));
        sums
    }

    /// The same by two factors.
    pub fn across(&self, factors: (Factor, Factor)) -> BTreeMap<(Level, Level), Sum> {
        let mut sums = BTreeMap::<_, Sum>::new();
        for (levels, sum) in self.cells() {
            sums.entry((levels[factors.0 as usize], levels[factors.1 as usize])).or_default().add(sum);
        }
        sums
    }

    /// Those that fit no more.
    pub fn drop(&mut self, fits: impl Fn(&[Level; FACTORS.len()]) -> bool) {
        self.cells.retain(|levels, _| !fits(levels));
    }
}
