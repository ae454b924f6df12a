//! The decision instances of this process, and the calls that event records make on them.

use crate::frame::{self, Frame, Record, Reply};
use ivyward::interface::*;
use ivyward::policy::Manager;
use ivyward_options as options;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// Number of server lists that the host can store.
const LIST_COUNT: usize = 16;
/// Size of a server list entry.
const ENTRY_BYTES: usize = 23;

/// A decision instance, and the meaning of the values in its load reports.
struct Instance {
    manager: Manager,
    report_gauges: Vec<options::Gauge>,
}

/// All instances by id, and the server lists by number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: [Vec<ServerEntry>; LIST_COUNT],
}

/// Writes the actions of one instance into the reply.
struct InstanceActions<'a> {
    instance_id: u32,
    reply: &'a mut Reply,
}

/// Microseconds as the protocol's 32-bit field; a longer span becomes the largest value.
fn micros_bytes(duration: Duration) -> [u8; 4] {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

impl Actions for InstanceActions<'_> {
    fn tune_in(&mut self, viewing_id: ViewingId, server: ServerId, timeout: Duration) {
        self.reply.push_action(
            self.instance_id,
            1,
            &[&viewing_id.0.to_le_bytes(), &micros_bytes(timeout), &server.0],
        );
    }
    fn block(&mut self, viewing_id: ViewingId, come_back_after: Option<Duration>, _: RefusalReason) {
        self.reply.push_action(
            self.instance_id,
            2,
            &[&viewing_id.0.to_le_bytes(), &micros_bytes(come_back_after.unwrap_or_default())],
        );
    }
    fn abort(&mut self, viewing_id: ViewingId, _: RefusalReason) {
        self.reply.push_action(self.instance_id, 3, &[&viewing_id.0.to_le_bytes()]);
    }
    fn cancel_tune_in(&mut self, viewing_id: ViewingId, tune_in: u16) {
        self.reply.push_action(self.instance_id, 4, &[&viewing_id.0.to_le_bytes(), &tune_in.to_le_bytes()]);
    }
    fn set_rung(&mut self, viewing_id: ViewingId, rung: usize) {
        self.reply.push_action(self.instance_id, 13, &[&viewing_id.0.to_le_bytes(), &[rung as u8]]);
    }
    fn probe(&mut self, server: ServerId) {
        self.reply.push_action(self.instance_id, 6, &[&server.0]);
    }
    fn set_timer(&mut self, after: Duration, token: u64) {
        self.reply.push_action(self.instance_id, 5, &[&micros_bytes(after), &token.to_le_bytes()]);
    }
}

/// The outcome of a tune-in by its code on the wire.
fn parse_outcome(code: u16) -> Result<TuneInOutcome, String> {
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

/// Reads a load report: a count, then the values in the order of the instance's report gauges.
fn parse_load(record: &Record, at: usize, report_gauges: &[options::Gauge]) -> Result<LoadReport, String> {
    let mut load = LoadReport::default();
    let value_count = usize::from(record.u8(at, "gauge")?);
    if value_count > 4 {
        return Err(format!("gauge: {value_count} values at byte {at}, expected at most 4"));
    }
    for (i, gauge) in report_gauges.iter().enumerate().take(value_count) {
        let value = Some(record.f32(at + 1 + 4 * i, "gauge")?);
        match gauge {
            options::Gauge::Link => load.link = value,
            options::Gauge::Uplink => load.uplink = value,
            options::Gauge::Other => {}
        }
    }
    Ok(load)
}

/// Reads an entry of a server list.
fn parse_list_entry(entry: &[u8]) -> Result<ServerEntry, String> {
    let [zone, state, kind] = frame::read_bytes(entry, 12, "zone")?;
    let started_at = u64::from_le_bytes(frame::read_bytes(entry, 4, "born-us")?);
    Ok(ServerEntry {
        server: ServerId(frame::read_bytes(entry, 15, "server")?),
        state: match state {
            0 => ServerState::Gone,
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            other => return Err(format!("lifecycle: unknown code {other}")),
        },
        started_at: (started_at > 0).then(|| Duration::from_micros(started_at)),
        weight: f64::from(f32::from_le_bytes(frame::read_bytes(entry, 0, "rating")?)),
        zone: ZoneId(zone),
        kind: KindId(usize::from(kind)),
        cell: u32::from(u16::from_le_bytes(frame::read_bytes(entry, 21, "place")?)),
    })
}

impl Host {
    /// Handles the events of a frame in their order and returns the reply frame. A panic of an instance
    /// becomes an action with its message.
    pub fn handle_frame(&mut self, frame: &Frame) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        let mut instance_id = None;
        for record in frame.records() {
            match record.u16(0, "code")? {
                8 => instance_id = Some(record.u32(2, "who")?),
                13 => self.store_list(&record)?,
                code => {
                    let instance_id = instance_id
                        .ok_or_else(|| format!("code {code}: no record names an instance before it"))?;
                    let event = AssertUnwindSafe(|| {
                        self.handle_event(instance_id, code, &record, frame.clock, &mut reply)
                    });
                    let result = catch_unwind(event);
                    match result {
                        Ok(done) => done?,
                        Err(panic) => {
                            let text = panic.downcast_ref::<String>().map(String::as_str);
                            let text = text.or(panic.downcast_ref::<&str>().copied());
                            reply.push_text(instance_id, 10, text.unwrap_or("panic"));
                        }
                    }
                }
            }
        }
        Ok(reply.finish(frame.batch))
    }

    /// Stores a server list under its number, for later events.
    fn store_list(&mut self, record: &Record) -> Result<(), String> {
        let number = record.u32(2, "ref")? as usize;
        let entries = record.tail_bytes(6, ENTRY_BYTES, "rows-in")?;
        let list = self.lists.get_mut(number).ok_or_else(|| format!("ref: no list {number}"))?;
        *list = entries.chunks_exact(ENTRY_BYTES).map(parse_list_entry).collect::<Result<_, _>>()?;
        Ok(())
    }

    /// Makes the call of one event record.
    fn handle_event(
        &mut self, instance_id: u32, code: u16, record: &Record, now: Duration, reply: &mut Reply,
    ) -> Result<(), String> {
        let actions = &mut InstanceActions { instance_id, reply };
        if code == 3 {
            let seed = record.u64(2, "prng")?;
            let all_options = options::read(record.tail_bytes(10, 1, "options")?)?;
            let (mut manager, report_gauges) =
                (options::manager(seed, &all_options)?, options::report_gauges(&all_options));
            manager.start(actions, now);
            self.instances.insert(instance_id, Instance { manager, report_gauges });
            return Ok(());
        }
        if code == 9 {
            self.instances.remove(&instance_id);
            return Ok(());
        }
        let unknown_instance = format!("who: unknown instance {instance_id}");
        let Instance { manager, report_gauges } =
            self.instances.get_mut(&instance_id).ok_or(unknown_instance)?;
        let viewing_id = |field| record.u32(2, field).map(ViewingId);
        let duration = |at, field| record.u64(at, field).map(Duration::from_micros);
        let count = |at, field| record.f32(at, field).map(|value| value as u32);
        match code {
            1 => manager.restore_viewing(
                now,
                viewing_id("req")?,
                ServerId(record.server(17, "server")?),
                PackageId(usize::from(record.u8(16, "type")?)),
                TitleId(record.u64(48, "title")?),
                // The caller doesn't send a rung, so the viewing gets its lowest one.
                (0, count(44, "ceiling-rung")? as usize),
            ),
            2 => {
                let load = parse_load(record, 14, report_gauges)?;
                let answered = record.u16(8, "reason")? == 0;
                manager.on_probe_result(
                    actions,
                    now,
                    ServerId(record.server(2, "server")?),
                    answered.then_some(load),
                );
            }
            4 => {
                record.tail_bytes(6, 1, "payload")?;
            }
            5 => manager.on_request(
                actions,
                now,
                viewing_id("req")?,
                PackageId(usize::from(record.u8(6, "type")?)),
                TitleId(record.u64(17, "title")?),
                Cells { first: count(37, "from-cell")?, spread: count(41, "spread")? },
                count(45, "ceiling-rung")? as usize,
                duration(25, "client-deadline-us")?,
            ),
            6 => {
                let number = record.u32(11, "ref")? as usize;
                let scope = match record.u8(2, "kind")? {
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
                actions,
                now,
                viewing_id("req")?,
                record.u16(6, "n")?,
                ServerId(record.server(8, "server")?),
                parse_outcome(record.u16(14, "reason")?)?,
                record.u8(20, "terminal")? != 0,
                parse_load(record, 21, report_gauges)?,
            ),
            10 => manager.on_viewer_left(actions, viewing_id("req")?),
            11 => manager.on_playing(now, viewing_id("req")?, ServerId(record.server(6, "server")?)),
            12 => manager.on_timer(actions, now, record.u64(2, "cookie")?),
            14 => {
                let value = record.f32(15, "x")?;
                let update = match record.u8(14, "what")? {
                    1 => ServerUpdate::Share(value),
                    2 => ServerUpdate::Rung(value as usize),
                    3 => ServerUpdate::Link(value),
                    4 => ServerUpdate::Uplink(value),
                    _ => return Ok(()),
                };
                manager.on_server_update(
                    now,
                    viewing_id("req")?,
                    ServerId(record.server(8, "server")?),
                    update,
                );
            }
            other => return Err(format!("code: unknown event {other}")),
        }
        Ok(())
    }
}
