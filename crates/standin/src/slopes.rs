//! Linear fits of measured costs against size, and the table that reports them.

use serde::{Deserialize, Serialize};

/// A measured cost at one size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Point {
    /// The size, in units of [`Measurement::per`].
    pub size: f64,
    /// The cost, in the unit that [`Measurement::what`] states.
    pub cost: f64,
}

/// A series of measured points for one cost of a role, with the target size and the limit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Measurement {
    /// The role: a function of a host, as `docs/CAPACITY.md` names it, and not that of a lease.
    pub role: String,
    /// The measured cost, with its unit.
    pub what: String,
    /// The unit of the size.
    pub per: String,
    /// The size that the role must support.
    pub target: f64,
    /// Maximum cost at the target size; `None` if the role has no limit of its own.
    pub limit: Option<f64>,
    /// The measured points.
    pub points: Vec<Point>,
}

/// A fitted line: cost = intercept + slope x size.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Cost per unit of size.
    pub slope: f64,
    /// Cost at size zero.
    pub intercept: f64,
    /// The largest residual, as a fraction of the largest absolute cost.
    pub max_relative_residual: f64,
}

impl Measurement {
    /// The arguments are the fields, in their order.
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

    /// Fits a line by least squares; the slope is zero if all sizes are equal.
    pub fn fit(&self) -> Fit {
        let n = self.points.len().max(1) as f64;
        let mean = |pick: &dyn Fn(&Point) -> f64| self.points.iter().map(pick).sum::<f64>() / n;
        let (size, cost) = (mean(&|p| p.size), mean(&|p| p.cost));
        let covariance = mean(&|p| (p.size - size) * (p.cost - cost));
        let variance = mean(&|p| (p.size - size).powi(2));
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let intercept = cost - slope * size;
        let largest = self.points.iter().map(|p| p.cost.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let residual = |p: &Point| (p.cost - intercept - slope * p.size).abs() / largest;
        let max_relative_residual = self.points.iter().map(residual).fold(0.0, f64::max);
        Fit { slope, intercept, max_relative_residual }
    }

    /// Returns the cost extrapolated to the target size.
    ///
    /// A falling line is not extrapolated: the largest measured cost is returned. A negative
    /// intercept is a measurement error and counts as zero.
    pub fn cost_at_target(&self) -> f64 {
        let fit = self.fit();
        if fit.slope < 0.0 {
            return self.points.iter().map(|point| point.cost).fold(0.0, f64::max);
        }
        fit.intercept.max(0.0) + fit.slope * self.target
    }
}

/// Formats a number, rounded according to its magnitude.
fn format_number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.1}"),
        0.0 => "0".to_string(),
        _ => format!("{value:.2e}"),
    }
}

/// Returns the Markdown table of `measurements`, as `docs/CAPACITY.md` contains it.
pub fn table(measurements: &[Measurement]) -> String {
    let mut text = String::from(
        "| role | what | per | measured at | slope | intercept | spread | target size | at the \
         target | limit | margin |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | \
         --- |\n",
    );
    for measurement in measurements {
        let fit = measurement.fit();
        let sizes: Vec<String> =
            measurement.points.iter().map(|point| format_number(point.size)).collect();
        let limit = measurement.limit.map_or("-".to_string(), format_number);
        let margin = measurement.limit.map_or("-".to_string(), |limit| {
            format!("{:.0}%", 100.0 * (1.0 - measurement.cost_at_target() / limit))
        });
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} | {:.0}% | {} | {} | {limit} | {margin} |\n",
            measurement.role,
            measurement.what,
            measurement.per,
            sizes.join(", "),
            format_number(fit.slope),
            format_number(fit.intercept),
            100.0 * fit.max_relative_residual,
            format_number(measurement.target),
            format_number(measurement.cost_at_target()),
        ));
    }
    text
}
