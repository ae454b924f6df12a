//! Checks manifests independently of the code that writes them.
//!
//! Tests and scripted days check each manifest that they receive, against the profile (ISO/IEC 23009-1,
//! 5.3 and 8.4) and against this program's own guarantees.

use dash_mpd_core::MPD;

/// Returns descriptions of all faults of a manifest; none for a correct one.
///
/// All segments must be at the address `server`, and no rung above `max_rung` may be offered. `previous`
/// is the previous manifest of the same tune-in.
pub fn faults(text: &str, server: &str, max_rung: usize, previous: Option<&str>) -> Vec<String> {
    let mpd = match dash_mpd_core::parse(text) {
        Ok(mpd) => mpd,
        Err(error) => return vec![format!("the manifest can't be parsed: {error}")],
    };
    let mut faults = check_manifest(&mpd, server, max_rung);
    if let Some(Ok(previous_mpd)) = previous.map(dash_mpd_core::parse) {
        check_consistency(&mpd, &previous_mpd, &mut faults);
    }
    faults
}

/// Checks a manifest on its own.
fn check_manifest(mpd: &MPD, server: &str, max_rung: usize) -> Vec<String> {
    let mut faults = vec![];
    let mut require = |is_met: bool, fault: &str| faults.extend((!is_met).then(|| fault.to_string()));
    require(mpd.mpdtype.as_deref() == Some("dynamic"), "MPD@type is not dynamic");
    require(mpd.profiles.as_deref().is_some_and(|p| p.contains("isoff-live")), "MPD@profiles is missing");
    require(mpd.minBufferTime.is_some(), "MPD@minBufferTime is missing");
    require(mpd.availabilityStartTime.is_some(), "MPD@availabilityStartTime is missing");
    require(mpd.publishTime.is_some(), "MPD@publishTime is missing");
    require(
        mpd.publishTime >= mpd.availabilityStartTime,
        "MPD@publishTime is before MPD@availabilityStartTime",
    );
    require(
        mpd.minimumUpdatePeriod.is_some_and(|span| !span.is_zero()),
        "MPD@minimumUpdatePeriod is missing or zero",
    );
    require(mpd.mediaPresentationDuration.is_some(), "MPD@mediaPresentationDuration is missing");
    require(mpd.UTCTiming.len() == 1 && mpd.UTCTiming[0].value.is_some(), "UTCTiming is missing");
    require(mpd.locations.len() == 1, "the number of Location elements is not 1");
    require(mpd.base_url.len() == 1, "the number of BaseURL elements is not 1");
    let base = mpd.base_url.first().map_or("", |base| base.base.as_str());
    require(
        base.starts_with(&format!("http://{server}/")) && base.ends_with('/'),
        "BaseURL is not at the server's address",
    );
    let [period] = mpd.periods.as_slice() else {
        faults.push("the number of Period elements is not 1".into());
        return faults;
    };
    require(period.id.is_some(), "Period@id is missing");
    require(period.start.is_some_and(|start| start.is_zero()), "Period@start is not 0");
    require(
        period.duration == mpd.mediaPresentationDuration,
        "Period@duration is not MPD@mediaPresentationDuration",
    );
    require(period.BaseURL.is_empty(), "the Period has a BaseURL of its own");
    let [adaptation_set] = period.adaptations.as_slice() else {
        faults.push("the number of AdaptationSet elements is not 1".into());
        return faults;
    };
    require(adaptation_set.id.is_some(), "AdaptationSet@id is missing");
    require(
        adaptation_set.mimeType.is_some() && adaptation_set.codecs.is_some(),
        "AdaptationSet@mimeType or @codecs is missing",
    );
    require(adaptation_set.BaseURL.is_empty(), "the AdaptationSet has a BaseURL of its own");
    match &adaptation_set.SegmentTemplate {
        None => require(false, "SegmentTemplate is missing"),
        Some(segments) => {
            let contains_all = |text: &Option<String>, identifiers: &[&str]| {
                text.as_ref().is_some_and(|text| identifiers.iter().all(|part| text.contains(part)))
            };
            require(
                contains_all(&segments.media, &["$RepresentationID$", "$Number$"]),
                "SegmentTemplate@media lacks $RepresentationID$ or $Number$",
            );
            require(
                contains_all(&segments.initialization, &["$RepresentationID$"]),
                "SegmentTemplate@initialization lacks $RepresentationID$",
            );
            require(
                segments.duration.is_some_and(|span| span > 0.0),
                "SegmentTemplate@duration is missing or zero",
            );
            require(
                segments.timescale.is_some_and(|scale| scale > 0),
                "SegmentTemplate@timescale is missing or zero",
            );
            require(segments.startNumber == Some(1), "SegmentTemplate@startNumber is not 1");
        }
    }
    let rungs = &adaptation_set.representations;
    require(!rungs.is_empty(), "the AdaptationSet has no Representation");
    require(rungs.len() <= max_rung + 1, "a Representation is above the highest rung allowed");
    for (rung, representation) in rungs.iter().enumerate() {
        require(
            representation.id.as_deref() == Some(&format!("r{rung}")),
            "a Representation's id is not r and its rung",
        );
        require(
            representation.bandwidth.is_some_and(|rate| rate > 0),
            "a Representation's bandwidth is missing or zero",
        );
        require(representation.BaseURL.is_empty(), "a Representation has a BaseURL of its own");
    }
    require(
        rungs.windows(2).all(|pair| pair[0].bandwidth < pair[1].bandwidth),
        "the bandwidths of the Representations don't rise",
    );
    faults
}

/// Checks that nothing differs from the tune-in's previous manifest that must stay the same.
fn check_consistency(mpd: &MPD, previous_mpd: &MPD, faults: &mut Vec<String>) {
    let mut require = |is_met: bool, fault: &str| faults.extend((!is_met).then(|| fault.to_string()));
    require(
        mpd.availabilityStartTime == previous_mpd.availabilityStartTime,
        "MPD@availabilityStartTime changed between refreshes",
    );
    require(
        mpd.publishTime >= previous_mpd.publishTime,
        "MPD@publishTime is earlier than in the previous manifest",
    );
    require(
        mpd.mediaPresentationDuration == previous_mpd.mediaPresentationDuration,
        "MPD@mediaPresentationDuration changed between refreshes",
    );
    let segments = |mpd: &MPD| {
        let adaptation_set = mpd.periods.first()?.adaptations.first()?;
        let template = adaptation_set.SegmentTemplate.as_ref()?;
        let numbering = (template.timescale, template.startNumber);
        Some((
            adaptation_set.id.clone(),
            template.media.clone(),
            numbering,
            template.duration.map(f64::to_bits),
        ))
    };
    require(
        segments(mpd) == segments(previous_mpd),
        "the AdaptationSet's id or its segment timeline changed between refreshes",
    );
    let period = |mpd: &MPD| mpd.periods.first().and_then(|period| period.id.clone());
    require(period(mpd) == period(previous_mpd), "Period@id changed between refreshes");
    let representations = |mpd: &MPD| -> Vec<_> {
        let adaptation_set = mpd.periods.first().and_then(|period| period.adaptations.first());
        adaptation_set
            .into_iter()
            .flat_map(|adaptation_set| &adaptation_set.representations)
            .map(|offered| (offered.id.clone(), offered.bandwidth))
            .collect()
    };
    let (current, previous) = (representations(mpd), representations(previous_mpd));
    require(
        current.iter().zip(&previous).all(|(current, previous)| current == previous),
        "a Representation changed between refreshes",
    );
}
