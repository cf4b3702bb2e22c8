//! Times as people read them.

/// Days from the first of March of the year 0 to the Unix epoch.
const EPOCH_DAYS: u64 = 719_468;

/// Days of 400 years.
const ERA_DAYS: u64 = 146_097;

/// Milliseconds of a day.
const DAY_MILLIS: u64 = 86_400_000;

/// A time in milliseconds since the Unix epoch, as RFC 3339 writes it, in UTC.
pub fn text(millis: u64) -> String {
    let (year, month, day) = date(millis / DAY_MILLIS);
    let seconds = millis % DAY_MILLIS / 1_000;
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    format!(
        "{year:04}-{month:02}-{day:02}T{hours:02}:{minutes:02}:{:02}.{:03}Z",
        seconds % 60,
        millis % 1_000
    )
}

/// Year, month and day of a day since the Unix epoch, counted in years that start in March.
const fn date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let era = days / ERA_DAYS;
    let rest = days % ERA_DAYS;
    let years = (rest - rest / 1_460 + rest / 36_524 - rest / 146_096) / 365;
    let rest = rest - (365 * years + years / 4 - years / 100);
    let shifted = (5 * rest + 2) / 153;
    let day = rest - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 {
        shifted + 3
    } else {
        shifted - 9
    };
    let year = years + era * 400;
    let year = if month <= 2 { year + 1 } else { year };
    (year, month, day)
}
