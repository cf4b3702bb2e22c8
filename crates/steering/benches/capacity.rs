//! Measures nothing yet.
fn main() {}
