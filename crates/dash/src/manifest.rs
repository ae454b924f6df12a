//! Writes and reads manifests.
//!
//! A recorded title is served as a dynamic presentation (ISO/IEC 23009-1, 5.3.1.2) that begins with the
//! viewing, with all segments available from the start. Players fetch the manifest again after
//! `minimumUpdatePeriod`, and so learn of a changed rung or a renewed token. `docs/session-front.md`
//! compares this with events and with a static presentation.

use chrono::DateTime;
use dash_mpd_core::{
    AdaptationSet, BaseURL, Location, MPD, Period, Representation, SegmentTemplate, UTCTiming,
};
use std::time::Duration;

/// Profile of the manifests: ISO base media file format, live.
const PROFILE: &str = "urn:mpeg:dash:profile:isoff-live:2011";
/// Units per second of the segment durations in a manifest.
const TIMESCALE: f64 = 1000.0;

/// Returns a manifest for one viewing.
///
/// `base` is the address of the segments, with the token, and `location` the address of the next
/// manifest. `rates` are the offered rungs in kB/s, from the lowest. `began_at` is the date on which the
/// viewing began, the same in each of its manifests, and `now` is the date of this one.
pub fn manifest(
    title: &str, base: &str, location: &str, rates: &[f64],
    (presentation_duration, segment_duration, update_period): (Duration, Duration, Duration),
    (began_at, now): (Duration, Duration),
) -> String {
    let date = |at: Duration| DateTime::from_timestamp(at.as_secs() as i64, 0);
    // Guards against a player whose clock is wrong: it uses this date instead (5.8.4.11).
    let utc_timing = UTCTiming {
        schemeIdUri: "urn:mpeg:dash:utc:direct:2014".into(),
        value: date(now).map(|now| now.format("%Y-%m-%dT%H:%M:%SZ").to_string()),
        ..Default::default()
    };
    let representation = |(rung, rate_kb): (usize, &f64)| Representation {
        id: Some(format!("r{rung}")),
        bandwidth: Some((rate_kb * 8000.0).ceil() as u64),
        ..Default::default()
    };
    let segment_template = SegmentTemplate {
        media: Some("$RepresentationID$/$Number$.m4s".into()),
        initialization: Some("$RepresentationID$/init.mp4".into()),
        timescale: Some(TIMESCALE as u64),
        duration: Some((segment_duration.as_secs_f64() * TIMESCALE).round()),
        startNumber: Some(1),
        availabilityTimeOffset: Some(presentation_duration.as_secs_f64().ceil()),
        ..Default::default()
    };
    let adaptation_set = AdaptationSet {
        id: Some("0".into()),
        contentType: Some("video".into()),
        mimeType: Some("video/mp4".into()),
        codecs: Some("avc1.640028".into()),
        segmentAlignment: Some(true),
        startWithSAP: Some(1),
        SegmentTemplate: Some(segment_template),
        representations: rates.iter().enumerate().map(representation).collect(),
        ..Default::default()
    };
    let period = Period {
        id: Some(title.into()),
        start: Some(Duration::ZERO),
        duration: Some(presentation_duration),
        adaptations: vec![adaptation_set],
        ..Default::default()
    };
    let mpd = MPD {
        xmlns: Some("urn:mpeg:dash:schema:mpd:2011".into()),
        profiles: Some(PROFILE.into()),
        mpdtype: Some("dynamic".into()),
        availabilityStartTime: date(began_at),
        publishTime: date(now),
        mediaPresentationDuration: Some(presentation_duration),
        minimumUpdatePeriod: Some(update_period),
        minBufferTime: Some(segment_duration),
        maxSegmentDuration: Some(segment_duration),
        suggestedPresentationDelay: Some(Duration::ZERO),
        locations: vec![Location { url: location.into() }],
        base_url: vec![BaseURL { base: base.into(), ..Default::default() }],
        periods: vec![period],
        UTCTiming: vec![utc_timing],
        ..Default::default()
    };
    format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{mpd}\n")
}

/// Reads what a player needs from a manifest: the address of the segments, that of the next manifest, the
/// number of rungs, and the time until the next update.
///
/// # Errors
/// Returns an error if the text is no manifest or one of these is missing.
pub fn read(text: &str) -> Result<(String, String, usize, Duration), String> {
    let mpd = dash_mpd_core::parse(text).map_err(|e| e.to_string())?;
    let base = mpd.base_url.first().ok_or("BaseURL is missing")?.base.clone();
    let location = mpd.locations.first().ok_or("Location is missing")?.url.clone();
    let adaptation_set = mpd.periods.first().and_then(|period| period.adaptations.first());
    let rungs = adaptation_set.ok_or("AdaptationSet is missing")?.representations.len();
    if rungs == 0 {
        return Err("Representation is missing".into());
    }
    let update_period = mpd.minimumUpdatePeriod.ok_or("minimumUpdatePeriod is missing")?;
    Ok((base, location, rungs, update_period))
}

/// Returns how far a player's clock is behind a manifest's date, in milliseconds; none without such a date.
pub fn clock_lag_ms(text: &str, player_clock: Duration) -> Option<i64> {
    let mpd = dash_mpd_core::parse(text).ok()?;
    let value = mpd.UTCTiming.first()?.value.clone()?;
    let date_ms = DateTime::parse_from_rfc3339(&value).ok()?.timestamp_millis();
    Some(date_ms - i64::try_from(player_clock.as_millis()).ok()?)
}

/// Returns the date from which a manifest's segments are available: the begin of the presentation.
pub fn available_from(text: &str) -> Option<Duration> {
    let begin = dash_mpd_core::parse(text).ok()?.availabilityStartTime?.timestamp();
    u64::try_from(begin).ok().map(Duration::from_secs)
}
