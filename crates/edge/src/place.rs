//! Where an entry stands, and how far other data centres are.

use std::collections::BTreeMap;

use placement::Distance;

/// Where an entry stands.
#[derive(Clone, Debug, Default)]
pub struct Place {
    centre: Box<str>,
    /// Regions of the data centres, as far as the settings name them.
    regions: BTreeMap<Box<str>, Box<str>>,
}

impl Place {
    /// An entry's place, as if all data centres stood in one region.
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

    /// How far a data centre is. One whose region is not known counts as one of the same region.
    pub fn distance(&self, centre: &str) -> Distance {
        let regions = (self.regions.get(&self.centre), self.regions.get(centre));
        match regions {
            _ if centre == &*self.centre => Distance::Centre,
            (Some(own), Some(other)) if own != other => Distance::Far,
            _ => Distance::Region,
        }
    }
}
