//! Network distance between an entry and an endpoint.

/// Network distance between an entry and an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the same data centre.
    #[default]
    Centre,
    /// In another data centre of the same region.
    Region,
    /// In another region.
    Far,
}
