const MS_PER_DAY: u64 = 86_400_000;

/// formats a Unix time in milliseconds as `YYYY-MM-DD hh:mm:ss.mmm` in UTC.
pub fn format_utc(unix_ms: u64) -> String {
    let (year, month, day) = civil_date(unix_ms / MS_PER_DAY);
    let ms = unix_ms % MS_PER_DAY;
    let (hour, minute, second) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}.{:03}", ms % 1_000)
}

/// converts days since the Unix epoch to year, month and day in the proleptic Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // Years start on 1 March here, so that the leap day is the last day of its year.
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
