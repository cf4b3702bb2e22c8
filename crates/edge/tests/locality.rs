//! Distances of data centres from an entry.

use std::collections::BTreeMap;

use mimosausher_edge::Locality;
use placement::Distance;

#[test]
fn distance_two_regions() {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(centre, region)| (centre.into(), region.into()));
    let locality = Locality::new("a").with_regions(BTreeMap::from(regions));
    assert_eq!(locality.distance("a"), Distance::Centre);
    assert_eq!(locality.distance("b"), Distance::Region);
    assert_eq!(locality.distance("c"), Distance::Far);
    assert_eq!(locality.distance("d"), Distance::Region);
}

#[test]
fn distance_no_regions() {
    let locality = Locality::new("a");
    assert_eq!(locality.distance("a"), Distance::Centre);
    assert_eq!(locality.distance("b"), Distance::Region);
}
