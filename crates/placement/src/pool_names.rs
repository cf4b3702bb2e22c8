//! The names in a pool: keys of services, data centres and regions.

use crate::{
    endpoint::ServiceKey,
    places::{
        CentreKey,
        HomesKey,
        RegionKey, //
    },
    pool::Pool, //
};

impl Pool {
    /// The key of a service, which is added if it is new.
    pub fn service(&mut self, name: &str) -> ServiceKey {
        if let Some(key) = self.services.get(name) {
            return *key;
        }
        let key = self.service_names.insert(name.into());
        self.members.insert(key, Vec::new());
        self.services.insert(name.into(), key);
        key
    }

    /// The name of a service.
    pub fn service_name(&self, key: ServiceKey) -> Option<&str> {
        self.service_names.get(key).map(|name| &**name)
    }

    /// The key of a data centre, which is added if it is new.
    pub fn centre(&mut self, name: &str) -> CentreKey {
        self.places.centre(name)
    }

    /// The key of a region, which is added if it is new.
    pub fn region(&mut self, name: &str) -> RegionKey {
        self.places.region(name)
    }

    /// The key of the regions in which a route's requests may run; none if they may run in all.
    pub fn homes<'a>(&mut self, regions: impl Iterator<Item = &'a str>) -> Option<HomesKey> {
        self.places.homes(regions)
    }
}
