//! One figure measured by a benchmark.

use serde::Serialize;

/// A figure of a benchmark, printed as one JSON object a line.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Figure<'a> {
    /// Name of the figure.
    pub figure: &'a str,
    /// Conditions of the measurement.
    pub case: &'a str,
    /// Value, rounded to four decimal places.
    pub value: f64,
    /// Unit; empty for a ratio.
    pub unit: &'a str,
    /// Standard error of a fitted value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<f64>,
    /// Fitted value at size 0.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub intercept: Option<f64>,
}

impl<'a> Figure<'a> {
    /// Creates a figure.
    pub fn new(figure: &'a str, case: &'a str, value: f64, unit: &'a str) -> Self {
        Self {
            figure,
            case,
            value: round(value),
            unit,
            error: None,
            intercept: None,
        }
    }

    /// Adds the standard error of a fitted value.
    pub fn with_error(mut self, error: f64) -> Self {
        self.error = Some(round(error));
        self
    }

    /// Adds the fitted value at size 0.
    pub fn with_intercept(mut self, intercept: f64) -> Self {
        self.intercept = Some(round(intercept));
        self
    }

    /// Prints the figure on standard output.
    ///
    /// # Panics
    ///
    /// Panics if the figure cannot be written as JSON.
    pub fn print(&self) {
        match serde_json::to_string(self) {
            Ok(line) => println!("{line}"),
            Err(error) => panic!("{}: {error}", self.figure),
        }
    }
}

fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
