//! What all members are to know: records that each start of a member numbers on its own, and copies of them everywhere.
//!
//! A record is known by its member, that one's start and its number there. Copies hold of each start all records from the
//! first to some number, but for those that are over, so a copy's state is one number a start: two copies compare one
//! digest, and only where that differs the numbers, and then move what one of them lacks and no more. A record carries
//! how long it is still to be held, never a date: that span only shrinks from copy to copy, so that one which is told on
//! and on is over everywhere at last, and none comes back for longer than it had left and was
//! on its way.

use crate::Member;
use ivyward_session::Incarnation;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::time::Duration;

/// Records told in one message, and in answer to one account; what is behind by more asks again.
const MESSAGE_RECORD_COUNT: usize = 256;
const ANSWER_RECORD_COUNT: usize = 16 * MESSAGE_RECORD_COUNT;
/// The records of one start of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Log {
    pub of: Member,
    pub incarnation: Incarnation,
}

/// A record with its number, and how long it is still to be held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<R> {
    pub no: u64,
    pub remaining: Duration,
    pub value: R,
}

/// What is told to members; any of it may be lost, doubled, or come late.
pub trait ReplicationEffects<R> {
    /// All that is held here, in one number.
    fn digest(&mut self, to: Member, digest: u64);
    /// In answer to such a number: the same is held here.
    fn in_sync(&mut self, to: Member);
    /// What is held here: of each log the number after the last. `back`: in answer to such an account.
    fn heads(&mut self, to: Member, heads: &BTreeMap<Log, u64>, is_reply: bool);
    /// All that is held of a log between two numbers.
    fn records(&mut self, to: Member, log: Log, between: Range<u64>, records: &[Record<R>]);
    /// To whoever uses them here: that is known now, that is over.
    fn added(&mut self, value: &R);
    fn expired(&mut self, value: &R);
}

#[derive(Clone, Debug)]
struct LogRecords<R> {
    /// The number after the last.
    head: u64,
    /// When each is over.
    entries: BTreeMap<u64, (Duration, R)>,
    /// Since when nothing is held.
    empty_since: Duration,
}

impl<R: Clone> LogRecords<R> {
    fn between(&self, now: Duration, between: &Range<u64>) -> Vec<Record<R>> {
        let record = |(no, (until, value)): (&u64, &(Duration, R))| Record {
            no: *no,
            remaining: until.saturating_sub(now),
            value: value.clone(),
        };
        self.entries.range(between.clone()).map(record).collect()
    }
}

/// One member's copy.
#[derive(Clone, Debug)]
pub struct ReplicatedSet<R> {
    own: Log,
    span: Duration,
    logs: BTreeMap<Log, LogRecords<R>>,
}

impl<R: Clone + PartialEq> ReplicatedSet<R> {
    /// How long that is still held at most; none if nobody told it.
    pub fn remaining(&self, now: Duration, value: &R) -> Option<Duration> {
        let held = self.logs.values().flat_map(|log| log.entries.values());
        let until = held.filter(|(until, held)| held == value && *until > now).map(|(until, _)| *until).max();
        until.map(|until| until - now)
    }

    /// `incarnation`: this start, above all before; `span`: how long a record is held at most.
    pub fn new(me: Member, incarnation: Incarnation, span: Duration) -> ReplicatedSet<R> {
        ReplicatedSet { own: Log { of: me, incarnation }, span, logs: BTreeMap::new() }
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.logs.values().map(|log| log.entries.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Starts of members that anything is known of.
    pub fn logs(&self) -> usize {
        self.logs.len()
    }

    /// The same on two copies that hold the same.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        self.heads().hash(&mut hasher);
        hasher.finish()
    }

    /// Logs of which nothing is held any more aren't spoken of.
    fn heads(&self) -> BTreeMap<Log, u64> {
        let held = self.logs.iter().filter(|(_, log)| !log.entries.is_empty());
        held.map(|(log, records)| (*log, records.head)).collect()
    }

    /// This start: asks others for what they hold.
    pub fn start(&self, out: &mut impl ReplicationEffects<R>, asked: &[Member]) {
        asked.iter().for_each(|to| out.heads(*to, &self.heads(), false));
    }

    /// All are to know that.
    pub fn add(
        &mut self, out: &mut impl ReplicationEffects<R>, now: Duration, value: R, neighbours: &[Member],
    ) {
        self.expire(out, now);
        out.added(&value);
        let until = now + self.span;
        let log = self.logs.entry(self.own).or_insert(LogRecords {
            head: 0,
            entries: BTreeMap::new(),
            empty_since: now,
        });
        let no = log.head;
        log.entries.insert(no, (until, value.clone()));
        log.head += 1;
        let record = [Record { no, remaining: self.span, value }];
        neighbours.iter().for_each(|to| out.records(*to, self.own, no..no + 1, &record));
    }

    /// A turn, as often as the driver likes: compares with a neighbour, each when it is due. What was lost on the way, or
    /// told while nobody listened, is found out by it.
    pub fn tick(&mut self, out: &mut impl ReplicationEffects<R>, now: Duration, to: Member) {
        self.expire(out, now);
        out.digest(to, self.digest());
    }

    /// Another's digest.
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

    /// Another's account of what it holds: told is what it lacks, asked for what is lacked here.
    pub fn on_heads(
        &mut self, out: &mut impl ReplicationEffects<R>, now: Duration, from: Member,
        theirs: &BTreeMap<Log, u64>, is_reply: bool,
    ) {
        self.expire(out, now);
        let mut record_budget = ANSWER_RECORD_COUNT;
        for (log, records) in &self.logs {
            let mut first = theirs.get(log).copied().unwrap_or(0);
            while first < records.head && !records.entries.is_empty() && record_budget > 0 {
                let numbers = records.entries.range(first..).map(|(no, _)| *no);
                let end = numbers
                    .take(MESSAGE_RECORD_COUNT.min(record_budget) + 1)
                    .nth(MESSAGE_RECORD_COUNT.min(record_budget))
                    .unwrap_or(records.head);
                let batch = records.between(now, &(first..end));
                record_budget -= batch.len().max(1);
                out.records(from, *log, first..end, &batch);
                first = end;
            }
        }
        let lacks = |(log, head): (&Log, &u64)| {
            *log != self.own && self.logs.get(log).map_or(0, |records| records.head) < *head
        };
        // Guards against two that ask each other on and on while what they answer is lost.
        if !is_reply && theirs.iter().any(lacks) {
            out.heads(from, &self.heads(), true);
        }
    }

    /// Of a log all that another holds between two numbers; what is new is passed on to the other neighbours.
    pub fn on_records(
        &mut self, out: &mut impl ReplicationEffects<R>, now: Duration, from: Member, log: Log,
        between: Range<u64>, records: Vec<Record<R>>, neighbours: &[Member],
    ) {
        self.expire(out, now);
        let head = self.logs.get(&log).map_or(0, |records| records.head);
        // This start's own are known best here.
        if log == self.own || between.end <= head {
            return;
        }
        // Guards against a copy with a hole in it: what came before was lost, or comes yet.
        if between.start > head {
            return out.heads(from, &self.heads(), false);
        }
        let held =
            self.logs.entry(log).or_insert(LogRecords { head, entries: BTreeMap::new(), empty_since: now });
        for Record { no, remaining, value } in records {
            if (head..between.end).contains(&no) && !remaining.is_zero() {
                out.added(&value);
                held.entries.insert(no, (now + remaining.min(self.span), value));
            }
        }
        held.head = between.end;
        let fresh = held.between(now, &(head..between.end));
        // Guards against what is over being passed on round and round: that there was something is for turns to find out.
        let others = neighbours.iter().filter(|to| **to != from && !fresh.is_empty());
        others.for_each(|to| out.records(*to, log, head..between.end, &fresh));
    }

    fn expire(&mut self, out: &mut impl ReplicationEffects<R>, now: Duration) {
        for log in self.logs.values_mut() {
            while let Some(first) = log.entries.first_entry().filter(|first| first.get().0 <= now) {
                out.expired(&first.remove().1);
                log.empty_since = now;
            }
        }
        // Of starts before a member's last nothing new comes: what is empty is left out for good, a span later. Guards
        // against a record that is over here, not yet at others, and is learned again from them, and again from here.
        let last: BTreeMap<_, _> = self.logs.keys().map(|log| (log.of, log.incarnation)).collect();
        let (span, is_last) = (self.span, |log: &Log| last[&log.of] == log.incarnation);
        self.logs
            .retain(|log, held| !held.entries.is_empty() || is_last(log) || now < held.empty_since + span);
    }
}
