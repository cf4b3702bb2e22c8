//! How the time of a request grows with the requests at its endpoint.

/// Time of a request relative to that of a request alone, at an endpoint with `crowding` requests
/// for each slot, this one included.
///
/// Near 1 while slots are free and near `crowding` once all are taken. In between, the number of
/// requests varies around its known mean, so that some wait before the slots are full on average.
pub(crate) fn relative_time(crowding: f64) -> f64 {
    (1.0 + crowding.powi(3)).cbrt()
}

/// Time that one more request costs: its own, and what it adds to the times of the others.
///
/// Choosing by the own time alone would fill the fastest endpoints up to where they are as slow as
/// the slowest one, and would lead entries with old loads to the same endpoints.
pub(crate) fn marginal_time(crowding: f64) -> f64 {
    let time = relative_time(crowding);
    // The derivative of crowding * relative_time(crowding).
    (1.0 + 2.0 * crowding.powi(3)) / (time * time)
}
