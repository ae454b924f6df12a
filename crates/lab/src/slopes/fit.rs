//! Least-squares fits of measured series.

/// Which quantity a figure counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FigureKind {
    /// A total over all items, including what exists without any: its slope is the cost of one more.
    Total,
    /// The cost of one item among many: its exponent shows whether it grows with their number.
    PerItem,
}

/// A figure at growing sizes, measured once in each run.
#[derive(Clone, Debug)]
pub struct Series {
    /// Label of the figure in the report.
    pub figure: &'static str,
    /// Unit of the figure.
    pub unit: &'static str,
    /// The quantity that the figure counts.
    pub kind: FigureKind,
    /// Sizes at which the figure was measured, in ascending order.
    pub sizes: Vec<f64>,
    /// Values by run, in the order of `sizes`.
    pub runs: Vec<Vec<f64>>,
}

/// The median of some values, with the least and the greatest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Median of the values.
    pub median: f64,
    /// Least value.
    pub min: f64,
    /// Greatest value.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of some values; NaN without any.
    fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let value_at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Spread {
            median: value_at(values.len() / 2),
            min: value_at(0),
            max: value_at(values.len().saturating_sub(1)),
        }
    }
}

/// The slope and the growth exponent of a series, over its runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Slope of the line: the cost of one more.
    pub slope: Spread,
    /// Growth exponent: the slope between the logarithms.
    pub exponent: Spread,
}

/// Returns the slope of the least-squares line through some points; NaN with fewer than two points.
fn least_squares_slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let (mean_x, mean_y) =
        points.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0 / count, sum.1 + point.1 / count));
    let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    covariance / points.iter().map(|point| (point.0 - mean_x).powi(2)).sum::<f64>()
}

impl Series {
    /// Creates a series without runs.
    pub fn new(figure: &'static str, unit: &'static str, kind: FigureKind, sizes: &[usize]) -> Series {
        let sizes = sizes.iter().map(|size| *size as f64).collect();
        Series { figure, unit, kind, sizes, runs: vec![] }
    }

    /// Returns the log-log points of one run, from which the exponent comes. For a total it takes what
    /// lies above the value at the first size, which counts as none.
    fn log_points(&self, run: &[f64]) -> Vec<(f64, f64)> {
        let points = self.sizes.iter().copied().zip(run.iter().copied());
        let (base_size, base_value) = match self.kind {
            FigureKind::Total => points.clone().next().unwrap_or_default(),
            FigureKind::PerItem => (0.0, 0.0),
        };
        let above_base =
            points.map(|(x, y)| (x - base_size, y - base_value)).filter(|(x, y)| *x > 0.0 && *y > 0.0);
        above_base.map(|(x, y)| (x.ln(), y.ln())).collect()
    }

    /// Fits a line and an exponent through each run.
    pub fn fit(&self) -> Fit {
        let slope_of = |run: &Vec<f64>| {
            let points: Vec<_> = self.sizes.iter().copied().zip(run.iter().copied()).collect();
            least_squares_slope(&points)
        };
        Fit {
            slope: Spread::of(self.runs.iter().map(slope_of).collect()),
            exponent: Spread::of(
                self.runs.iter().map(|run| least_squares_slope(&self.log_points(run))).collect(),
            ),
        }
    }

    /// Returns the spread of the runs at the size with this index.
    fn spread_at(&self, index: usize) -> Spread {
        Spread::of(self.runs.iter().filter_map(|run| run.get(index).copied()).collect())
    }

    /// Returns the lines of the report for this series.
    pub fn render(&self, measurement: &str) -> String {
        let Fit { slope, exponent } = self.fit();
        let mut text = format!("{measurement}: {}, {}\n", self.figure, self.unit);
        for (index, size) in self.sizes.iter().enumerate() {
            let Spread { median, min, max } = self.spread_at(index);
            text += &format!("  {size:>9} {median:>14.3}   ({min:.3} to {max:.3})\n");
        }
        let largest = self.sizes.last().copied().unwrap_or_default();
        text += &match self.kind {
            FigureKind::Total => format!(
                "  slope {:.4} {} for one more ({:.4} to {:.4})",
                slope.median, self.unit, slope.min, slope.max
            ),
            FigureKind::PerItem => {
                let last = self.spread_at(self.sizes.len().saturating_sub(1));
                format!("  one at the largest {:.3} {}", last.median, self.unit)
            }
        };
        if exponent.median.is_finite() {
            text +=
                &format!(", exponent {:.2} ({:.2} to {:.2})", exponent.median, exponent.min, exponent.max);
        }
        text + &format!(", {} runs, largest {largest}\n", self.runs.len())
    }
}
