//! Metrics of the limit of new flows to endpoints in their slow start.

use std::sync::atomic::AtomicU64;

use placement::WarmupCount;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};

use crate::metrics::gauge;

/// The label of refusals by cause.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct CauseLabel {
    /// `foreign` if other entries share the rates of all endpoints left, `spent` if this entry's
    /// shares were spent.
    cause: &'static str,
}

/// Metrics of the limit of new flows to endpoints in their slow start.
#[derive(Clone, Debug)]
pub struct WarmupMetrics {
    endpoints: Gauge,
    placed: Counter,
    rate: Gauge<f64, AtomicU64>,
    refused: Family<CauseLabel, Counter>,
}

impl WarmupMetrics {
    /// Creates and registers the metrics, all at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            endpoints: Gauge::default(),
            placed: Counter::default(),
            rate: Gauge::default(),
            refused: Family::default(),
        };
        let registry = registry.sub_registry_with_prefix("warmup");
        registry.register(
            "endpoints",
            "Endpoints in their slow start to which new flows are limited",
            metrics.endpoints.clone(),
        );
        registry.register(
            "placed",
            "Flows placed at such endpoints",
            metrics.placed.clone(),
        );
        registry.register(
            "rate",
            "New flows a second that this entry may open to such endpoints together",
            metrics.rate.clone(),
        );
        registry.register(
            "refused",
            "Flows refused because only such endpoints were left, by cause",
            metrics.refused.clone(),
        );
        metrics
    }

    /// Sets the metrics from what the pool has counted, and from the endpoints that are limited and
    /// this entry's share of their rates.
    pub fn update(&self, count: WarmupCount, (endpoints, rate): (usize, f32)) {
        let endpoints = gauge(endpoints);
        let former = self.endpoints.set(endpoints);
        let (placed, refused) = (count.placed, count.foreign + count.spent);
        match (former, endpoints) {
            (0, 1..) => {
                log::info!(endpoints, rate, placed, refused; "new flows to endpoints in their slow start are limited");
            }
            (1.., 0) => {
                log::info!(placed, refused; "no endpoint with a limit is in its slow start any more");
            }
            _ => {}
        }
        self.rate.set(rate.into());
        raise(&self.placed, placed);
        for (cause, count) in [("foreign", count.foreign), ("spent", count.spent)] {
            raise(&self.refused.get_or_create(&CauseLabel { cause }), count);
        }
    }
}

/// Raises a counter to a count.
fn raise(counter: &Counter, count: u64) {
    counter.inc_by(count.saturating_sub(counter.get()));
}
