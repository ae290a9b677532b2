//! Measured slopes: what a part costs against its size, and the table of them.

use serde::{Deserialize, Serialize};

/// One measured point.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Point {
    /// How large the part was.
    pub size: f64,
    /// What it cost.
    pub cost: f64,
}

/// A fitted line through measured points.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// The role, as the capacity page names it.
    pub role: String,
    /// What was measured, with its unit.
    pub what: String,
    /// What the size counts.
    pub per: String,
    /// The size at the target.
    pub target: f64,
    /// The most that the role may cost at the target; none if it has no limit of its own.
    pub limit: Option<f64>,
    /// The points.
    pub points: Vec<Point>,
}

/// A line: cost = intercept + slope x size.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// What one more costs.
    pub slope: f64,
    /// What nothing costs.
    pub intercept: f64,
    /// The largest distance of a point from the line, as a share of the largest cost.
    pub spread: f64,
}

impl Slope {
    /// Gets the slope of `what` a role costs against `per`.
    pub fn new(
        role: &str,
        what: &str,
        per: &str,
        target: f64,
        limit: Option<f64>,
        points: Vec<Point>,
    ) -> Self {
        let (role, what, per) = (role.to_string(), what.to_string(), per.to_string());
        Self { role, what, per, target, limit, points }
    }

    /// Returns the line of least squares.
    pub fn fit(&self) -> Line {
        let n = self.points.len().max(1) as f64;
        let mean = |pick: &dyn Fn(&Point) -> f64| self.points.iter().map(pick).sum::<f64>() / n;
        let (size, cost) = (mean(&|p| p.size), mean(&|p| p.cost));
        let covariance = mean(&|p| (p.size - size) * (p.cost - cost));
        let variance = mean(&|p| (p.size - size).powi(2));
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let intercept = cost - slope * size;
        let largest = self.points.iter().map(|p| p.cost.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let off = |p: &Point| (p.cost - intercept - slope * p.size).abs() / largest;
        let spread = self.points.iter().map(off).fold(0.0, f64::max);
        Line { slope, intercept, spread }
    }

    /// Returns the cost at the target.
    ///
    /// A falling line is not carried on: the largest measured cost stands. An intercept below zero
    /// comes of the measurement and is left out.
    pub fn at_target(&self) -> f64 {
        let line = self.fit();
        if line.slope < 0.0 {
            return self.points.iter().map(|point| point.cost).fold(0.0, f64::max);
        }
        line.intercept.max(0.0) + line.slope * self.target
    }
}

/// Returns a number with as many digits as tell something.
fn short(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.1}"),
        0.0 => "0".to_string(),
        _ => format!("{value:.2e}"),
    }
}

/// Returns the table of `slopes` as the capacity page shows it.
pub fn table(slopes: &[Slope]) -> String {
    let mut text = String::from(
        "| role | what | per | measured at | slope | intercept | spread | target size | at the \
         target | limit | margin |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | \
         --- |\n",
    );
    for slope in slopes {
        let line = slope.fit();
        let sizes: Vec<String> = slope.points.iter().map(|point| short(point.size)).collect();
        let limit = slope.limit.map_or("-".to_string(), short);
        let margin = slope.limit.map_or("-".to_string(), |limit| {
            format!("{:.0}%", 100.0 * (1.0 - slope.at_target() / limit))
        });
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} | {:.0}% | {} | {} | {limit} | {margin} |\n",
            slope.role,
            slope.what,
            slope.per,
            sizes.join(", "),
            short(line.slope),
            short(line.intercept),
            100.0 * line.spread,
            short(slope.target),
            short(slope.at_target()),
        ));
    }
    text
}
