//! Histories as text: one line of protobuf text format a thing seen (`proto/history.proto`). What can't be read, goes back
//! in time or is cut short is never judged.

use crate::record::{Asked, Came, Record, SetUpEnd, Standing, What};
use crate::{History, Life, Package, Terms};
use ivyward_fleet::{Cold, ManagerNo, ServerNo, StreamEnd, TuneInKey};
use ivyward_settings::{Fault, Section};
use std::time::Duration;

const STANDINGS: [(&str, Standing); 3] =
    [("ready", Standing::Ready), ("draining", Standing::Draining), ("gone", Standing::Gone)];
const ENDS: [(&str, SetUpEnd); 5] = [
    ("plays", SetUpEnd::Plays),
    ("refused", SetUpEnd::Refused),
    ("errored", SetUpEnd::Errored),
    ("closed", SetUpEnd::Closed),
    ("broke", SetUpEnd::Broke),
];
const OVERS: [(&str, StreamEnd); 4] = [
    ("ended", StreamEnd::Ended),
    ("lease", StreamEnd::Lease),
    ("released", StreamEnd::Released),
    ("died", StreamEnd::Died),
];
const CAMES: [(&str, Came); 3] = [("closed", Came::Closed), ("cut", Came::Cut), ("nothing", Came::Nothing)];
const KINDS: [&str; 11] =
    ["terms", "life", "asked", "set_up", "set_up_over", "rung", "stream_over", "told", "born", "died", "end"];

fn us(span: Duration) -> u128 {
    span.as_micros()
}

/// The name of one of some values.
fn name<T: PartialEq>(of: &T, names: &[(&'static str, T)]) -> &'static str {
    names.iter().find(|(_, value)| value == of).map_or("", |(name, _)| name)
}

fn key(TuneInKey { manager, incarnation, viewing_id, n }: &TuneInKey) -> String {
    format!("key {{ manager: {} birth: {incarnation} vw: {viewing_id} n: {n} }}", manager.0)
}

/// A history as text.
pub fn write(terms: &Terms, history: &History) -> String {
    let packages = terms.packages.iter().map(|p| {
        let Package { name, patience, target, value, once, floor, seats } = p;
        let (patience, target) = (us(*patience), us(*target));
        format!(
            "package {{ name: {name:?} patience_us: {patience} target_us: {target} value: {value:?} once: {once} floor: {floor} seats: {seats} }} "
        )
    });
    let (cold, places) = &terms.cold;
    let ration = terms.ration.map(|(span, free, share)| {
        format!("ration_us: {} ration_free: {free:?} ration_share: {share:?} ", us(span))
    });
    let mut text = format!(
        "at_us: 0 terms {{ {}grace_us: {} slack_us: {} grain_us: {} {}cold_from: {:?} warm_up_us: {} multiple: {:?} fall_us: {} places: {places} }}\n",
        packages.collect::<String>(),
        us(terms.grace),
        us(terms.slack),
        us(terms.grain),
        ration.unwrap_or_default(),
        cold.from,
        us(cold.warm_up),
        cold.multiple,
        us(cold.fall),
    );
    for Life { no, gaps } in &history.managers {
        let no = no.map(|no| format!("no: {} ", no.0)).unwrap_or_default();
        let gap = |(from, until): &(Duration, Option<Duration>)| {
            format!("from_us: {} until_us: {} ", us(*from), until.map_or(0, us))
        };
        text += &format!("at_us: 0 life {{ {no}{}}}\n", gaps.iter().map(gap).collect::<String>());
    }
    let mut lines: Vec<_> = history.asked.iter().map(|ask| (ask.at, asked(ask))).collect();
    let records = history.records.iter().filter_map(|record| Some((record.at, seen(&record.what)?)));
    lines.extend(records);
    lines.sort_by_key(|(at, _)| *at);
    let last = lines.last().map_or(0, |(at, _)| us(*at));
    text.extend(lines.iter().map(|(at, what)| format!("at_us: {} {what}\n", us(*at))));
    text + &format!("at_us: {last} end {{ }}\n")
}

fn asked(ask: &Asked) -> String {
    let came = match &ask.came {
        Came::Answer(status) => status.to_string(),
        other => name(other, &CAMES).into(),
    };
    let Asked { manager, session, package, came_at, new, refresh, sent, more, .. } = ask;
    let came_at = us(*came_at);
    format!(
        "asked {{ manager: {manager} session: \"{session:032x}\" package: {package} came_at_us: {came_at} came: {came:?} fresh: {new} refresh: {refresh} sent: {sent} more: {more} }}"
    )
}

/// What no rule goes by has no line.
fn seen(what: &What) -> Option<String> {
    Some(match what {
        What::SetUp { server, key: of, session, package, title, rung } => format!(
            "set_up {{ server: {} {} session: \"{session:032x}\" package: {package} title: {title:?} rung: {rung} }}",
            server.0,
            key(of)
        ),
        What::SetUpOver { server, key: of, how } => {
            format!("set_up_over {{ server: {} {} how: {:?} }}", server.0, key(of), name(how, &ENDS))
        }
        What::Rung { server, key: of, rung } => {
            format!("rung {{ server: {} {} rung: {rung} }}", server.0, key(of))
        }
        What::StreamOver { server, key: of, why } => {
            format!("stream_over {{ server: {} {} why: {:?} }}", server.0, key(of), name(why, &OVERS))
        }
        What::Told { manager, server, standing, incarnation } => {
            let standing = name(standing, &STANDINGS);
            format!(
                "told {{ manager: {} server: {} standing: {standing:?} birth: {incarnation} }}",
                manager.0, server.0
            )
        }
        What::Born { server } => format!("born {{ server: {} }}", server.0),
        What::Died { server, managers } => {
            let managers: String =
                managers.iter().map(|manager| format!("manager: {} ", manager.0)).collect();
            format!("died {{ server: {} {managers}}}", server.0)
        }
        What::Ran { .. } | What::Fell { .. } | What::Fault { .. } => return None,
    })
}

/// Reads a history.
///
/// # Errors
/// The first fault of each line that has one, with its line, column and field; and that the text is cut short.
pub fn read(text: &str) -> Result<(Terms, History), Vec<Fault>> {
    let (mut terms, mut history, mut faults) = (None, History::default(), vec![]);
    let (mut last, mut ended) = (Duration::ZERO, false);
    for (i, line) in text.lines().enumerate() {
        let placed = |fault: Fault| Fault { line: i + 1, ..fault };
        let part = match ivyward_settings::read("Line", line) {
            Ok(part) => part,
            Err(wrong) => {
                faults.extend(wrong.into_iter().take(1).map(placed));
                continue;
            }
        };
        let at = span(&part, "at_us");
        let taken = if at < last {
            Err(part.fault("at_us", &format!("lies before {} of a line above", us(last))))
        } else if ended {
            Err(part.fault("at_us", "stands after the end"))
        } else {
            last = at;
            line_of(&part, at, &mut terms, &mut history, &mut ended)
        };
        faults.extend(taken.err().map(placed));
    }
    if !ended || !text.ends_with('\n') {
        let (line, what) =
            (text.lines().count().max(1), "the history is cut short: its last line is no whole end");
        faults.push(Fault { line, column: 1, field: "end".into(), what: what.into() });
    }
    match terms {
        Some(terms) if faults.is_empty() => Ok((terms, history)),
        _ => Err(faults),
    }
}

fn span(part: &Section, name: &str) -> Duration {
    Duration::from_micros(part.integer(name))
}

fn line_of(
    part: &Section, at: Duration, terms: &mut Option<Terms>, history: &mut History, ended: &mut bool,
) -> Result<(), Fault> {
    let kinds: Vec<_> = KINDS.into_iter().filter(|kind| part.has(kind)).collect();
    let [kind] = kinds[..] else {
        return Err(
            part.fault("at_us", &format!("stands with {} kinds of things seen, not one", kinds.len()))
        );
    };
    let of = part.section(kind);
    if terms.is_none() && kind != "terms" {
        return Err(of.fault("", "stands before the terms"));
    }
    let packages = terms.as_ref().map_or(0, |terms| terms.packages.len());
    let package = || match of.count("package") {
        package if package < packages => Ok(package),
        package => Err(of.fault("package", &format!("is {package}, of {packages} packages"))),
    };
    let session = || {
        let text = of.text("session");
        let session = u128::from_str_radix(&text, 16).ok().filter(|_| text.len() == 32);
        session.ok_or_else(|| of.fault("session", "is not 32 hexadecimal digits"))
    };
    let server =
        ServerNo(if ["terms", "life", "asked", "end"].contains(&kind) { 0 } else { of.count("server") });
    let record = |what| Record { at, what };
    match kind {
        "terms" if terms.is_some() => return Err(of.fault("", "stands there twice")),
        "terms" => *terms = Some(terms_of(&of)),
        "life" => {
            let (from, until) = (of.numbers("from_us"), of.numbers("until_us"));
            if from.len() != until.len() {
                return Err(of.fault("until_us", &format!("has {} spans for {}", until.len(), from.len())));
            }
            let us = |x: &f64| Duration::from_micros(*x as u64);
            let gaps = from
                .iter()
                .zip(&until)
                .map(|(from, until)| (us(from), Some(us(until)).filter(|u| !u.is_zero())));
            let no = of.has("no").then(|| ManagerNo(of.count("no") as u32));
            history.managers.push(Life { no, gaps: gaps.collect() });
        }
        "asked" => {
            let (came, came_at) = (of.text("came"), span(&of, "came_at_us"));
            if came_at < at {
                return Err(of.fault("came_at_us", "lies before it was asked"));
            }
            let status = came.parse().ok().filter(|status| (100..600).contains(status)).map(Came::Answer);
            let came = status.or_else(|| one_of(&came, &CAMES));
            history.asked.push(Asked {
                manager: of.count("manager"),
                session: session()?,
                package: package()?,
                at,
                came_at,
                came: came.ok_or_else(|| of.fault("came", "is no status, nor closed, cut or nothing"))?,
                new: of.boolean("fresh"),
                refresh: of.boolean("refresh"),
                sent: of.boolean("sent"),
                more: of.count("more"),
            });
        }
        "set_up" => history.records.push(record(What::SetUp {
            server,
            key: key_of(&of),
            session: session()?,
            package: package()?,
            title: of.text("title"),
            rung: of.count("rung"),
        })),
        "set_up_over" => {
            let how = named(&of, "how", &ENDS)?;
            history.records.push(record(What::SetUpOver { server, key: key_of(&of), how }));
        }
        "rung" => {
            let rung = of.count("rung");
            history.records.push(record(What::Rung { server, key: key_of(&of), rung }));
        }
        "stream_over" => {
            let why = named(&of, "why", &OVERS)?;
            history.records.push(record(What::StreamOver { server, key: key_of(&of), why }));
        }
        "told" => {
            let (manager, standing) =
                (ManagerNo(of.count("manager") as u32), named(&of, "standing", &STANDINGS)?);
            history.records.push(record(What::Told {
                manager,
                server,
                standing,
                incarnation: of.integer("birth"),
            }));
        }
        "born" => history.records.push(record(What::Born { server })),
        "died" => {
            let managers = of.numbers("manager").into_iter().map(|no| ManagerNo(no as u32)).collect();
            history.records.push(record(What::Died { server, managers }));
        }
        _ => *ended = true,
    }
    Ok(())
}

fn one_of<T: Copy>(text: &str, names: &[(&'static str, T)]) -> Option<T> {
    names.iter().find(|(name, _)| *name == text).map(|(_, value)| *value)
}

fn named<T: Copy>(of: &Section, field: &str, names: &[(&'static str, T)]) -> Result<T, Fault> {
    let all = || names.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
    one_of(&of.text(field), names).ok_or_else(|| of.fault(field, &format!("is none of {}", all())))
}

fn key_of(of: &Section) -> TuneInKey {
    let key = of.section("key");
    let (manager, viewing_id) = (ManagerNo(key.count("manager") as u32), key.count("vw") as u32);
    TuneInKey { manager, incarnation: key.integer("birth"), viewing_id, n: key.count("n") as u16 }
}

fn terms_of(of: &Section) -> Terms {
    let package = |p: &Section| Package {
        name: p.text("name"),
        patience: span(p, "patience_us"),
        target: span(p, "target_us"),
        value: p.number("value"),
        once: p.boolean("once"),
        floor: p.count("floor"),
        seats: p.count("seats"),
    };
    let cold = Cold {
        from: of.number("cold_from"),
        warm_up: span(of, "warm_up_us"),
        multiple: of.number("multiple"),
        fall: span(of, "fall_us"),
    };
    Terms {
        packages: of.sections("package").iter().map(package).collect(),
        grace: span(of, "grace_us"),
        ration: of
            .has("ration_us")
            .then(|| (span(of, "ration_us"), of.number("ration_free"), of.number("ration_share"))),
        slack: span(of, "slack_us"),
        grain: span(of, "grain_us"),
        cold: (cold, of.count("places")),
    }
}
