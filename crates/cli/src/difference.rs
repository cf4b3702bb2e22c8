//! Differences between two texts.

use similar::TextDiff;

/// Unchanged lines around each changed one.
const CONTEXT: usize = 3;

/// The difference of two texts in the unified format; empty if they are equal.
pub fn unified(names: &[String; 2], before: &str, after: &str) -> String {
    let [old, new] = names;
    TextDiff::from_lines(before, after)
        .unified_diff()
        .context_radius(CONTEXT)
        .header(old, new)
        .to_string()
}
