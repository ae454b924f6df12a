//! What a manifest of ours must be, apart from how it is written: a check of its own for every manifest that tests and
//! days are served. It names what the profile demands (ISO/IEC 23009-1, 5.3 and 8.4) and what we promise beside it.

use dash_mpd_core::MPD;

/// What is wrong with a manifest, in words; nothing for one that is right. `server`: the address that all segments must
/// lie at; `most`: the highest rung in force; `before`: the manifest before it of the same tune-in.
pub fn faults(text: &str, server: &str, most: usize, before: Option<&str>) -> Vec<String> {
    let mpd = match dash_mpd_core::parse(text) {
        Ok(mpd) => mpd,
        Err(error) => return vec![format!("can't be read: {error}")],
    };
    let mut faults = alone(&mpd, server, most);
    if let Some(Ok(before)) = before.map(dash_mpd_core::parse) {
        after(&mpd, &before, &mut faults);
    }
    faults
}

fn alone(mpd: &MPD, server: &str, most: usize) -> Vec<String> {
    let mut faults = vec![];
    let mut must = |holds: bool, what: &str| faults.extend((!holds).then(|| what.to_string()));
    must(mpd.mpdtype.as_deref() == Some("dynamic"), "MPD@type is not dynamic");
    must(mpd.profiles.as_deref().is_some_and(|p| p.contains("isoff-live")), "MPD@profiles is missing");
    must(mpd.minBufferTime.is_some(), "MPD@minBufferTime is missing");
    must(mpd.availabilityStartTime.is_some(), "MPD@availabilityStartTime is missing");
    must(mpd.publishTime.is_some(), "MPD@publishTime is missing");
    must(mpd.publishTime >= mpd.availabilityStartTime, "MPD@publishTime lies before the begin");
    must(mpd.minimumUpdatePeriod.is_some_and(|span| !span.is_zero()), "MPD@minimumUpdatePeriod is missing");
    must(mpd.mediaPresentationDuration.is_some(), "MPD@mediaPresentationDuration is missing");
    must(mpd.UTCTiming.len() == 1 && mpd.UTCTiming[0].value.is_some(), "UTCTiming is missing");
    must(mpd.locations.len() == 1, "not one Location");
    must(mpd.base_url.len() == 1, "not one BaseURL");
    let base = mpd.base_url.first().map_or("", |base| base.base.as_str());
    must(
        base.starts_with(&format!("http://{server}/")) && base.ends_with('/'),
        "BaseURL is not the server's",
    );
    let [period] = mpd.periods.as_slice() else {
        faults.push("not one Period".into());
        return faults;
    };
    must(period.id.is_some(), "Period@id is missing");
    must(period.start.is_some_and(|start| start.is_zero()), "the Period doesn't start at 0");
    must(period.duration == mpd.mediaPresentationDuration, "the Period doesn't last the whole presentation");
    must(period.BaseURL.is_empty(), "a BaseURL below the MPD");
    let [set] = period.adaptations.as_slice() else {
        faults.push("not one AdaptationSet".into());
        return faults;
    };
    must(set.id.is_some(), "AdaptationSet@id is missing");
    must(set.mimeType.is_some() && set.codecs.is_some(), "AdaptationSet@mimeType or @codecs is missing");
    must(set.BaseURL.is_empty(), "a BaseURL in the AdaptationSet");
    match &set.SegmentTemplate {
        None => must(false, "SegmentTemplate is missing"),
        Some(segments) => {
            let named = |text: &Option<String>, parts: &[&str]| {
                text.as_ref().is_some_and(|text| parts.iter().all(|part| text.contains(part)))
            };
            must(named(&segments.media, &["$RepresentationID$", "$Number$"]), "SegmentTemplate@media");
            must(named(&segments.initialization, &["$RepresentationID$"]), "SegmentTemplate@initialization");
            must(segments.duration.is_some_and(|span| span > 0.0), "SegmentTemplate@duration is missing");
            must(segments.timescale.is_some_and(|scale| scale > 0), "SegmentTemplate@timescale is missing");
            must(segments.startNumber == Some(1), "SegmentTemplate@startNumber is not 1");
        }
    }
    let rungs = &set.representations;
    must(!rungs.is_empty(), "no Representation");
    must(rungs.len() <= most + 1, "a Representation over the rung in force");
    for (rung, representation) in rungs.iter().enumerate() {
        must(representation.id.as_deref() == Some(&format!("r{rung}")), "a Representation's id");
        must(representation.bandwidth.is_some_and(|rate| rate > 0), "a Representation's bandwidth");
        must(representation.BaseURL.is_empty(), "a BaseURL in a Representation");
    }
    must(rungs.windows(2).all(|pair| pair[0].bandwidth < pair[1].bandwidth), "rungs that don't rise");
    faults
}

/// What must not change from one manifest to the next of a tune-in.
fn after(mpd: &MPD, before: &MPD, faults: &mut Vec<String>) {
    let mut must = |holds: bool, what: &str| faults.extend((!holds).then(|| what.to_string()));
    must(mpd.availabilityStartTime == before.availabilityStartTime, "the begin moved between refreshes");
    must(mpd.publishTime >= before.publishTime, "MPD@publishTime went back");
    must(mpd.mediaPresentationDuration == before.mediaPresentationDuration, "the length changed");
    let segments = |mpd: &MPD| {
        let set = mpd.periods.first()?.adaptations.first()?;
        let template = set.SegmentTemplate.as_ref()?;
        let numbers = (template.timescale, template.startNumber);
        Some((set.id.clone(), template.media.clone(), numbers, template.duration.map(f64::to_bits)))
    };
    must(segments(mpd) == segments(before), "the timeline changed between refreshes");
    let period = |mpd: &MPD| mpd.periods.first().and_then(|period| period.id.clone());
    must(period(mpd) == period(before), "Period@id changed");
    let rates = |mpd: &MPD| -> Vec<_> {
        let set = mpd.periods.first().and_then(|period| period.adaptations.first());
        set.into_iter().flat_map(|set| &set.representations).map(|r| (r.id.clone(), r.bandwidth)).collect()
    };
    let (now, then) = (rates(mpd), rates(before));
    must(now.iter().zip(&then).all(|(now, then)| now == then), "a Representation changed between refreshes");
}
