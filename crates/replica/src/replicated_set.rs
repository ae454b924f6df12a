//! A set of records replicated to all members by anti-entropy.
//!
//! Each start of a member numbers the records that it adds; a record is identified by member,
//! incarnation and number. A copy holds, for each start, all records from the first up to some number,
//! except those that have expired. A copy's state is therefore one number per start. Two copies compare
//! one digest; only if it differs do they compare the numbers, and then transfer just the records that
//! one of them lacks.
//!
//! A record carries its remaining lifetime, never a date. The remaining lifetime only shrinks from copy
//! to copy, so a record that is passed on again and again still expires everywhere, and no record
//! returns for longer than it had left plus its time in transit.

use crate::Member;
use ivyward_session::Incarnation;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::time::Duration;

/// Most records in one message.
const MAX_MESSAGE_RECORD_COUNT: usize = 256;
/// Most records in the reply to one `heads` message; a copy that lacks more requests them again.
const MAX_REPLY_RECORD_COUNT: usize = 16 * MAX_MESSAGE_RECORD_COUNT;

/// Identifies the log of records that one start of a member adds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogId {
    /// The member that adds the records.
    pub member: Member,
    /// The start of that member.
    pub incarnation: Incarnation,
}

/// A record with its number and its remaining lifetime.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<R> {
    /// Number in its log.
    pub no: u64,
    /// Remaining lifetime.
    pub remaining: Duration,
    /// The value that the record adds to the set.
    pub value: R,
}

/// The messages that a copy sends, and its notifications to the local user. Messages may be lost,
/// duplicated or delayed.
pub trait ReplicationEffects<R> {
    /// Sends the digest of everything held here.
    fn digest(&mut self, to: Member, digest: u64);
    /// Replies to a digest: the same records are held here.
    fn in_sync(&mut self, to: Member);
    /// Sends what is held here: for each log the number after its last record. `is_reply`: whether it
    /// answers such a message.
    fn heads(&mut self, to: Member, heads: &BTreeMap<LogId, u64>, is_reply: bool);
    /// Sends all records held of a log in a range of numbers.
    fn records(&mut self, to: Member, log: LogId, number_range: Range<u64>, records: &[Record<R>]);
    /// Notifies the local user that a record was added.
    fn added(&mut self, value: &R);
    /// Notifies the local user that a record expired.
    fn expired(&mut self, value: &R);
}

/// The records held of one log.
#[derive(Clone, Debug)]
struct LogRecords<R> {
    /// The number after the last record.
    head: u64,
    /// Each record with the time at which it expires.
    entries: BTreeMap<u64, (Duration, R)>,
    /// The last time at which a record expired, or else when the log was created; while there are no
    /// records, the time since which the log is empty.
    empty_since: Duration,
}

impl<R: Clone> LogRecords<R> {
    /// The records in a range of numbers, with their remaining lifetimes.
    fn records_in(&self, now: Duration, number_range: &Range<u64>) -> Vec<Record<R>> {
        let record = |(no, (expires_at, value)): (&u64, &(Duration, R))| Record {
            no: *no,
            remaining: expires_at.saturating_sub(now),
            value: value.clone(),
        };
        self.entries.range(number_range.clone()).map(record).collect()
    }
}

/// One member's copy of the set.
#[derive(Clone, Debug)]
pub struct ReplicatedSet<R> {
    own_log: LogId,
    retention: Duration,
    logs: BTreeMap<LogId, LogRecords<R>>,
}

impl<R: Clone + PartialEq> ReplicatedSet<R> {
    /// How long a value remains in the set; none if it isn't in it.
    pub fn remaining(&self, now: Duration, value: &R) -> Option<Duration> {
        let held = self.logs.values().flat_map(|log| log.entries.values());
        let expires_at = held
            .filter(|(expires_at, held_value)| held_value == value && *expires_at > now)
            .map(|(expires_at, _)| *expires_at)
            .max();
        expires_at.map(|expires_at| expires_at - now)
    }

    /// Creates an empty copy. `incarnation`: this start's number, greater than all earlier ones.
    /// `retention`: the longest time that a record is held.
    pub fn new(me: Member, incarnation: Incarnation, retention: Duration) -> ReplicatedSet<R> {
        ReplicatedSet { own_log: LogId { member: me, incarnation }, retention, logs: BTreeMap::new() }
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.logs.values().map(|log| log.entries.len()).sum()
    }

    /// Whether no records are held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of logs known, one per start of a member.
    pub fn log_count(&self) -> usize {
        self.logs.len()
    }

    /// Digest of the set; equal on copies that hold the same records.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        self.heads().hash(&mut hasher);
        hasher.finish()
    }

    /// The number after the last record, for each log that holds any; empty logs are left out.
    fn heads(&self) -> BTreeMap<LogId, u64> {
        let held = self.logs.iter().filter(|(_, log)| !log.entries.is_empty());
        held.map(|(log, records)| (*log, records.head)).collect()
    }

    /// Asks other members for their records at the start of this member.
    pub fn start(&self, out: &mut impl ReplicationEffects<R>, members: &[Member]) {
        members.iter().for_each(|to| out.heads(*to, &self.heads(), false));
    }

    /// Adds a record and sends it to the neighbours.
    pub fn add(
        &mut self, out: &mut impl ReplicationEffects<R>, now: Duration, value: R, neighbours: &[Member],
    ) {
        self.expire(out, now);
        out.added(&value);
        let expires_at = now + self.retention;
        let log = self.logs.entry(self.own_log).or_insert(LogRecords {
            head: 0,
            entries: BTreeMap::new(),
            empty_since: now,
        });
        let no = log.head;
        log.entries.insert(no, (expires_at, value.clone()));
        log.head += 1;
        let record = [Record { no, remaining: self.retention, value }];
        neighbours.iter().for_each(|to| out.records(*to, self.own_log, no..no + 1, &record));
    }

    /// Starts a comparison with one neighbour. The driver chooses how often and passes a different
    /// neighbour each time. Comparisons find the records that were lost on the way or sent while a
    /// member was away.
    pub fn tick(&mut self, out: &mut impl ReplicationEffects<R>, now: Duration, to: Member) {
        self.expire(out, now);
        out.digest(to, self.digest());
    }

    /// Handles another copy's digest: confirms it, or replies with the heads held here.
    pub fn on_digest(
        &mut self, out: &mut impl ReplicationEffects<R>, now: Duration, from: Member, digest: u64,
    ) {
        self.expire(out, now);
        if digest == self.digest() {
            out.in_sync(from);
        } else {
            out.heads(from, &self.heads(), false);
        }
    }

    /// Handles another copy's heads: sends the records that it lacks and asks for those lacked here.
    pub fn on_heads(
        &mut self, out: &mut impl ReplicationEffects<R>, now: Duration, from: Member,
        their_heads: &BTreeMap<LogId, u64>, is_reply: bool,
    ) {
        self.expire(out, now);
        let mut record_budget = MAX_REPLY_RECORD_COUNT;
        for (log, records) in &self.logs {
            let mut first = their_heads.get(log).copied().unwrap_or(0);
            while first < records.head && !records.entries.is_empty() && record_budget > 0 {
                let numbers = records.entries.range(first..).map(|(no, _)| *no);
                let end = numbers
                    .take(MAX_MESSAGE_RECORD_COUNT.min(record_budget) + 1)
                    .nth(MAX_MESSAGE_RECORD_COUNT.min(record_budget))
                    .unwrap_or(records.head);
                let batch = records.records_in(now, &(first..end));
                record_budget -= batch.len().max(1);
                out.records(from, *log, first..end, &batch);
                first = end;
            }
        }
        let lacks_records = |(log, head): (&LogId, &u64)| {
            *log != self.own_log && self.logs.get(log).map_or(0, |records| records.head) < *head
        };
        // Guards against two copies that ask each other endlessly while the records they send are lost.
        if !is_reply && their_heads.iter().any(lacks_records) {
            out.heads(from, &self.heads(), true);
        }
    }

    /// Handles all records that another copy holds of a log in a range of numbers; new records are
    /// passed on to the other neighbours.
    pub fn on_records(
        &mut self, out: &mut impl ReplicationEffects<R>, now: Duration, from: Member, log: LogId,
        number_range: Range<u64>, records: Vec<Record<R>>, neighbours: &[Member],
    ) {
        self.expire(out, now);
        let head = self.logs.get(&log).map_or(0, |records| records.head);
        // This start's own log is always complete here.
        if log == self.own_log || number_range.end <= head {
            return;
        }
        // Guards against a gap in the copy: the earlier records were lost or are still on their way.
        if number_range.start > head {
            return out.heads(from, &self.heads(), false);
        }
        let held =
            self.logs.entry(log).or_insert(LogRecords { head, entries: BTreeMap::new(), empty_since: now });
        for Record { no, remaining, value } in records {
            if (head..number_range.end).contains(&no) && !remaining.is_zero() {
                out.added(&value);
                held.entries.insert(no, (now + remaining.min(self.retention), value));
            }
        }
        held.head = number_range.end;
        let new_records = held.records_in(now, &(head..number_range.end));
        // Guards against expired records circulating endlessly. Nothing is passed on if no record is
        // left; comparisons find the difference in heads.
        let others = neighbours.iter().filter(|to| **to != from && !new_records.is_empty());
        others.for_each(|to| out.records(*to, log, head..number_range.end, &new_records));
    }

    /// Drops expired records and logs that are no longer needed.
    fn expire(&mut self, out: &mut impl ReplicationEffects<R>, now: Duration) {
        for log in self.logs.values_mut() {
            while let Some(first) = log.entries.first_entry().filter(|first| first.get().0 <= now) {
                out.expired(&first.remove().1);
                log.empty_since = now;
            }
        }
        // Logs of a member's earlier starts get no new records, so an empty one is dropped after one
        // more retention. Dropping it earlier would let a record that has expired here but not yet
        // elsewhere be learned again from other members, and again from here.
        let latest_incarnations: BTreeMap<_, _> =
            self.logs.keys().map(|log| (log.member, log.incarnation)).collect();
        let (retention, is_latest) =
            (self.retention, |log: &LogId| latest_incarnations[&log.member] == log.incarnation);
        self.logs.retain(|log, held| {
            !held.entries.is_empty() || is_latest(log) || now < held.empty_since + retention
        });
    }
}
