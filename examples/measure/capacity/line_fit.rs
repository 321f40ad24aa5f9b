//! Linear regression of measured values against size.

use serde::Serialize;

/// A least-squares line.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct LineFit {
    /// The increase in value per unit of size.
    pub(super) slope: f64,
    /// The value of the line at size 0.
    pub(super) intercept: f64,
    /// The largest vertical distance of a point from the line, as a fraction of the largest value.
    pub(super) residual: f64,
}

impl LineFit {
    /// Fits a line to `(size, value)` points.
    pub(super) fn of(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        let intercept = mean_y - slope * mean_x;
        let distances = points
            .iter()
            .map(|(x, y)| (intercept + slope * x - y).abs());
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let residual = distances.fold(0.0, f64::max) / largest.max(f64::MIN_POSITIVE);
        Self {
            slope,
            intercept,
            residual,
        }
    }
}
