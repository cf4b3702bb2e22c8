//! Batches of reports between instances, with clock echoes that bound their age.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::report::Report;

/// The receiver's last stamp, echoed back to it.
///
/// The receiver subtracts `stamp` and `held` from its clock; the result is an upper bound of the
/// batch's transit time. The two clocks need not be synchronised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Echo {
    /// Time between the sender's receipt of the stamp and its echo.
    pub held: Duration,
    /// Time on the receiver's clock when it sent the stamp.
    pub stamp: Duration,
}

/// How the receiver forwards the reports of a batch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Route {
    /// Does not forward them.
    Direct,
    /// Forwards them to one instance that the sender cannot reach directly.
    Forward(SocketAddr),
    /// Forwards them to the entries of its data centre.
    Spread,
}

/// A batch of reports from one instance to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Echo of the receiver's last stamp, if the sender has received one.
    pub echo: Option<Echo>,
    /// The reports.
    pub reports: Vec<Report>,
    /// How the receiver forwards the reports.
    pub route: Route,
    /// Time on the sender's clock.
    pub stamp: Duration,
}
