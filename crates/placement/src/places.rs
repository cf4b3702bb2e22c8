//! Data centres, regions, and the regions in which requests may run.

use hashbrown::HashMap;
use slotmap::SlotMap;

use crate::interner::Interner;

slotmap::new_key_type! {
    /// Key of a data centre in a pool.
    pub struct CentreKey;

    /// Key of a set of regions in which requests may run.
    pub struct HomesKey;

    /// Key of a region in a pool.
    pub struct RegionKey;
}

/// Data centres, regions, and the regions in which requests may run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Places {
    centres: Interner<CentreKey>,
    homes: SlotMap<HomesKey, Box<[RegionKey]>>,
    homes_keys: HashMap<Box<[RegionKey]>, HomesKey>,
    regions: Interner<RegionKey>,
}

impl Places {
    /// The key of a data centre, which is added if it is new.
    pub fn centre(&mut self, name: &str) -> CentreKey {
        self.centres.intern(name)
    }

    /// The key of a region, which is added if it is new.
    pub fn region(&mut self, name: &str) -> RegionKey {
        self.regions.intern(name)
    }

    /// The key of a set of regions; none if it is empty.
    pub fn homes<'a>(&mut self, names: impl Iterator<Item = &'a str>) -> Option<HomesKey> {
        let mut regions: Vec<_> = names.map(|name| self.regions.intern(name)).collect();
        regions.sort_unstable();
        regions.dedup();
        if regions.is_empty() {
            return None;
        }
        let regions: Box<[RegionKey]> = regions.into();
        if let Some(key) = self.homes_keys.get(&regions) {
            return Some(*key);
        }
        let key = self.homes.insert(regions.clone());
        self.homes_keys.insert(regions, key);
        Some(key)
    }

    /// Whether requests with these homes may run in a region. Where the region is not known they
    /// may not.
    pub fn allow(&self, homes: Option<HomesKey>, region: Option<RegionKey>) -> bool {
        let Some(homes) = homes else {
            return true;
        };
        let regions = self.homes.get(homes);
        let within = |region| regions.is_some_and(|regions| regions.contains(&region));
        region.is_some_and(within)
    }
}
