//! Parsing and formatting of percentages, durations and points in time.

use toml::value::{Datetime, Offset};

use crate::config::Share;
use crate::ids::Millis;

/// Number of decimals of a percentage that a [`Share`] can represent.
const PERCENT_DECIMALS: usize = 4;

/// Units of durations and their lengths in milliseconds, in descending order.
const UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("m", 60_000),
    ("s", 1000),
    ("ms", 1),
];

/// Parses a percentage from 0 to 100, without a percent sign. Returns `None` if the result would
/// have to be rounded.
pub fn parse_percent(text: &str) -> Option<Share> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    let decimals = decimals.trim_end_matches('0');
    if decimals.len() > PERCENT_DECIMALS || !decimals.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let whole: u32 = whole.strip_prefix('+').unwrap_or(whole).parse().ok()?;
    let decimals: u32 = format!("{decimals:0<PERCENT_DECIMALS$}").parse().ok()?;
    let share = whole.checked_mul(10_000)?.checked_add(decimals)?;
    (share <= Share::ALL.0).then_some(Share(share))
}

/// Formats a share as a percentage, with a percent sign and only the necessary decimals.
pub fn format_percent(share: Share) -> String {
    let text = format!("{}.{:04}", share.0 / 10_000, share.0 % 10_000);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

/// Parses a duration that consists of a whole number and one of the units `d`, `h`, `m`, `s` and
/// `ms`, without a space.
pub fn parse_duration(text: &str) -> Option<Millis> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, factor) = UNITS.iter().find(|(name, _)| *name == unit)?;
    let number: u64 = number.parse().ok()?;
    number.checked_mul(*factor).map(Millis)
}

/// Formats a duration in the largest unit that represents it as a whole number.
pub fn format_duration(duration: Millis) -> String {
    for (name, factor) in UNITS {
        if duration.0 > 0 && duration.0.is_multiple_of(factor) {
            return format!("{}{name}", duration.0 / factor);
        }
    }
    "0s".to_owned()
}

/// Parses a point in time with an offset, as in RFC 3339. Returns `None` for times before the Unix
/// epoch. Fractions of a millisecond are dropped.
pub fn parse_time(text: &str) -> Option<Millis> {
    let time: Datetime = text.parse().ok()?;
    let (date, time_of_day) = (time.date?, time.time?);
    let offset = match time.offset? {
        Offset::Z => 0,
        Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days_from_epoch(
        i64::from(date.year),
        i64::from(date.month),
        i64::from(date.day),
    );
    let minutes =
        (days * 24 + i64::from(time_of_day.hour)) * 60 + i64::from(time_of_day.minute) - offset;
    let seconds = minutes * 60 + i64::from(time_of_day.second.unwrap_or(0));
    let millis = seconds * 1000 + i64::from(time_of_day.nanosecond.unwrap_or(0) / 1_000_000);
    u64::try_from(millis).ok().map(Millis)
}

/// Formats a point in time as in RFC 3339, in UTC and with a resolution of one second.
pub fn format_time(time: Millis) -> String {
    let seconds = time.0 / 1000;
    let (year, month, day) = date_from_epoch((seconds / 86_400) as i64);
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns the number of days from 1970-01-01 to a date of the Gregorian calendar. The computation
/// uses years that begin in March, so that a leap day is the last day of its year.
fn days_from_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}

/// Returns the year, month and day of a number of days. This is the inverse of [`days_from_epoch`].
fn date_from_epoch(days: i64) -> (i64, i64, i64) {
    let days = days + 719_468;
    let era = days.div_euclid(146_097);
    let day_of_era = days.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = (shifted_month + 2) % 12 + 1;
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}
