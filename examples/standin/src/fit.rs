//! Linear regression of measured points.

use crate::figure::Figure;

/// Minimum number of points for a fit.
pub const MIN_POINTS: usize = 4;

/// Least-squares fit of a straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Standard error of the slope.
    pub error: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
}

impl Fit {
    /// Fits a line through `(size, value)` points.
    ///
    /// # Panics
    ///
    /// Panics for fewer than [`MIN_POINTS`] points.
    pub fn new(points: &[(f64, f64)]) -> Self {
        assert!(points.len() >= MIN_POINTS, "too few points for a fit");
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let spread: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        let slope = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum::<f64>()
            / spread;
        let intercept = mean_value - slope * mean_size;
        let residual: f64 = points
            .iter()
            .map(|(size, value)| (value - intercept - slope * size).powi(2))
            .sum();
        Self {
            error: (residual / (count - 2.0) / spread).sqrt(),
            intercept,
            slope,
        }
    }

    /// Prints the slope as a figure, with its standard error and the intercept.
    pub fn print(&self, figure: &str, case: &str, unit: &str) {
        Figure::new(figure, case, self.slope, unit)
            .with_error(self.error)
            .with_intercept(self.intercept)
            .print();
    }
}
