//! Formatting of timestamps.

/// Days from 1 March of year 0 to the Unix epoch.
const EPOCH_DAYS: u64 = 719_468;

/// Days in the 400-year cycle of the Gregorian calendar.
const ERA_DAYS: u64 = 146_097;

/// Milliseconds in a day.
const DAY_MILLIS: u64 = 86_400_000;

/// Formats milliseconds since the Unix epoch as an RFC 3339 timestamp in UTC.
pub fn format(millis: u64) -> String {
    let (year, month, day) = civil_date(millis / DAY_MILLIS);
    let seconds = millis % DAY_MILLIS / 1_000;
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    format!(
        "{year:04}-{month:02}-{day:02}T{hours:02}:{minutes:02}:{:02}.{:03}Z",
        seconds % 60,
        millis % 1_000
    )
}

/// Converts days since the Unix epoch to year, month and day.
///
/// Counts in years that start in March, so that a leap day is the last day of its year.
const fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let era = days / ERA_DAYS;
    let era_day = days % ERA_DAYS;
    let era_year = (era_day - era_day / 1_460 + era_day / 36_524 - era_day / 146_096) / 365;
    let year_day = era_day - (365 * era_year + era_year / 4 - era_year / 100);
    let march_month = (5 * year_day + 2) / 153;
    let day = year_day - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = era_year + era * 400;
    let year = if month <= 2 { year + 1 } else { year };
    (year, month, day)
}
