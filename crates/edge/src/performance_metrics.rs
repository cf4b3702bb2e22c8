//! Metrics of what an entry learns of the endpoints' performance.

use prometheus_client::{
    metrics::{
        counter::Counter,
        gauge::Gauge, //
    },
    registry::Registry,
};

/// Metrics of what an entry learns of the endpoints' performance.
#[derive(Clone, Debug, Default)]
pub struct PerformanceMetrics {
    /// Endpoints of which enough is known to compare them.
    pub known: Gauge,
    /// Endpoints that get fewer flows because they answer slowly or fail.
    pub poor: Gauge,
    /// Changes of an endpoint to such a one or back.
    pub changes: Counter,
}

impl PerformanceMetrics {
    /// Creates and registers the metrics, all at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let registry = registry.sub_registry_with_prefix("performance");
        registry.register(
            "known",
            "Endpoints of which enough is known to compare them",
            metrics.known.clone(),
        );
        registry.register(
            "poor",
            "Endpoints that get fewer flows because they answer slowly or fail",
            metrics.poor.clone(),
        );
        registry.register(
            "changes",
            "Changes of an endpoint to such a one or back",
            metrics.changes.clone(),
        );
        metrics
    }
}
