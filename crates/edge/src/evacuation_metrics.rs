//! Metrics of evacuations.

use prometheus_client::{
    metrics::gauge::Gauge,
    registry::Registry, //
};
use store::Evacuated;

use crate::metrics::gauge;

/// Metrics of evacuations.
#[derive(Clone, Debug)]
pub struct EvacuationMetrics {
    /// Evacuated data centres.
    centres: Gauge,
    /// Revision of the evacuated data centres.
    revision: Gauge,
}

impl EvacuationMetrics {
    /// Creates and registers the metrics, all at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            centres: Gauge::default(),
            revision: Gauge::default(),
        };
        registry.register(
            "evacuated",
            "Evacuated data centres",
            metrics.centres.clone(),
        );
        registry.register(
            "evacuated_revision",
            "Revision of the evacuated data centres",
            metrics.revision.clone(),
        );
        metrics
    }

    /// Sets the evacuated data centres.
    pub fn set(&self, evacuated: &Evacuated) {
        self.centres.set(gauge(evacuated.centres.len()));
        let revision = i64::try_from(evacuated.revision.0).unwrap_or(i64::MAX);
        self.revision.set(revision);
    }
}
