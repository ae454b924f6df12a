//! What managers write to each other: one message of protobuf a frame, members by their names, so that they need not
//! number them alike.

use ivyward_replica::{Claim, ClaimNo, ClaimSet, Group, Log, Member, Record};
use ivyward_session::{Incarnation, SessionId};
use std::collections::BTreeMap;
use std::time::Duration;

/// What managers of this build speak: records in common since 2, a group told by its digest and digests that are answered
/// since 3. Greetings of 2 can't be read by 3 nor the other way round; each says so.
pub const REVISION: u32 = 3;

/// Bytes before each frame: its length.
pub const HEAD: usize = 4;

pub const HELLO: u32 = 1;
pub const CLAIM: u32 = 2;
pub const ACCEPTED: u32 = 3;
pub const REJECTED: u32 = 4;
pub const WITHDRAW: u32 = 5;
pub const WITHDRAWN: u32 = 6;
pub const REQUEST_RECOVERY: u32 = 7;
pub const RECOVERY_ENTRY: u32 = 8;
pub const RECOVERY_DONE: u32 = 9;
pub const DIGEST: u32 = 10;
pub const HEADS: u32 = 11;
pub const RECORDS: u32 = 12;
/// In answer to a digest: the same here. To a greeting: the group as configured here, which is another.
pub const IN_SYNC: u32 = 13;
pub const DIFFERS: u32 = 14;

/// Kinds of records in common.
pub const REVOKED: u32 = 1;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(bytes = "vec", tag = "2")]
    pub session: Vec<u8>,
    #[prost(message, optional, tag = "3")]
    pub claim: Option<Who>,
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    #[prost(bool, tag = "5")]
    pub taken: bool,
    #[prost(uint64, tag = "6")]
    pub count: u64,
    #[prost(message, repeated, tag = "7")]
    pub claims: Vec<Who>,
    #[prost(message, repeated, tag = "8")]
    pub withdrawn: Vec<Who>,
    #[prost(message, repeated, tag = "9")]
    pub starts: Vec<Who>,
    /// Of who says hello.
    #[prost(string, tag = "10")]
    pub name: String,
    /// The group as configured there, told only where it differs.
    #[prost(string, tag = "11")]
    pub group: String,
    #[prost(uint32, tag = "12")]
    pub revision: u32,
    /// In answer to an account.
    #[prost(bool, tag = "13")]
    pub is_reply: bool,
    #[prost(message, repeated, tag = "14")]
    pub records: Vec<Told>,
    /// Of the group as configured there.
    #[prost(bytes = "vec", tag = "15")]
    pub digest: Vec<u8>,
}

/// A record in common: its number, how long it is still to be held, and what it tells of.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Told {
    #[prost(uint64, tag = "1")]
    pub no: u64,
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    #[prost(bytes = "vec", tag = "4")]
    pub session: Vec<u8>,
}

/// A claim, or with no number a start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Who {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub no: u64,
}

pub fn who(group: &Group, claim: Claim) -> Who {
    Who { name: group.name(claim.by).into(), incarnation: claim.incarnation.0, no: claim.no.0 }
}

pub fn start(group: &Group, (member, incarnation): (Member, Incarnation)) -> Who {
    Who { name: group.name(member).into(), incarnation: incarnation.0, no: 0 }
}

/// None for a member that is none of the group.
pub fn claim(group: &Group, who: &Who) -> Option<Claim> {
    Some(Claim {
        by: group.member(&who.name)?,
        incarnation: Incarnation(who.incarnation),
        no: ClaimNo(who.no),
    })
}

pub fn claims(group: &Group, all: &[Who]) -> Option<std::collections::BTreeSet<Claim>> {
    all.iter().map(|who| claim(group, who)).collect()
}

pub fn starts(group: &Group, all: &[Who]) -> Option<Vec<(Member, Incarnation)>> {
    all.iter().map(|who| Some((group.member(&who.name)?, Incarnation(who.incarnation)))).collect()
}

pub fn head(group: &Group, (log, head): (&Log, &u64)) -> Who {
    Who { name: group.name(log.of).into(), incarnation: log.incarnation.0, no: *head }
}

pub fn heads(group: &Group, all: &[Who]) -> Option<BTreeMap<Log, u64>> {
    let head = |who: &Who| {
        Some((Log { of: group.member(&who.name)?, incarnation: Incarnation(who.incarnation) }, who.no))
    };
    all.iter().map(head).collect()
}

pub fn told(record: &Record<SessionId>) -> Told {
    let (left_ms, session) = (record.remaining.as_millis() as u64, record.value.0.to_be_bytes().into());
    Told { no: record.no, left_ms, kind: REVOKED, session }
}

/// Records of kinds that a later revision tells of are left out.
pub fn records(all: &[Told]) -> Option<Vec<Record<SessionId>>> {
    let record = |told: &Told| {
        let left = Duration::from_millis(told.left_ms);
        Some(Record { no: told.no, remaining: left, value: session(&told.session)? })
    };
    all.iter().filter(|told| told.kind == REVOKED).map(record).collect()
}

pub fn session(bytes: &[u8]) -> Option<SessionId> {
    bytes.try_into().ok().map(|bytes| SessionId(u128::from_be_bytes(bytes)))
}

pub fn recovery_entry(group: &Group, session: SessionId, claim_set: &ClaimSet) -> Frame {
    let all = |claims: &std::collections::BTreeSet<Claim>| claims.iter().map(|c| who(group, *c)).collect();
    Frame {
        kind: RECOVERY_ENTRY,
        session: session.0.to_be_bytes().into(),
        claims: all(&claim_set.claims),
        withdrawn: all(&claim_set.withdrawn),
        ..Frame::default()
    }
}

/// What is held of a session, as [`recovery_entry`] wrote it.
pub fn claim_set(group: &Group, frame: &Frame) -> Option<(SessionId, ClaimSet)> {
    let claim_set =
        ClaimSet { claims: claims(group, &frame.claims)?, withdrawn: claims(group, &frame.withdrawn)? };
    Some((session(&frame.session)?, claim_set))
}

/// The longest text from outside in a line, in characters.
const BRIEF: usize = 120;

/// A text from outside as it may stand in a line.
pub fn brief(text: &str) -> String {
    text.chars().take(BRIEF).collect()
}

/// Where the texts of two groups part, some of each.
pub fn difference(ours: &str, theirs: &str) -> String {
    let same = ours.chars().zip(theirs.chars()).take_while(|(a, b)| a == b).count();
    // From the start of the member on that they part in.
    let begun = ours.char_indices().nth(same).map_or(ours.len(), |(at, _)| at);
    let begun = ours[..begun].rfind(", ").map_or(0, |at| ours[..at].chars().count() + 2);
    let from = |text: &str| text.chars().skip(begun).take(BRIEF / 2).collect::<String>();
    format!("here {:?}, there {:?}", from(ours), from(theirs))
}
