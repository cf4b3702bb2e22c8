//! The process's metrics, in the Prometheus text format.

use codes::Code;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::encode, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry, //
};

/// The label of counters by result code.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct CodeLabel {
    /// Number of the code.
    pub code: u16,
}

/// The label of counters by service.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// All metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    /// Whether this entry knows all claims on its idempotency keys: 1 or 0.
    pub claims: Gauge,
    /// Endpoints under a lease.
    pub endpoints: Gauge,
    /// Other instances that are present.
    pub instances: Gauge,
    /// Packets forwarded to endpoints.
    pub packets: Counter,
    /// Refusals by result code.
    pub refusals: Family<CodeLabel, Counter>,
    /// Answered requests by service.
    pub requests: Family<ServiceLabel, Counter>,
    /// Revision of the document in force.
    pub revision: Gauge,
    registry: Registry,
}

impl Metrics {
    /// Creates the metrics, all at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            claims: Gauge::default(),
            endpoints: Gauge::default(),
            instances: Gauge::default(),
            packets: Counter::default(),
            refusals: Family::default(),
            registry: Registry::with_prefix("mimosausher"),
            requests: Family::default(),
            revision: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Counts a refusal.
    pub fn refuse(&self, code: Code) {
        let label = CodeLabel {
            code: code.number(),
        };
        self.refusals.get_or_create(&label).inc();
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "claims_known",
            "Whether this entry knows all claims on its idempotency keys",
            self.claims.clone(),
        );
        registry.register(
            "endpoints",
            "Endpoints under a lease",
            self.endpoints.clone(),
        );
        registry.register(
            "instances",
            "Other instances that are present",
            self.instances.clone(),
        );
        registry.register(
            "packets",
            "Packets forwarded to endpoints",
            self.packets.clone(),
        );
        registry.register("refusals", "Refusals by result code", self.refusals.clone());
        registry.register(
            "requests",
            "Answered requests by service",
            self.requests.clone(),
        );
        registry.register(
            "revision",
            "Revision of the document in force",
            self.revision.clone(),
        );
    }
}
