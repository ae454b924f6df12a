//! Reads and writes histories as text.
//!
//! Each line is one entry in protobuf text format (`proto/history.proto`). A text that is malformed, out of
//! order or incomplete is rejected as a whole, so that the rules are never checked on a part of it.

use crate::record::{Event, ManifestRequest, Record, RequestOutcome, ServerStatus, SetUpEnd};
use crate::{History, ManagerLifetime, Package, Terms};
use ivyward_fleet::{ManagerNo, ServerNo, SlowStartModel, StreamEnd, TuneInKey};
use ivyward_settings::{Fault, Section};
use std::time::Duration;

/// States of servers in the text.
const SERVER_STATES: [(&str, ServerStatus); 3] =
    [("ready", ServerStatus::Ready), ("draining", ServerStatus::Draining), ("gone", ServerStatus::Gone)];
/// Ends of set-ups in the text.
const SET_UP_ENDS: [(&str, SetUpEnd); 5] = [
    ("plays", SetUpEnd::Plays),
    ("refused", SetUpEnd::Refused),
    ("errored", SetUpEnd::ErrorAnswer),
    ("closed", SetUpEnd::ManagerClosed),
    ("broke", SetUpEnd::ServerClosed),
];
/// Ends of streams in the text.
const STREAM_ENDS: [(&str, StreamEnd); 4] = [
    ("ended", StreamEnd::Ended),
    ("lease", StreamEnd::Lease),
    ("released", StreamEnd::Released),
    ("died", StreamEnd::Died),
];
/// Outcomes of requests in the text, besides HTTP statuses.
const REQUEST_OUTCOMES: [(&str, RequestOutcome); 3] = [
    ("closed", RequestOutcome::Closed),
    ("cut", RequestOutcome::ConnectionFailed),
    ("nothing", RequestOutcome::NoAnswer),
];
/// Kinds of entries in the text.
const ENTRY_KINDS: [&str; 11] =
    ["terms", "life", "asked", "set_up", "set_up_over", "rung", "stream_over", "told", "born", "died", "end"];

/// A duration in microseconds, as the text has it.
fn to_micros(span: Duration) -> u128 {
    span.as_micros()
}

/// The name of a value in a table of names; empty if it has none.
fn name_of<T: PartialEq>(wanted: &T, names: &[(&'static str, T)]) -> &'static str {
    names.iter().find(|(_, value)| value == wanted).map_or("", |(name, _)| name)
}

/// Writes the key of a tune-in.
fn write_key(TuneInKey { manager, incarnation, viewing_id, n }: &TuneInKey) -> String {
    format!("key {{ manager: {} birth: {incarnation} vw: {viewing_id} n: {n} }}", manager.0)
}

/// Writes a history as text.
pub fn write(terms: &Terms, history: &History) -> String {
    let packages = terms.packages.iter().map(|package_terms| {
        let Package { name, patience, target, value, paid_once, floor, seats } = package_terms;
        let (patience, target) = (to_micros(*patience), to_micros(*target));
        format!(
            "package {{ name: {name:?} patience_us: {patience} target_us: {target} value: {value:?} once: {paid_once} floor: {floor} seats: {seats} }} "
        )
    });
    let (slow_start, capacity) = &terms.slow_start;
    let ration = terms.retry_budget.map(|(window, free, share)| {
        format!("ration_us: {} ration_free: {free:?} ration_share: {share:?} ", to_micros(window))
    });
    let mut text = format!(
        "at_us: 0 terms {{ {}grace_us: {} slack_us: {} grain_us: {} {}cold_from: {:?} warm_up_us: {} multiple: {:?} fall_us: {} places: {capacity} }}\n",
        packages.collect::<String>(),
        to_micros(terms.grace),
        to_micros(terms.slack),
        to_micros(terms.time_tolerance),
        ration.unwrap_or_default(),
        slow_start.initial_capacity_fraction,
        to_micros(slow_start.warm_up),
        slow_start.overload_factor,
        to_micros(slow_start.overload_window),
    );
    for ManagerLifetime { manager_number: no, downtimes } in &history.managers {
        let no = no.map(|no| format!("no: {} ", no.0)).unwrap_or_default();
        let gap = |(from, until): &(Duration, Option<Duration>)| {
            format!("from_us: {} until_us: {} ", to_micros(*from), until.map_or(0, to_micros))
        };
        text += &format!("at_us: 0 life {{ {no}{}}}\n", downtimes.iter().map(gap).collect::<String>());
    }
    let mut entries: Vec<_> = history
        .viewer_requests
        .iter()
        .map(|request| (request.requested_at, write_request(request)))
        .collect();
    let records = history.records.iter().filter_map(|record| Some((record.at, write_event(&record.what)?)));
    entries.extend(records);
    entries.sort_by_key(|(at, _)| *at);
    let last_at = entries.last().map_or(0, |(at, _)| to_micros(*at));
    text.extend(entries.iter().map(|(at, what)| format!("at_us: {} {what}\n", to_micros(*at))));
    text + &format!("at_us: {last_at} end {{ }}\n")
}

/// Writes a viewer's request.
fn write_request(request: &ManifestRequest) -> String {
    let came = match &request.outcome {
        RequestOutcome::Answer(status) => status.to_string(),
        other => name_of(other, &REQUEST_OUTCOMES).into(),
    };
    let ManifestRequest {
        manager,
        session,
        package,
        ended_at: came_at,
        starts_viewing: new,
        is_refresh: refresh,
        was_connected: sent,
        extra_answers: more,
        ..
    } = request;
    let came_at = to_micros(*came_at);
    format!(
        "asked {{ manager: {manager} session: \"{session:032x}\" package: {package} came_at_us: {came_at} came: {came:?} fresh: {new} refresh: {refresh} sent: {sent} more: {more} }}"
    )
}

/// Writes an event; none if no rule uses it.
fn write_event(event: &Event) -> Option<String> {
    Some(match event {
        Event::SetUp { server, key: tune_in, session, package, title, rung } => format!(
            "set_up {{ server: {} {} session: \"{session:032x}\" package: {package} title: {title:?} rung: {rung} }}",
            server.0,
            write_key(tune_in)
        ),
        Event::SetUpEnded { server, key: tune_in, how } => {
            format!(
                "set_up_over {{ server: {} {} how: {:?} }}",
                server.0,
                write_key(tune_in),
                name_of(how, &SET_UP_ENDS)
            )
        }
        Event::RungChanged { server, key: tune_in, rung } => {
            format!("rung {{ server: {} {} rung: {rung} }}", server.0, write_key(tune_in))
        }
        Event::StreamEnded { server, key: tune_in, why } => {
            format!(
                "stream_over {{ server: {} {} why: {:?} }}",
                server.0,
                write_key(tune_in),
                name_of(why, &STREAM_ENDS)
            )
        }
        Event::ServerNotified { manager, server, status, incarnation } => {
            let standing = name_of(status, &SERVER_STATES);
            format!(
                "told {{ manager: {} server: {} standing: {standing:?} birth: {incarnation} }}",
                manager.0, server.0
            )
        }
        Event::ServerStarted { server } => format!("born {{ server: {} }}", server.0),
        Event::ServerDied { server, managers } => {
            let managers: String =
                managers.iter().map(|manager| format!("manager: {} ", manager.0)).collect();
            format!("died {{ server: {} {managers}}}", server.0)
        }
        Event::SetUpStarted { .. } | Event::ServerOverloaded { .. } | Event::Fault { .. } => return None,
    })
}

/// Reads a history.
///
/// # Errors
/// The first fault of each faulty line, with its line, column and field; and a fault if the text is
/// incomplete.
pub fn read(text: &str) -> Result<(Terms, History), Vec<Fault>> {
    let (mut terms, mut history, mut faults) = (None, History::default(), vec![]);
    let (mut last_at, mut ended) = (Duration::ZERO, false);
    for (i, line) in text.lines().enumerate() {
        let with_line = |fault: Fault| Fault { line: i + 1, ..fault };
        let entry = match ivyward_settings::read("Line", line) {
            Ok(entry) => entry,
            Err(line_faults) => {
                faults.extend(line_faults.into_iter().take(1).map(with_line));
                continue;
            }
        };
        let at = read_duration(&entry, "at_us");
        let outcome = if at < last_at {
            Err(entry.fault("at_us", &format!("is earlier than {} in a line above", to_micros(last_at))))
        } else if ended {
            Err(entry.fault("at_us", "comes after the end entry"))
        } else {
            last_at = at;
            read_entry(&entry, at, &mut terms, &mut history, &mut ended)
        };
        faults.extend(outcome.err().map(with_line));
    }
    if !ended || !text.ends_with('\n') {
        let (line, what) = (
            text.lines().count().max(1),
            "the history is incomplete: its last line is not a complete end entry",
        );
        faults.push(Fault { line, column: 1, field: "end".into(), what: what.into() });
    }
    match terms {
        Some(terms) if faults.is_empty() => Ok((terms, history)),
        _ => Err(faults),
    }
}

/// Reads a field in microseconds.
fn read_duration(entry: &Section, name: &str) -> Duration {
    Duration::from_micros(entry.integer(name))
}

/// Reads one entry and adds it to the terms or the history. `ended`: set by the entry that ends the text.
fn read_entry(
    entry: &Section, at: Duration, terms: &mut Option<Terms>, history: &mut History, ended: &mut bool,
) -> Result<(), Fault> {
    let kinds: Vec<_> = ENTRY_KINDS.into_iter().filter(|kind| entry.has(kind)).collect();
    let [kind] = kinds[..] else {
        return Err(
            entry.fault("at_us", &format!("must come with exactly one kind of entry, not {}", kinds.len()))
        );
    };
    let fields = entry.section(kind);
    if terms.is_none() && kind != "terms" {
        return Err(fields.fault("", "comes before the terms"));
    }
    let packages = terms.as_ref().map_or(0, |terms| terms.packages.len());
    let package = || match fields.count("package") {
        package if package < packages => Ok(package),
        package => Err(fields.fault("package", &format!("is {package}, but there are {packages} packages"))),
    };
    let session = || {
        let text = fields.text("session");
        let session = u128::from_str_radix(&text, 16).ok().filter(|_| text.len() == 32);
        session.ok_or_else(|| fields.fault("session", "is not 32 hexadecimal digits"))
    };
    let server =
        ServerNo(if ["terms", "life", "asked", "end"].contains(&kind) { 0 } else { fields.count("server") });
    let record = |what| Record { at, what };
    match kind {
        "terms" if terms.is_some() => return Err(fields.fault("", "occurs twice")),
        "terms" => *terms = Some(read_terms(&fields)),
        "life" => {
            let (from, until) = (fields.numbers("from_us"), fields.numbers("until_us"));
            if from.len() != until.len() {
                return Err(fields.fault(
                    "until_us",
                    &format!("has {} values for {} of from_us", until.len(), from.len()),
                ));
            }
            let to_duration = |micros: &f64| Duration::from_micros(*micros as u64);
            let gaps = from
                .iter()
                .zip(&until)
                .map(|(from, until)| (to_duration(from), Some(to_duration(until)).filter(|u| !u.is_zero())));
            let no = fields.has("no").then(|| ManagerNo(fields.count("no") as u32));
            history.managers.push(ManagerLifetime { manager_number: no, downtimes: gaps.collect() });
        }
        "asked" => {
            let (came, came_at) = (fields.text("came"), read_duration(&fields, "came_at_us"));
            if came_at < at {
                return Err(fields.fault("came_at_us", "is earlier than at_us"));
            }
            let status =
                came.parse().ok().filter(|status| (100..600).contains(status)).map(RequestOutcome::Answer);
            let came = status.or_else(|| value_of(&came, &REQUEST_OUTCOMES));
            history.viewer_requests.push(ManifestRequest {
                manager: fields.count("manager"),
                session: session()?,
                package: package()?,
                requested_at: at,
                ended_at: came_at,
                outcome: came.ok_or_else(|| {
                    fields.fault("came", "is neither an HTTP status nor closed, cut or nothing")
                })?,
                starts_viewing: fields.boolean("fresh"),
                is_refresh: fields.boolean("refresh"),
                was_connected: fields.boolean("sent"),
                extra_answers: fields.count("more"),
            });
        }
        "set_up" => history.records.push(record(Event::SetUp {
            server,
            key: read_key(&fields),
            session: session()?,
            package: package()?,
            title: fields.text("title"),
            rung: fields.count("rung"),
        })),
        "set_up_over" => {
            let how = read_named(&fields, "how", &SET_UP_ENDS)?;
            history.records.push(record(Event::SetUpEnded { server, key: read_key(&fields), how }));
        }
        "rung" => {
            let rung = fields.count("rung");
            history.records.push(record(Event::RungChanged { server, key: read_key(&fields), rung }));
        }
        "stream_over" => {
            let why = read_named(&fields, "why", &STREAM_ENDS)?;
            history.records.push(record(Event::StreamEnded { server, key: read_key(&fields), why }));
        }
        "told" => {
            let (manager, standing) =
                (ManagerNo(fields.count("manager") as u32), read_named(&fields, "standing", &SERVER_STATES)?);
            history.records.push(record(Event::ServerNotified {
                manager,
                server,
                status: standing,
                incarnation: fields.integer("birth"),
            }));
        }
        "born" => history.records.push(record(Event::ServerStarted { server })),
        "died" => {
            let managers = fields.numbers("manager").into_iter().map(|no| ManagerNo(no as u32)).collect();
            history.records.push(record(Event::ServerDied { server, managers }));
        }
        _ => *ended = true,
    }
    Ok(())
}

/// The value with this name.
fn value_of<T: Copy>(text: &str, names: &[(&'static str, T)]) -> Option<T> {
    names.iter().find(|(name, _)| *name == text).map(|(_, value)| *value)
}

/// Reads a field that holds one of the names.
fn read_named<T: Copy>(fields: &Section, field: &str, names: &[(&'static str, T)]) -> Result<T, Fault> {
    let all = || names.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
    value_of(&fields.text(field), names).ok_or_else(|| fields.fault(field, &format!("is none of {}", all())))
}

/// Reads the key of a tune-in.
fn read_key(fields: &Section) -> TuneInKey {
    let key = fields.section("key");
    let (manager, viewing_id) = (ManagerNo(key.count("manager") as u32), key.count("vw") as u32);
    TuneInKey { manager, incarnation: key.integer("birth"), viewing_id, n: key.count("n") as u16 }
}

/// Reads the parameters of the rules.
fn read_terms(fields: &Section) -> Terms {
    let read_package = |package_fields: &Section| Package {
        name: package_fields.text("name"),
        patience: read_duration(package_fields, "patience_us"),
        target: read_duration(package_fields, "target_us"),
        value: package_fields.number("value"),
        paid_once: package_fields.boolean("once"),
        floor: package_fields.count("floor"),
        seats: package_fields.count("seats"),
    };
    let cold = SlowStartModel {
        initial_capacity_fraction: fields.number("cold_from"),
        warm_up: read_duration(fields, "warm_up_us"),
        overload_factor: fields.number("multiple"),
        overload_window: read_duration(fields, "fall_us"),
    };
    Terms {
        packages: fields.sections("package").iter().map(read_package).collect(),
        grace: read_duration(fields, "grace_us"),
        retry_budget: fields.has("ration_us").then(|| {
            (read_duration(fields, "ration_us"), fields.number("ration_free"), fields.number("ration_share"))
        }),
        slack: read_duration(fields, "slack_us"),
        time_tolerance: read_duration(fields, "grain_us"),
        slow_start: (cold, fields.count("places")),
    }
}
