//! Selection of the remote endpoints whose loads an entry follows.

use std::collections::BTreeMap;

use rand::{
    Rng,
    seq::SliceRandom as _, //
};
use slotmap::SlotMap;

use crate::{
    distance::Distance,
    endpoint::{
        Endpoint,
        EndpointKey,
        Phase, //
    },
    load::MeanLoad,
};

/// Endpoints of a service whose loads an entry follows if its own data centre has fewer: enough to
/// compare in a small deployment, where this covers all of them.
const TRACKED_ENDPOINTS: usize = 16;

/// Endpoints of a service that an entry follows at each distance at least: as many as are compared
/// for one flow that overflows.
const MIN_REMOTE: usize = 4;

/// Chooses which of a service's remote endpoints are tracked.
///
/// Those that are tracked already stay while they are usable. Entries choose at random, so that
/// together they cover all endpoints and spread the flows that overflow their data centre.
pub(crate) fn track_remote(
    endpoints: &mut SlotMap<EndpointKey, Endpoint>,
    members: &[EndpointKey],
    random: &mut impl Rng,
) {
    let mut by_distance: BTreeMap<Distance, Vec<EndpointKey>> = BTreeMap::new();
    for key in members {
        match endpoints.get_mut(*key) {
            Some(endpoint)
                if matches!(endpoint.phase, Phase::Ready | Phase::Silent) && !endpoint.barred =>
            {
                by_distance.entry(endpoint.distance).or_default().push(*key);
            }
            Some(endpoint) => set_tracked(endpoint, false),
            None => {}
        }
    }
    let mut nearer = by_distance
        .remove(&Distance::Centre)
        .map_or(0, |keys| keys.len());
    for mut keys in by_distance.into_values() {
        let count = TRACKED_ENDPOINTS.saturating_sub(nearer).max(MIN_REMOTE);
        nearer += keys.len();
        keys.shuffle(random);
        keys.sort_by_key(|key| endpoints.get(*key).is_none_or(|endpoint| !endpoint.tracked));
        for (rank, key) in keys.into_iter().enumerate() {
            if let Some(endpoint) = endpoints.get_mut(key) {
                set_tracked(endpoint, rank < count);
            }
        }
    }
}

/// The load of an endpoint that is no longer tracked becomes unknown.
fn set_tracked(endpoint: &mut Endpoint, tracked: bool) {
    if endpoint.tracked && !tracked {
        endpoint.external_load = MeanLoad::default();
    }
    endpoint.tracked = tracked;
}
