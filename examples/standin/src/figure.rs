//! One measured figure.

use serde::Serialize;

/// A figure of a benchmark, printed as one JSON object a line.
#[derive(Clone, Debug, Serialize)]
pub struct Figure<'a> {
    /// What was measured.
    pub figure: &'a str,
    /// Under which conditions.
    pub case: &'a str,
    /// The value, rounded to four digits behind the point.
    pub value: f64,
    /// Its unit; empty for a ratio.
    pub unit: &'a str,
}

impl<'a> Figure<'a> {
    /// Creates a figure.
    pub fn new(figure: &'a str, case: &'a str, value: f64, unit: &'a str) -> Self {
        Self {
            figure,
            case,
            value: (value * 1e4).round() / 1e4,
            unit,
        }
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
