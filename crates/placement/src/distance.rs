//! How far an endpoint is from an entry.

/// How far an endpoint is from an entry.
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
