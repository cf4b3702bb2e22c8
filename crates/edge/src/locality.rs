//! Distances of data centres from an entry.

use std::collections::BTreeMap;

use placement::Distance;

/// An entry's data centre, and the regions of all data centres.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    centre: Box<str>,
    /// Regions by data centre.
    regions: BTreeMap<Box<str>, Box<str>>,
}

impl Locality {
    /// Creates the locality of an entry, with all data centres in one region.
    pub fn new(centre: &str) -> Self {
        Self {
            centre: centre.into(),
            regions: BTreeMap::new(),
        }
    }

    /// Sets the regions of the data centres.
    pub fn with_regions(mut self, regions: BTreeMap<Box<str>, Box<str>>) -> Self {
        self.regions = regions;
        self
    }

    /// Region of a data centre, if it is known.
    pub fn region(&self, centre: &str) -> Option<&str> {
        self.regions.get(centre).map(|region| &**region)
    }

    /// Distance of a data centre. One with an unknown region counts as part of the same region.
    pub fn distance(&self, centre: &str) -> Distance {
        let regions = (self.regions.get(&self.centre), self.regions.get(centre));
        match regions {
            _ if centre == &*self.centre => Distance::Centre,
            (Some(own), Some(other)) if own != other => Distance::Far,
            _ => Distance::Region,
        }
    }
}
