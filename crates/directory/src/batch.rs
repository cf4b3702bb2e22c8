//! Reports on their way between instances, with what bounds their age.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::report::Report;

/// The receiver's own last stamp, given back to it.
///
/// The receiver subtracts both from its clock and so learns a time that the batch can't have been
/// on its way for longer than, without any agreement between the two clocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Echo {
    /// Time for which the sender has held the stamp.
    pub held: Duration,
    /// The receiver's clock when it sent the stamp.
    pub stamp: Duration,
}

/// How far reports are passed on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Route {
    /// Not any further.
    Direct,
    /// To one more instance, which the sender can't reach itself.
    Forward(SocketAddr),
    /// To the entries of the receiver's data centre.
    Spread,
}

/// Reports from one instance to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The receiver's last stamp, if the sender has one.
    pub echo: Option<Echo>,
    /// The reports.
    pub reports: Vec<Report>,
    /// How far they are passed on.
    pub route: Route,
    /// The sender's clock.
    pub stamp: Duration,
}
