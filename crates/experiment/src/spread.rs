//! Even choice of a share of numbered things.

/// A number between 0 and 1 for each number, such that any share of them is spread evenly.
pub(crate) fn spread(number: usize) -> f64 {
    let rank = u32::try_from(number).map_or(0.0, f64::from);
    // Multiples of the golden ratio fill the unit interval evenly.
    (rank * 0.618_033_988_749_895).fract()
}
