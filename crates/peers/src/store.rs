//! What a member has promised, on disk, in an embedded database: its writes are synced and atomic.

use crate::frame::{self, Frame};
use ivyward_replica::{ClaimSet, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use prost::Message;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Claims of each session, encoded as recovery entries.
const SESSIONS: TableDefinition<u128, &[u8]> = TableDefinition::new("sessions");
/// Latest start without stable storage of each member, by name.
const STARTS: TableDefinition<&str, u64> = TableDefinition::new("starts");
/// What the store is for.
const METADATA: TableDefinition<&str, &str> = TableDefinition::new("about");
/// Keys of the metadata table: whether the stored claims are complete, for which group they were
/// written, and in which format revision.
const COMPLETE_KEY: &str = "whole";
const GROUP_KEY: &str = "group";
const REVISION_KEY: &str = "revision";
/// Revision of the store's format, not of the protocol between members: a store stays valid when the
/// protocol changes.
const FORMAT_REVISION: u32 = 2;

/// One change, written together with others in one sync.
pub enum StoreChange {
    /// Sets the claims of a session.
    PutClaims(SessionId, Vec<u8>),
    /// Removes a session.
    RemoveClaims(SessionId),
    /// Sets the latest start without stable storage of a member.
    PutStart(String, Incarnation),
    /// Marks the stored claims as complete.
    MarkComplete,
}

impl StoreChange {
    /// The write of a session's claims.
    pub fn claim_set(group: &Group, session: SessionId, claim_set: &ClaimSet) -> StoreChange {
        StoreChange::PutClaims(
            session,
            frame::encode_recovery_entry(group, session, claim_set).encode_to_vec(),
        )
    }
}

/// What the store contained.
#[derive(Default)]
pub struct StoredState {
    /// Whether the stored claims are complete.
    pub is_complete: bool,
    /// The claims of each session.
    pub sessions: BTreeMap<SessionId, ClaimSet>,
    /// The latest start without stable storage of each member.
    pub starts: BTreeMap<Member, Incarnation>,
}

/// A handle to the database.
#[derive(Clone)]
pub struct Store(Arc<Database>);

/// The file of the store in a folder.
fn store_path(dir: &str) -> PathBuf {
    Path::new(dir).join("keeper.redb")
}

/// Prefixes an error with the file's path.
fn with_path<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> String {
    move |error| format!("{}: {error}", path.display())
}

impl Store {
    /// Opens the store in `dir`, or creates an empty one that is not complete, as after a loss of stable
    /// storage.
    ///
    /// # Errors
    /// It can't be read or written, belongs to another group, or holds something else; the message names
    /// the file.
    pub fn open(dir: &str, group: &Group) -> Result<(Store, StoredState), String> {
        let path = store_path(dir);
        fs::create_dir_all(dir).map_err(with_path(&path))?;
        let database = Database::create(&path).map_err(with_path(&path))?;
        let transaction = database.begin_write().map_err(with_path(&path))?;
        let stored = {
            let mut metadata = transaction.open_table(METADATA).map_err(with_path(&path))?;
            for (name, expected) in [(GROUP_KEY, group.text()), (REVISION_KEY, FORMAT_REVISION.to_string())] {
                let found =
                    metadata.get(name).map_err(with_path(&path))?.map(|text| text.value().to_string());
                if let Some(found) = found.as_ref().filter(|found| **found != expected) {
                    let mismatch = format!("{name} is {found}, expected {expected}");
                    return Err(format!(
                        "{}: the store belongs to another group or build: {mismatch}",
                        path.display()
                    ));
                }
                metadata.insert(name, expected.as_str()).map_err(with_path(&path))?;
            }
            let mut stored = StoredState {
                is_complete: metadata.get(COMPLETE_KEY).map_err(with_path(&path))?.is_some(),
                ..StoredState::default()
            };
            let sessions = transaction.open_table(SESSIONS).map_err(with_path(&path))?;
            for entry in sessions.iter().map_err(with_path(&path))? {
                let (session, bytes) = entry.map_err(with_path(&path))?;
                let decoded = Frame::decode(bytes.value())
                    .ok()
                    .and_then(|frame| frame::decode_claim_set(group, &frame));
                let session = session.value();
                // Guards against leaving out a promise because it can't be read.
                let (session, claim_set) = decoded
                    .ok_or(format!("{}: the entry of session {session:032x} is unreadable: restore the file, or remove it to recover from the other members", path.display()))?;
                stored.sessions.insert(session, claim_set);
            }
            let starts = transaction.open_table(STARTS).map_err(with_path(&path))?;
            for entry in starts.iter().map_err(with_path(&path))? {
                let (name, incarnation) = entry.map_err(with_path(&path))?;
                stored.starts.extend(
                    group.member(name.value()).map(|member| (member, Incarnation(incarnation.value()))),
                );
            }
            stored
        };
        transaction.commit().map_err(with_path(&path))?;
        Ok((Store(Arc::new(database)), stored))
    }

    /// Creates the store of a member that has never accepted a claim.
    ///
    /// # Errors
    /// There is a store already, or it can't be written.
    pub fn create(dir: &str, group: &Group) -> Result<PathBuf, String> {
        let path = store_path(dir);
        if path.exists() {
            return Err(format!(
                "{}: the store already exists: this member may have accepted claims",
                path.display()
            ));
        }
        let (store, _) = Store::open(dir, group)?;
        store.write(&[StoreChange::MarkComplete]).map_err(with_path(&path))?;
        Ok(path)
    }

    /// Writes changes in order, with one sync; all of them or none.
    ///
    /// # Errors
    /// They could not be written: no reply that depends on them may be sent.
    pub fn write(&self, writes: &[StoreChange]) -> Result<(), redb::Error> {
        let transaction = self.0.begin_write()?;
        {
            let mut sessions = transaction.open_table(SESSIONS)?;
            let (mut starts, mut metadata) =
                (transaction.open_table(STARTS)?, transaction.open_table(METADATA)?);
            for write in writes {
                match write {
                    StoreChange::PutClaims(session, entry) => {
                        drop(sessions.insert(session.0, entry.as_slice())?)
                    }
                    StoreChange::RemoveClaims(session) => drop(sessions.remove(session.0)?),
                    StoreChange::PutStart(name, incarnation) => {
                        drop(starts.insert(name.as_str(), incarnation.0)?)
                    }
                    StoreChange::MarkComplete => drop(metadata.insert(COMPLETE_KEY, "yes")?),
                }
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Number of sessions on disk.
    ///
    /// # Errors
    /// They can't be read.
    pub fn count(&self) -> Result<u64, redb::Error> {
        use redb::ReadableTableMetadata;
        Ok(self.0.begin_read()?.open_table(SESSIONS)?.len()?)
    }
}
