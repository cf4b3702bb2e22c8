//! The limit of new flows to endpoints in their slow start.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use codes::Code;

use crate::{
    endpoint::{
        Endpoint,
        EndpointKey,
        ServiceKey, //
    },
    places::CentreKey,
    pool::Pool,
    target::Target,
    warmup_count::WarmupCount, //
};

/// Time for which endpoints may have lost what they had warmed up before they announce it: two
/// heartbeats and the way to the entries.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(2);

impl Pool {
    /// Sets this entry's address among those that share the rates of slow starts.
    pub const fn set_own_address(&mut self, address: SocketAddrV4) {
        self.sharers.set_own(address);
    }

    /// Records the entries that a store with a quorum knows, with their data centres. To be called
    /// with each of its messages.
    pub fn record_entries(
        &mut self,
        now: Duration,
        entries: impl Iterator<Item = (SocketAddrV4, CentreKey)>,
    ) {
        self.sharers.record(now, entries);
    }

    /// Sets the new flows a second that an endpoint of each service bears during its slow start,
    /// from all entries together; services that are not named have no limit.
    pub fn set_warmup_rates(&mut self, rates: impl Iterator<Item = (ServiceKey, f32)>) {
        self.warmup_rates.clear();
        for (service, rate) in rates.filter(|(_, rate)| *rate > 0.0) {
            self.warmup_rates.insert(service, rate);
        }
        self.sharers.renew();
    }

    /// Lets the endpoints of a data centre that got no flows count as in their slow start until
    /// they would have announced one.
    pub fn presume_slow(&mut self, now: Duration, centre: CentreKey) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.centre == Some(centre) {
                endpoint.presumed_until = now + ANNOUNCEMENT_TIME;
            }
        }
    }

    /// Whether new flows to an endpoint are limited now.
    pub fn limits(&self, now: Duration, endpoint: &Endpoint) -> bool {
        endpoint.is_cold(now) && self.warmup_rates.contains_key(endpoint.service)
    }

    /// Endpoints to which new flows are limited now, and this entry's shares of their rates
    /// together, in flows a second.
    pub fn limited(&self, now: Duration) -> (usize, f32) {
        if self.warmup_rates.is_empty() {
            return (0, 0.0);
        }
        let limited = self.iter().filter(|endpoint| self.limits(now, endpoint));
        limited.fold((0, 0.0), |(count, sum), endpoint| {
            (count + 1, sum + endpoint.allowance.share())
        })
    }

    /// Counts of flows to endpoints in their slow start.
    pub const fn warmup_count(&self) -> WarmupCount {
        self.warmup_count
    }

    /// Whether the limit lets this entry open a flow to an endpoint.
    pub(crate) fn warm_enough(&self, now: Duration, endpoint: &Endpoint) -> bool {
        !self.limits(now, endpoint)
            || (self.sharers.entitled(now) && endpoint.allowance.is_ready(now))
    }

    /// Finds the shares of the endpoints that a flow may be opened to, where they have changed.
    pub(crate) fn update_shares(&mut self, now: Duration, targets: &[Target]) {
        let (epoch, sharers) = (self.sharers.epoch(), &self.sharers);
        for target in targets {
            let Some(rate) = self.warmup_rates.get(target.service) else {
                continue;
            };
            let members = self.members.get(target.service).into_iter().flatten();
            for key in members {
                match self.endpoints.get_mut(*key) {
                    Some(endpoint) if endpoint.is_cold(now) && !endpoint.allowance.is_of(epoch) => {
                        let share = sharers.share(endpoint.reference, endpoint.centre, *rate);
                        endpoint.allowance.set_share(now, epoch, share);
                    }
                    Some(_) | None => {}
                }
            }
        }
    }

    /// Records a flow that was opened to an endpoint.
    pub(crate) fn charge_opening(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        if !self.limits(now, endpoint) {
            return;
        }
        self.warmup_count.placed += 1;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.allowance.take(now);
        }
    }

    /// Why no flow can be opened to any endpoint; counts it if that is the limit.
    pub(crate) fn refusal(&mut self, now: Duration, targets: &[Target]) -> Code {
        let weighted = targets.iter().filter(|target| target.weight > 0);
        let withheld = weighted.flat_map(|target| {
            let members = self.members.get(target.service).into_iter().flatten();
            let endpoints = members.filter_map(|key| self.endpoints.get(*key));
            endpoints.filter(|endpoint| {
                endpoint.accepts_flows()
                    && self.at_home(*target, endpoint)
                    && !self.warm_enough(now, endpoint)
            })
        });
        let spent = withheld.map(|endpoint| endpoint.allowance.share() > 0.0);
        match spent.max() {
            Some(true) => self.warmup_count.spent += 1,
            Some(false) => self.warmup_count.foreign += 1,
            None => return Code::FlowNoEndpoint,
        }
        Code::FlowSlowStart
    }
}
