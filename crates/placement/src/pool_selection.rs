//! Selection among the services of a route, and which endpoints may be selected.

use std::time::Duration;

use rand::Rng;

use crate::{
    endpoint::{
        Endpoint,
        EndpointKey, //
    },
    pool::Pool,
    selection,
    target::Target, //
};

impl Pool {
    /// Selects an endpoint for a flow; none if none of the targets has one.
    pub(crate) fn select(
        &self,
        now: Duration,
        targets: &[Target],
        excluded: Option<EndpointKey>,
        random: &mut impl Rng,
    ) -> Option<EndpointKey> {
        let total: u32 = targets.iter().map(|target| target.weight).sum();
        let mut draw = random.random_range(0..total.max(1));
        let first = targets.iter().position(|target| {
            let selected = draw < target.weight;
            draw = draw.saturating_sub(target.weight);
            selected
        })?;
        let (before, rest) = targets.split_at(first);
        let in_order = rest.iter().chain(before);
        let mut usable = in_order.filter(|target| target.weight > 0);
        usable.find_map(|target| self.select_from_service(now, *target, excluded, random))
    }

    fn select_from_service(
        &self,
        now: Duration,
        target: Target,
        excluded: Option<EndpointKey>,
        random: &mut impl Rng,
    ) -> Option<EndpointKey> {
        let members = self.members.get(target.service)?;
        let candidates = || {
            let known = members
                .iter()
                .filter_map(|key| Some((*key, self.endpoints.get(*key)?)));
            known.filter(|(key, endpoint)| {
                self.references.get(&endpoint.reference) == Some(key)
                    && self.eligible(now, target, endpoint)
            })
        };
        let others = candidates().filter(|(key, _)| Some(*key) != excluded);
        let (learning, reachability) = (self.learning.as_ref(), &self.reachability);
        let opening = learning.map(|learning| learning.opening(target.service));
        selection::select(now, reachability, others, opening, random)
            .or_else(|| selection::select(now, reachability, candidates(), opening, random))
    }

    /// Whether a flow may be opened to an endpoint at all, however suitable it is.
    fn eligible(&self, now: Duration, target: Target, endpoint: &Endpoint) -> bool {
        self.at_home(target, endpoint) && self.warm_enough(now, endpoint)
    }

    /// Whether requests of a target may run at an endpoint.
    pub(crate) fn at_home(&self, target: Target, endpoint: &Endpoint) -> bool {
        self.places.allow(target.homes, endpoint.region)
    }
}
