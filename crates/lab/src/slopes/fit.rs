//! Lines through what was measured.

/// What a figure is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Of all there are together, from what there is without any: its slope is the cost of one more.
    Whole,
    /// Of one, among so many: its exponent says whether it grows with them.
    Each,
}

/// Figures at growing sizes, once a run.
#[derive(Clone, Debug)]
pub struct Series {
    pub figure: &'static str,
    pub unit: &'static str,
    pub kind: Kind,
    pub sizes: Vec<f64>,
    /// By run, in the order of the sizes.
    pub runs: Vec<Vec<f64>>,
}

/// The middle of some figures, and the least and the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    pub middle: f64,
    pub least: f64,
    pub most: f64,
}

impl Spread {
    fn of(mut all: Vec<f64>) -> Spread {
        all.sort_by(f64::total_cmp);
        let at = |i: usize| all.get(i).copied().unwrap_or(f64::NAN);
        Spread { middle: at(all.len() / 2), least: at(0), most: at(all.len().saturating_sub(1)) }
    }
}

/// What came of a series: the line through each run, and the exponent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub slope: Spread,
    pub exponent: Spread,
}

/// The slope of the line of least squares through some points; none, that is no number, through fewer than two.
fn line(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0 / n, sum.1 + point.1 / n));
    let both: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    both / points.iter().map(|point| (point.0 - x).powi(2)).sum::<f64>()
}

impl Series {
    pub fn new(figure: &'static str, unit: &'static str, kind: Kind, sizes: &[usize]) -> Series {
        let sizes = sizes.iter().map(|size| *size as f64).collect();
        Series { figure, unit, kind, sizes, runs: vec![] }
    }

    /// One run's points that an exponent is taken through: of a whole what lies over its first size, which stands for none.
    fn logs(&self, run: &[f64]) -> Vec<(f64, f64)> {
        let points = self.sizes.iter().copied().zip(run.iter().copied());
        let (size, base) = match self.kind {
            Kind::Whole => points.clone().next().unwrap_or_default(),
            Kind::Each => (0.0, 0.0),
        };
        let over = points.map(|(x, y)| (x - size, y - base)).filter(|(x, y)| *x > 0.0 && *y > 0.0);
        over.map(|(x, y)| (x.ln(), y.ln())).collect()
    }

    pub fn fit(&self) -> Fit {
        let through = |run: &Vec<f64>| {
            let points: Vec<_> = self.sizes.iter().copied().zip(run.iter().copied()).collect();
            line(&points)
        };
        Fit {
            slope: Spread::of(self.runs.iter().map(through).collect()),
            exponent: Spread::of(self.runs.iter().map(|run| line(&self.logs(run))).collect()),
        }
    }

    /// The middle of the runs at each size, least and most.
    fn at(&self, i: usize) -> Spread {
        Spread::of(self.runs.iter().filter_map(|run| run.get(i).copied()).collect())
    }

    /// As lines of the table.
    pub fn told(&self, thing: &str) -> String {
        let Fit { slope, exponent } = self.fit();
        let mut text = format!("{thing}: {}, {}\n", self.figure, self.unit);
        for (i, size) in self.sizes.iter().enumerate() {
            let Spread { middle, least, most } = self.at(i);
            text += &format!("  {size:>9} {middle:>14.3}   ({least:.3} to {most:.3})\n");
        }
        let largest = self.sizes.last().copied().unwrap_or_default();
        text += &match self.kind {
            Kind::Whole => format!(
                "  slope {:.4} {} for one more ({:.4} to {:.4})",
                slope.middle, self.unit, slope.least, slope.most
            ),
            Kind::Each => {
                let last = self.at(self.sizes.len().saturating_sub(1));
                format!("  one at the largest {:.3} {}", last.middle, self.unit)
            }
        };
        if exponent.middle.is_finite() {
            text +=
                &format!(", exponent {:.2} ({:.2} to {:.2})", exponent.middle, exponent.least, exponent.most);
        }
        text + &format!(", {} runs, largest {largest}\n", self.runs.len())
    }
}
