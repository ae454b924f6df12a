//! Sums of sessions by the levels that they have in common.

use std::collections::BTreeMap;

/// A property by which sessions are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Factor {
    /// The rack of the session's server.
    Rack,
    /// A server is part of its rack.
    Server,
    /// The title that is played.
    Title,
    /// The tenant that the session belongs to.
    Tenant,
    /// The network that the player is in.
    Network,
}

/// All factors. The position of a factor is also its position in a session's levels.
pub const FACTORS: [Factor; 5] =
    [Factor::Rack, Factor::Server, Factor::Title, Factor::Tenant, Factor::Network];

/// One value of a factor, such as one rack or one title.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(pub u32);

/// The number of some sessions, the sum of their badness and the sum of its squares. Badness is between 0
/// and 1 a session.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// The number of sessions.
    pub count: f64,
    /// The sum of their badness.
    pub badness_sum: f64,
    /// The sum of the squares of their badness.
    pub square_sum: f64,
}

impl Sum {
    /// Adds other sessions.
    pub fn add(&mut self, other: &Sum) {
        (self.count, self.badness_sum, self.square_sum) = (
            self.count + other.count,
            self.badness_sum + other.badness_sum,
            self.square_sum + other.square_sum,
        );
    }

    /// These sessions without some of them. Rounding errors don't make a part negative.
    pub fn without(&self, other: &Sum) -> Sum {
        let at_least_zero = |value: f64| value.max(0.0);
        Sum {
            count: at_least_zero(self.count - other.count),
            badness_sum: at_least_zero(self.badness_sum - other.badness_sum),
            square_sum: at_least_zero(self.square_sum - other.square_sum),
        }
    }

    /// The mean badness; zero without sessions.
    pub fn mean(&self) -> f64 {
        if self.count > 0.0 { self.badness_sum / self.count } else { 0.0 }
    }

    /// The variance of a session's badness, estimated with a prior: `prior_sessions` sessions of variance
    /// `prior_variance` are added to those that were observed.
    pub fn variance(&self, prior_variance: f64, prior_sessions: f64) -> f64 {
        let observed = self.square_sum - self.badness_sum * self.mean();
        (observed.max(0.0) + prior_sessions * prior_variance) / (self.count - 1.0 + prior_sessions).max(1.0)
    }
}

/// The sessions of a window, grouped by their levels of all factors. Each session has the weight 1, however
/// often it reported.
#[derive(Clone, Debug, Default)]
pub struct Table {
    cells: BTreeMap<[Level; FACTORS.len()], Sum>,
}

impl Table {
    /// Adds a session with its badness, which is limited to 0 to 1; a badness that is not finite counts as 0.
    pub fn add(&mut self, levels: [Level; FACTORS.len()], badness: f64) {
        let badness = if badness.is_finite() { badness.clamp(0.0, 1.0) } else { 0.0 };
        self.cells.entry(levels).or_default().add(&Sum {
            count: 1.0,
            badness_sum: badness,
            square_sum: badness * badness,
        });
    }

    /// Each combination of levels with the sum of its sessions.
    pub fn cells(&self) -> impl Iterator<Item = (&[Level; FACTORS.len()], &Sum)> {
        self.cells.iter()
    }

    /// The number of different combinations of levels.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// The sum of all sessions.
    pub fn whole(&self) -> Sum {
        self.cells.values().fold(Sum::default(), |mut total, sum| {
            total.add(sum);
            total
        })
    }

    /// The sum of the sessions of each level of a factor.
    pub fn by(&self, factor: Factor) -> BTreeMap<Level, Sum> {
        let mut sums = BTreeMap::<_, Sum>::new();
        self.cells().for_each(|(levels, sum)| sums.entry(levels[factor as usize]).or_default().add(sum));
        sums
    }

    /// The sum of the sessions of each pair of levels of two factors.
    pub fn across(&self, factors: (Factor, Factor)) -> BTreeMap<(Level, Level), Sum> {
        let mut sums = BTreeMap::<_, Sum>::new();
        for (levels, sum) in self.cells() {
            sums.entry((levels[factors.0 as usize], levels[factors.1 as usize])).or_default().add(sum);
        }
        sums
    }

    /// Removes the sessions whose levels match.
    pub fn remove_matching(&mut self, matches: impl Fn(&[Level; FACTORS.len()]) -> bool) {
        self.cells.retain(|levels, _| !matches(levels));
    }
}
