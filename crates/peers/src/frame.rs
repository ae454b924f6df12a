//! The frames that managers exchange: one protobuf message each. Members are identified by name, so that
//! they need not be numbered alike.

use ivyward_replica::{Claim, ClaimNo, ClaimSet, Group, LogId, Member, Record};
use ivyward_session::{Incarnation, SessionId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Protocol revision of this build. Revision 2 added replicated records; revision 3 sends the group's
/// digest instead of its text and replies to digests. Revisions 2 and 3 can't read each other's hello;
/// each of them reports it.
pub const REVISION: u32 = 3;

/// Length of the header of each frame, which is the frame's length.
pub const FRAME_HEADER_BYTES: usize = 4;

/// The first frame on each connection: who sends, and for which group and revision.
pub const HELLO: u32 = 1;
/// Asks an acceptor to accept a claim.
pub const CLAIM: u32 = 2;
/// The claim is accepted and on disk.
pub const ACCEPTED: u32 = 3;
/// The claim is not accepted.
pub const REJECTED: u32 = 4;
/// Asks an acceptor to withdraw a claim.
pub const WITHDRAW: u32 = 5;
/// The claim is withdrawn.
pub const WITHDRAWN: u32 = 6;
/// Asks a member for the claims that the sender may have lost.
pub const REQUEST_RECOVERY: u32 = 7;
/// One session of the reply.
pub const RECOVERY_ENTRY: u32 = 8;
/// The end of the reply, with the number of entries.
pub const RECOVERY_DONE: u32 = 9;
/// Digest of the replicated records that the sender holds.
pub const DIGEST: u32 = 10;
/// The number after the last record of each log that the sender holds.
pub const HEADS: u32 = 11;
/// Records of one log.
pub const RECORDS: u32 = 12;
/// Reply to a digest: the same records are held here.
pub const IN_SYNC: u32 = 13;
/// Reply to a hello: the group is configured differently here; the frame carries the configuration.
pub const DIFFERS: u32 = 14;

/// The kind of record that revokes a session.
pub const RECORD_KIND_REVOKED: u32 = 1;

/// A frame; which fields are used depends on its kind.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Kind of frame, such as `HELLO`.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Id of the session.
    #[prost(bytes = "vec", tag = "2")]
    pub session: Vec<u8>,
    /// The claim; in records, their log and first number.
    #[prost(message, optional, tag = "3")]
    pub claim: Option<ClaimMessage>,
    /// The incarnation of the sender, or of the member in recovery.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Whether a rejection is because another claim is accepted.
    #[prost(bool, tag = "5")]
    pub taken: bool,
    /// Number of recovery entries, a digest, or the number after the last of the records.
    #[prost(uint64, tag = "6")]
    pub count: u64,
    /// Accepted claims, in a recovery entry.
    #[prost(message, repeated, tag = "7")]
    pub claims: Vec<ClaimMessage>,
    /// Withdrawn claims, in a recovery entry.
    #[prost(message, repeated, tag = "8")]
    pub withdrawn: Vec<ClaimMessage>,
    /// Starts without stable storage, or the heads of logs.
    #[prost(message, repeated, tag = "9")]
    pub starts: Vec<ClaimMessage>,
    /// Name of the sender, in a hello.
    #[prost(string, tag = "10")]
    pub name: String,
    /// The group's configuration as text, sent only on a mismatch.
    #[prost(string, tag = "11")]
    pub group: String,
    /// Protocol revision of the sender.
    #[prost(uint32, tag = "12")]
    pub revision: u32,
    /// Whether this is a reply to the receiver's own heads.
    #[prost(bool, tag = "13")]
    pub is_reply: bool,
    /// Replicated records.
    #[prost(message, repeated, tag = "14")]
    pub records: Vec<RecordMessage>,
    /// Digest of the group's configuration.
    #[prost(bytes = "vec", tag = "15")]
    pub digest: Vec<u8>,
}

/// A replicated record: its number, its remaining lifetime and its value.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RecordMessage {
    /// Number in its log.
    #[prost(uint64, tag = "1")]
    pub no: u64,
    /// Remaining lifetime in milliseconds.
    #[prost(uint64, tag = "2")]
    pub remaining_ms: u64,
    /// Kind of record.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// Id of the session that is revoked.
    #[prost(bytes = "vec", tag = "4")]
    pub session: Vec<u8>,
}

/// A claim; without a number, a start of a member; in heads and records, a log with a record number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimMessage {
    /// Name of the member.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Start of the member.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the claim or record.
    #[prost(uint64, tag = "3")]
    pub no: u64,
}

/// Encodes a claim.
pub fn encode_claim(group: &Group, claim: Claim) -> ClaimMessage {
    ClaimMessage { name: group.name(claim.proposer).into(), incarnation: claim.incarnation.0, no: claim.no.0 }
}

/// Encodes a member's start.
pub fn encode_start(group: &Group, (member, incarnation): (Member, Incarnation)) -> ClaimMessage {
    ClaimMessage { name: group.name(member).into(), incarnation: incarnation.0, no: 0 }
}

/// None for a member that is not in the group.
pub fn decode_claim(group: &Group, message: &ClaimMessage) -> Option<Claim> {
    Some(Claim {
        proposer: group.member(&message.name)?,
        incarnation: Incarnation(message.incarnation),
        no: ClaimNo(message.no),
    })
}

/// Decodes a set of claims.
pub fn decode_claims(group: &Group, messages: &[ClaimMessage]) -> Option<std::collections::BTreeSet<Claim>> {
    messages.iter().map(|message| decode_claim(group, message)).collect()
}

/// Decodes starts of members.
pub fn decode_starts(group: &Group, messages: &[ClaimMessage]) -> Option<Vec<(Member, Incarnation)>> {
    messages
        .iter()
        .map(|message| Some((group.member(&message.name)?, Incarnation(message.incarnation))))
        .collect()
}

/// Encodes the head of a log.
pub fn encode_head(group: &Group, (log, head): (&LogId, &u64)) -> ClaimMessage {
    ClaimMessage { name: group.name(log.member).into(), incarnation: log.incarnation.0, no: *head }
}

/// Decodes the heads of logs.
pub fn decode_heads(group: &Group, messages: &[ClaimMessage]) -> Option<BTreeMap<LogId, u64>> {
    let head = |message: &ClaimMessage| {
        Some((
            LogId { member: group.member(&message.name)?, incarnation: Incarnation(message.incarnation) },
            message.no,
        ))
    };
    messages.iter().map(head).collect()
}

/// Encodes a revoked session.
pub fn encode_record(record: &Record<SessionId>) -> RecordMessage {
    let (remaining_ms, session) = (record.remaining.as_millis() as u64, record.value.0.to_be_bytes().into());
    RecordMessage { no: record.no, remaining_ms, kind: RECORD_KIND_REVOKED, session }
}

/// Records of kinds that a later revision adds are left out.
pub fn decode_records(messages: &[RecordMessage]) -> Option<Vec<Record<SessionId>>> {
    let record = |message: &RecordMessage| {
        let remaining = Duration::from_millis(message.remaining_ms);
        Some(Record { no: message.no, remaining, value: decode_session(&message.session)? })
    };
    messages.iter().filter(|message| message.kind == RECORD_KIND_REVOKED).map(record).collect()
}

/// Decodes a session's id; none if its length is wrong.
pub fn decode_session(bytes: &[u8]) -> Option<SessionId> {
    bytes.try_into().ok().map(|bytes| SessionId(u128::from_be_bytes(bytes)))
}

/// Encodes the claims of a session; also the format of the store's entries.
pub fn encode_recovery_entry(group: &Group, session: SessionId, claim_set: &ClaimSet) -> Frame {
    let encode_all = |claims: &std::collections::BTreeSet<Claim>| {
        claims.iter().map(|claim| encode_claim(group, *claim)).collect()
    };
    Frame {
        kind: RECOVERY_ENTRY,
        session: session.0.to_be_bytes().into(),
        claims: encode_all(&claim_set.claims),
        withdrawn: encode_all(&claim_set.withdrawn),
        ..Frame::default()
    }
}

/// The claims of a session, as [`encode_recovery_entry`] wrote them.
pub fn decode_claim_set(group: &Group, frame: &Frame) -> Option<(SessionId, ClaimSet)> {
    let claim_set = ClaimSet {
        claims: decode_claims(group, &frame.claims)?,
        withdrawn: decode_claims(group, &frame.withdrawn)?,
    };
    Some((decode_session(&frame.session)?, claim_set))
}

/// Longest text from another member in a log line, in characters.
const MAX_TEXT_CHARS: usize = 120;

/// Truncates a text from another member for the log.
pub fn truncate(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}

/// Where two groups' texts begin to differ, with an excerpt of each.
pub fn describe_difference(ours: &str, theirs: &str) -> String {
    let common_prefix_len = ours.chars().zip(theirs.chars()).take_while(|(a, b)| a == b).count();
    // Back to the start of the member entry in which they differ.
    let start = ours.char_indices().nth(common_prefix_len).map_or(ours.len(), |(index, _)| index);
    let start = ours[..start].rfind(", ").map_or(0, |separator| ours[..separator].chars().count() + 2);
    let excerpt = |text: &str| text.chars().skip(start).take(MAX_TEXT_CHARS / 2).collect::<String>();
    format!("here {:?}, there {:?}", excerpt(ours), excerpt(theirs))
}
