//! Line-by-line diffs of two texts.

use similar::TextDiff;

/// Number of unchanged lines shown before and after each change.
const CONTEXT_LINES: usize = 3;

/// Returns the unified diff of two texts; empty if they are equal.
pub fn unified(names: &[String; 2], before: &str, after: &str) -> String {
    let [old, new] = names;
    TextDiff::from_lines(before, after)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(old, new)
        .to_string()
}
