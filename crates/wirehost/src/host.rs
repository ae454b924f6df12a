//! The instances of one process, and the calls that each event record becomes.

use crate::frame::{self, Frame, Record, Reply};
use ivyward::interface::*;
use ivyward::policy::Manager;
use ivyward_options as options;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

const LISTS: usize = 16;
const ROW: usize = 23;

struct Instance {
    manager: Manager,
    report: Vec<options::Gauge>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: [Vec<ServerEntry>; LISTS],
}

/// The actions of one instance, written into the reply.
struct Hand<'a> {
    who: u32,
    reply: &'a mut Reply,
}

fn micros(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

impl Actions for Hand<'_> {
    fn tune_in(&mut self, viewing_id: ViewingId, server: ServerId, limit: Duration) {
        self.reply.push(self.who, 1, &[&viewing_id.0.to_le_bytes(), &micros(limit), &server.0]);
    }
    fn block(&mut self, viewing_id: ViewingId, come_back: Option<Duration>, _: RefusalReason) {
        self.reply.push(self.who, 2, &[&viewing_id.0.to_le_bytes(), &micros(come_back.unwrap_or_default())]);
    }
    fn abort(&mut self, viewing_id: ViewingId, _: RefusalReason) {
        self.reply.push(self.who, 3, &[&viewing_id.0.to_le_bytes()]);
    }
    fn cancel_tune_in(&mut self, viewing_id: ViewingId, tune_in: u16) {
        self.reply.push(self.who, 4, &[&viewing_id.0.to_le_bytes(), &tune_in.to_le_bytes()]);
    }
    fn set_rung(&mut self, viewing_id: ViewingId, rung: usize) {
        self.reply.push(self.who, 13, &[&viewing_id.0.to_le_bytes(), &[rung as u8]]);
    }
    fn probe(&mut self, server: ServerId) {
        self.reply.push(self.who, 6, &[&server.0]);
    }
    fn set_timer(&mut self, after: Duration, token: u64) {
        self.reply.push(self.who, 5, &[&micros(after), &token.to_le_bytes()]);
    }
}

fn outcome(code: u16) -> Result<TuneInOutcome, String> {
    Ok(match code {
        0 => TuneInOutcome::Completed,
        1 => TuneInOutcome::Cancelled,
        4 => TuneInOutcome::TimedOut,
        8 => TuneInOutcome::Refused,
        9 => TuneInOutcome::NotSent,
        10 => TuneInOutcome::ConnectionBroken,
        13 => TuneInOutcome::Failed,
        14 => TuneInOutcome::Unreachable,
        other => return Err(format!("reason: unknown code {other}")),
    })
}

fn load(record: &Record, at: usize, report: &[options::Gauge]) -> Result<LoadReport, String> {
    let mut load = LoadReport::default();
    let values = usize::from(record.u8(at, "gauge")?);
    if values > 4 {
        return Err(format!("gauge: {values} values at byte {at}"));
    }
    for (i, gauge) in report.iter().enumerate().take(values) {
        let value = Some(record.f32(at + 1 + 4 * i, "gauge")?);
        match gauge {
            options::Gauge::Link => load.link = value,
            options::Gauge::Uplink => load.uplink = value,
            options::Gauge::Other => {}
        }
    }
    Ok(load)
}

fn listed(row: &[u8]) -> Result<ServerEntry, String> {
    let [zone, state, kind] = frame::bytes(row, 12, "zone")?;
    let started_at = u64::from_le_bytes(frame::bytes(row, 4, "born-us")?);
    Ok(ServerEntry {
        server: ServerId(frame::bytes(row, 15, "server")?),
        state: match state {
            0 => ServerState::Gone,
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            other => return Err(format!("lifecycle: unknown code {other}")),
        },
        started_at: (started_at > 0).then(|| Duration::from_micros(started_at)),
        weight: f64::from(f32::from_le_bytes(frame::bytes(row, 0, "rating")?)),
        zone: ZoneId(zone),
        kind: KindId(usize::from(kind)),
        cell: u32::from(u16::from_le_bytes(frame::bytes(row, 21, "place")?)),
    })
}

impl Host {
    pub fn answer(&mut self, frame: &Frame) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        let mut who = None;
        for record in frame.records() {
            match record.u16(0, "code")? {
                8 => who = Some(record.u32(2, "who")?),
                13 => self.list(&record)?,
                code => {
                    let who = who.ok_or_else(|| format!("code {code}: no instance named before it"))?;
                    let event = AssertUnwindSafe(|| self.event(who, code, &record, frame.clock, &mut reply));
                    let caught = catch_unwind(event);
                    match caught {
                        Ok(done) => done?,
                        Err(panic) => {
                            let text = panic.downcast_ref::<String>().map(String::as_str);
                            let text = text.or(panic.downcast_ref::<&str>().copied());
                            reply.push_text(who, 10, text.unwrap_or("panic"));
                        }
                    }
                }
            }
        }
        Ok(reply.finish(frame.batch))
    }

    fn list(&mut self, record: &Record) -> Result<(), String> {
        let number = record.u32(2, "ref")? as usize;
        let rows = record.tail(6, ROW, "rows-in")?;
        let list = self.lists.get_mut(number).ok_or_else(|| format!("ref: no list {number}"))?;
        *list = rows.chunks_exact(ROW).map(listed).collect::<Result<_, _>>()?;
        Ok(())
    }

    fn event(
        &mut self, who: u32, code: u16, r: &Record, now: Duration, reply: &mut Reply,
    ) -> Result<(), String> {
        let act = &mut Hand { who, reply };
        if code == 3 {
            let seed = r.u64(2, "prng")?;
            let all = options::read(r.tail(10, 1, "options")?)?;
            let (mut manager, report) = (options::manager(seed, &all)?, options::report_gauges(&all));
            manager.start(act, now);
            self.instances.insert(who, Instance { manager, report });
            return Ok(());
        }
        if code == 9 {
            self.instances.remove(&who);
            return Ok(());
        }
        let named = format!("who: no instance {who}");
        let Instance { manager, report } = self.instances.get_mut(&who).ok_or(named)?;
        let viewing_id = |field| r.u32(2, field).map(ViewingId);
        let span = |at, field| r.u64(at, field).map(Duration::from_micros);
        let count = |at, field| r.f32(at, field).map(|x| x as u32);
        match code {
            1 => manager.restore_viewing(
                now,
                viewing_id("req")?,
                ServerId(r.server(17, "server")?),
                PackageId(usize::from(r.u8(16, "type")?)),
                TitleId(r.u64(48, "title")?),
                // The caller tells no rung: the lowest is taken.
                (0, count(44, "ceiling-rung")? as usize),
            ),
            2 => {
                let load = load(r, 14, report)?;
                let answered = r.u16(8, "reason")? == 0;
                manager.on_probe_result(act, now, ServerId(r.server(2, "server")?), answered.then_some(load));
            }
            4 => {
                r.tail(6, 1, "payload")?;
            }
            5 => manager.on_request(
                act,
                now,
                viewing_id("req")?,
                PackageId(usize::from(r.u8(6, "type")?)),
                TitleId(r.u64(17, "title")?),
                Cells { first: count(37, "from-cell")?, spread: count(41, "spread")? },
                count(45, "ceiling-rung")? as usize,
                span(25, "client-deadline-us")?,
            ),
            6 => {
                let number = r.u32(11, "ref")? as usize;
                let scope = match r.u8(2, "kind")? {
                    0 => ListScope::Changes,
                    1 => ListScope::Full,
                    2 => ListScope::Restored,
                    3 => return Ok(()),
                    other => return Err(format!("kind: unknown code {other}")),
                };
                let list = self.lists.get(number).ok_or_else(|| format!("ref: no list {number}"))?;
                manager.on_server_list(now, list, scope);
            }
            7 => manager.on_tune_in_ended(
                act,
                now,
                viewing_id("req")?,
                r.u16(6, "n")?,
                ServerId(r.server(8, "server")?),
                outcome(r.u16(14, "reason")?)?,
                r.u8(20, "terminal")? != 0,
                load(r, 21, report)?,
            ),
            10 => manager.on_viewer_left(act, viewing_id("req")?),
            11 => manager.on_playing(now, viewing_id("req")?, ServerId(r.server(6, "server")?)),
            12 => manager.on_timer(act, now, r.u64(2, "cookie")?),
            14 => {
                let x = r.f32(15, "x")?;
                let news = match r.u8(14, "what")? {
                    1 => ServerUpdate::Share(x),
                    2 => ServerUpdate::Rung(x as usize),
                    3 => ServerUpdate::Link(x),
                    4 => ServerUpdate::Uplink(x),
                    _ => return Ok(()),
                };
                manager.on_server_update(now, viewing_id("req")?, ServerId(r.server(8, "server")?), news);
            }
            other => return Err(format!("code: unknown event {other}")),
        }
        Ok(())
    }
}
