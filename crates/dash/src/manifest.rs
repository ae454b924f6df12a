//! Manifests. A recorded title goes out as a dynamic presentation (ISO/IEC 23009-1, 5.3.1.2) that began with the
//! viewing, all of its segments available from the start: players ask again after `minimumUpdatePeriod`, which is how
//! a change of rung or a renewed token reaches them. Why this and not events or a static one: `docs/session-front.md`.

use chrono::DateTime;
use dash_mpd_core::{
    AdaptationSet, BaseURL, Location, MPD, Period, Representation, SegmentTemplate, UTCTiming,
};
use std::time::Duration;

const PROFILE: &str = "urn:mpeg:dash:profile:isoff-live:2011";
const TIMESCALE: f64 = 1000.0;

/// A manifest for one viewing. `base`: where its segments lie, with the token; `again`: where to ask for the manifest
/// again; `rates`: kB a second of the rungs offered, from the lowest; `began`: date of the viewing's begin, the same in
/// each of its manifests; `now`: the date of this one.
pub fn manifest(
    title: &str, base: &str, again: &str, rates: &[f64],
    (length, segment, refresh): (Duration, Duration, Duration), (began, now): (Duration, Duration),
) -> String {
    let date = |at: Duration| DateTime::from_timestamp(at.as_secs() as i64, 0);
    // Guards against a player whose clock is wrong: it goes by ours (5.8.4.11).
    let clock = UTCTiming {
        schemeIdUri: "urn:mpeg:dash:utc:direct:2014".into(),
        value: date(now).map(|now| now.format("%Y-%m-%dT%H:%M:%SZ").to_string()),
        ..Default::default()
    };
    let representation = |(rung, kb): (usize, &f64)| Representation {
        id: Some(format!("r{rung}")),
        bandwidth: Some((kb * 8000.0).ceil() as u64),
        ..Default::default()
    };
    let segments = SegmentTemplate {
        media: Some("$RepresentationID$/$Number$.m4s".into()),
        initialization: Some("$RepresentationID$/init.mp4".into()),
        timescale: Some(TIMESCALE as u64),
        duration: Some((segment.as_secs_f64() * TIMESCALE).round()),
        startNumber: Some(1),
        availabilityTimeOffset: Some(length.as_secs_f64().ceil()),
        ..Default::default()
    };
    let set = AdaptationSet {
        id: Some("0".into()),
        contentType: Some("video".into()),
        mimeType: Some("video/mp4".into()),
        codecs: Some("avc1.640028".into()),
        segmentAlignment: Some(true),
        startWithSAP: Some(1),
        SegmentTemplate: Some(segments),
        representations: rates.iter().enumerate().map(representation).collect(),
        ..Default::default()
    };
    let period = Period {
        id: Some(title.into()),
        start: Some(Duration::ZERO),
        duration: Some(length),
        adaptations: vec![set],
        ..Default::default()
    };
    let mpd = MPD {
        xmlns: Some("urn:mpeg:dash:schema:mpd:2011".into()),
        profiles: Some(PROFILE.into()),
        mpdtype: Some("dynamic".into()),
        availabilityStartTime: date(began),
        publishTime: date(now),
        mediaPresentationDuration: Some(length),
        minimumUpdatePeriod: Some(refresh),
        minBufferTime: Some(segment),
        maxSegmentDuration: Some(segment),
        suggestedPresentationDelay: Some(Duration::ZERO),
        locations: vec![Location { url: again.into() }],
        base_url: vec![BaseURL { base: base.into(), ..Default::default() }],
        periods: vec![period],
        UTCTiming: vec![clock],
        ..Default::default()
    };
    format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{mpd}\n")
}

/// What a manifest tells its player: the address of the segments, that of the next manifest, the number of rungs, and
/// after which span to ask again.
///
/// # Errors
/// It is no manifest, or one of these is missing.
pub fn read(text: &str) -> Result<(String, String, usize, Duration), String> {
    let mpd = dash_mpd_core::parse(text).map_err(|e| e.to_string())?;
    let base = mpd.base_url.first().ok_or("BaseURL is missing")?.base.clone();
    let again = mpd.locations.first().ok_or("Location is missing")?.url.clone();
    let set = mpd.periods.first().and_then(|period| period.adaptations.first());
    let rungs = set.ok_or("no AdaptationSet")?.representations.len();
    if rungs == 0 {
        return Err("no Representation".into());
    }
    let refresh = mpd.minimumUpdatePeriod.ok_or("minimumUpdatePeriod is missing")?;
    Ok((base, again, rungs, refresh))
}

/// How far a player's clock lies behind the date that a manifest gives, in milliseconds; none where it gives none.
pub fn behind(text: &str, own: Duration) -> Option<i64> {
    let mpd = dash_mpd_core::parse(text).ok()?;
    let value = mpd.UTCTiming.first()?.value.clone()?;
    let date = DateTime::parse_from_rfc3339(&value).ok()?.timestamp_millis();
    Some(date - i64::try_from(own.as_millis()).ok()?)
}

/// From which date a manifest's first segment may be asked for: all are offered from the presentation's begin on.
pub fn available(text: &str) -> Option<Duration> {
    let begin = dash_mpd_core::parse(text).ok()?.availabilityStartTime?.timestamp();
    u64::try_from(begin).ok().map(Duration::from_secs)
}
