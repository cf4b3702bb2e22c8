//! Metrics of an entry's link.

use std::{
    sync::atomic::AtomicU64,
    time::Duration, //
};

use prometheus_client::{
    metrics::{
        counter::Counter,
        gauge::Gauge,
        histogram::Histogram, //
    },
    registry::Registry,
};

/// Upper bounds of the histogram's buckets, in seconds: from a few packets to the longest wait.
const BUCKETS: [f64; 7] = [0.01, 0.03, 0.1, 0.2, 0.6, 1.2, 3.0];

/// Metrics of an entry's link.
#[derive(Clone, Debug)]
pub struct LinkMetrics {
    /// Bytes that wait.
    pub bytes: Gauge,
    /// Packets dropped because the queue was full.
    pub dropped: Counter,
    /// Rate at which packets leave, in bytes a second.
    pub rate: Gauge<f64, AtomicU64>,
    /// Retransmissions of packets that waited, which were not sent.
    pub repeats: Counter,
    waits: Histogram,
}

impl LinkMetrics {
    /// Creates and registers the metrics, all at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            bytes: Gauge::default(),
            dropped: Counter::default(),
            rate: Gauge::default(),
            repeats: Counter::default(),
            waits: Histogram::new(BUCKETS),
        };
        let registry = registry.sub_registry_with_prefix("link");
        registry.register(
            "bytes",
            "Bytes that wait for the link",
            metrics.bytes.clone(),
        );
        registry.register(
            "dropped",
            "Packets dropped by a full queue",
            metrics.dropped.clone(),
        );
        registry.register(
            "rate_bytes",
            "Rate at which packets leave, in bytes a second",
            metrics.rate.clone(),
        );
        registry.register(
            "repeats",
            "Retransmissions of waiting packets, not sent",
            metrics.repeats.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time that packets waited for the link",
            metrics.waits.clone(),
        );
        metrics
    }

    /// Records how long a packet waited.
    pub fn observe_wait(&self, time: Duration) {
        self.waits.observe(time.as_secs_f64());
    }
}
