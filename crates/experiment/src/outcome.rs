//! What became of the requests of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    kind::Kind,
    scenario::millis, //
};

/// What became of the requests of one kind.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct KindOutcome {
    /// Requests that were given up.
    pub failed: u32,
    /// Answers within the latency objective.
    pub in_time: u32,
    /// Later answers.
    pub late: u32,
    /// Name of the kind.
    pub name: Box<str>,
    /// Requests.
    pub owed: u32,
    /// Requests that were refused to the end, and have not run.
    pub refused: u32,
    /// Response times, in microseconds.
    #[serde(skip)]
    times: Histogram<u64>,
    /// Worth of the answers.
    pub worth: f64,
    /// Worth if all were in time.
    pub worth_owed: f64,
}

/// What became of the requests of a run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Outcome {
    /// By kind.
    pub kinds: Vec<KindOutcome>,
}

impl KindOutcome {
    fn new(kind: &Kind) -> Option<Self> {
        Some(Self {
            failed: 0,
            in_time: 0,
            late: 0,
            name: kind.name.clone(),
            owed: 0,
            refused: 0,
            times: Histogram::new(3).ok()?,
            worth: 0.0,
            worth_owed: 0.0,
        })
    }

    /// A percentile of the response times, in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        let micros = self.times.value_at_percentile(percentile);
        u32::try_from(micros).map_or(f64::INFINITY, f64::from) / 1000.0
    }
}

impl Outcome {
    /// Creates the outcome of a run without requests.
    pub fn new(kinds: &[Kind]) -> Self {
        Self {
            kinds: kinds.iter().filter_map(KindOutcome::new).collect(),
        }
    }

    /// Worth of the answers as a share of what was owed.
    pub fn worth(&self) -> f64 {
        let owed: f64 = self.kinds.iter().map(|kind| kind.worth_owed).sum();
        let worth: f64 = self.kinds.iter().map(|kind| kind.worth).sum();
        match owed > 0.0 {
            true => worth / owed,
            false => 1.0,
        }
    }

    /// The part of all requests that `count` picks.
    pub fn share(&self, count: impl Fn(&KindOutcome) -> u32) -> f64 {
        let owed: u32 = self.kinds.iter().map(|kind| kind.owed).sum();
        let counted: u32 = self.kinds.iter().map(count).sum();
        f64::from(counted) / f64::from(owed.max(1))
    }

    /// Records a request.
    pub fn record_owed(&mut self, number: usize, kind: &Kind) {
        if let Some(outcome) = self.kinds.get_mut(number) {
            outcome.owed += 1;
            outcome.worth_owed += kind.worth;
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self, number: usize, kind: &Kind, time: Duration) {
        let Some(outcome) = self.kinds.get_mut(number) else {
            return;
        };
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        outcome.times.saturating_record(micros);
        if time <= millis(kind.aim_ms) {
            outcome.in_time += 1;
            outcome.worth += kind.worth;
        } else {
            outcome.late += 1;
            outcome.worth += kind.late_worth;
        }
    }

    /// Records a request that was given up.
    pub fn record_failure(&mut self, number: usize) {
        if let Some(outcome) = self.kinds.get_mut(number) {
            outcome.failed += 1;
        }
    }

    /// Records a request that was refused to the end.
    pub fn record_refusal(&mut self, number: usize) {
        if let Some(outcome) = self.kinds.get_mut(number) {
            outcome.refused += 1;
        }
    }
}
