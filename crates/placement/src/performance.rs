//! How well an endpoint answers at each level of load.

use std::time::Duration;

/// Time constant with which observations fade: a few dozen requests of a busy endpoint, and short
/// enough to follow an endpoint that slows down or recovers.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Observations that the expectation counts for. Noise of the first few requests must not decide,
/// and an endpoint that was not observed for a while is tried again.
const PRIOR_COUNT: f64 = 4.0;

/// Bounds of a relative time. An endpoint that fails at once looks fast, so that a low time says
/// little; the upper bound limits for how long an endpoint is avoided.
const MIN_TIME: f64 = 0.5;
const MAX_TIME: f64 = 10.0;

/// Largest relative time that counts for one request: few requests have most of the work.
const MAX_SAMPLE: f64 = 8.0;

/// Relative time for which a failure counts: its client tries again at least, after a pause.
const FAILURE_TIME: f64 = 10.0;

/// Count below which a level is not worth reporting.
const MIN_COUNT: f64 = 1.0 / 32.0;

/// Load of an endpoint when it got a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// At most half of its slots are taken.
    Light,
    /// At most all of its slots are taken.
    Moderate,
    /// Requests wait for slots.
    Queued,
}

impl Level {
    /// All levels, lightest first.
    pub const ALL: [Self; 3] = [Self::Light, Self::Moderate, Self::Queued];

    /// The level at a number of requests for each slot, the next one included.
    pub(crate) fn new(crowding: f64) -> Self {
        match crowding {
            crowding if crowding <= 0.5 => Self::Light,
            crowding if crowding <= 1.0 => Self::Moderate,
            _ => Self::Queued,
        }
    }
}

/// Observations at one level of load, of which older ones count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observations {
    /// Their number.
    pub count: f64,
    /// Sum of their relative times.
    pub time: f64,
}

impl Observations {
    fn scaled(self, factor: f64) -> Self {
        let kept = self.count * factor >= MIN_COUNT;
        match kept {
            true => Self {
                count: self.count * factor,
                time: self.time * factor,
            },
            false => Self::default(),
        }
    }
}

/// How well an endpoint answers at each level of load, relative to the other endpoints of its
/// service: 1 is as fast as the mean for the same kind of request.
///
/// Times are those of requests that do not wait: what the number of requests explains is taken out.
/// A level whose times are higher than those below it shows an endpoint that slows down before its
/// slots are full.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Performance {
    /// When the observations counted as they are given.
    at: Duration,
    levels: [Observations; 3],
}

impl Performance {
    /// Creates the performance from observations by level, lightest first, as they count now.
    pub const fn new(now: Duration, levels: [Observations; 3]) -> Self {
        Self { at: now, levels }
    }

    /// The observations by level, lightest first, as they count now.
    pub fn levels(&self, now: Duration) -> [Observations; 3] {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let factor = (-age / TIME_CONSTANT.as_secs_f64()).exp();
        self.levels.map(|level| level.scaled(factor))
    }

    /// Number of observations as they count now.
    pub fn count(&self, now: Duration) -> f64 {
        self.levels(now).iter().map(|level| level.count).sum()
    }

    /// Records the relative time of a request.
    pub(crate) fn record(&mut self, now: Duration, level: Level, time: f64) {
        self.add_sample(now, level, time.min(MAX_SAMPLE));
    }

    /// Records a request or an opening packet that was not answered.
    pub(crate) fn record_failure(&mut self, now: Duration, level: Level) {
        self.add_sample(now, level, FAILURE_TIME);
    }

    /// Adds the observations of another source.
    pub fn add(&mut self, now: Duration, other: &Self) {
        self.combine(now, other, |mine, theirs| mine + theirs);
    }

    /// Removes observations that were added earlier.
    pub fn remove(&mut self, now: Duration, other: &Self) {
        self.combine(now, other, |mine, theirs| (mine - theirs).max(0.0));
    }

    /// Expected relative time of a request that does not wait, at a level of load.
    ///
    /// A level is expected to be as fast as the one below it, until observations show otherwise.
    pub fn time(&self, now: Duration, level: Level) -> f64 {
        let mut expected = 1.0;
        for (known, observed) in Level::ALL.into_iter().zip(self.levels(now)) {
            let time = observed.time + PRIOR_COUNT * expected;
            expected = (time / (observed.count + PRIOR_COUNT)).clamp(MIN_TIME, MAX_TIME);
            if known == level {
                break;
            }
        }
        expected
    }

    fn add_sample(&mut self, now: Duration, level: Level, time: f64) {
        self.levels = self.levels(now);
        self.at = now;
        let levels = Level::ALL.into_iter().zip(&mut self.levels);
        for (_, observed) in levels.filter(|(known, _)| *known == level) {
            observed.count += 1.0;
            observed.time += time;
        }
    }

    fn combine(&mut self, now: Duration, other: &Self, operation: impl Fn(f64, f64) -> f64) {
        self.levels = self.levels(now);
        self.at = now;
        for (mine, theirs) in self.levels.iter_mut().zip(other.levels(now)) {
            mine.count = operation(mine.count, theirs.count);
            mine.time = operation(mine.time, theirs.time);
        }
    }
}
