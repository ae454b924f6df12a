//! What a member promised, on disk: an embedded database, since its writes are whole or not there, and synced.

use crate::frame::{self, Frame};
use ivyward_replica::{ClaimSet, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use prost::Message;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const SESSIONS: TableDefinition<u128, &[u8]> = TableDefinition::new("sessions");
const STARTS: TableDefinition<&str, u64> = TableDefinition::new("starts");
const ABOUT: TableDefinition<&str, &str> = TableDefinition::new("about");
/// Whether the memory is whole, for which group, and as which revision it was written.
const WHOLE: &str = "whole";
const GROUP: &str = "group";
const REVISION: &str = "revision";
/// Of what is written here, not of what members speak: a store outlives a change of that.
const WRITTEN_AS: u32 = 2;

/// One change, to be written with others in one sync.
pub enum Note {
    Held(SessionId, Vec<u8>),
    Forgotten(SessionId),
    Start(String, Incarnation),
    Whole,
}

impl Note {
    pub fn held(group: &Group, session: SessionId, held: &ClaimSet) -> Note {
        Note::Held(session, frame::recovery_entry(group, session, held).encode_to_vec())
    }
}

/// What was found on disk.
#[derive(Default)]
pub struct Stored {
    pub whole: bool,
    pub sessions: BTreeMap<SessionId, ClaimSet>,
    pub starts: BTreeMap<Member, Incarnation>,
}

#[derive(Clone)]
pub struct Store(Arc<Database>);

fn file(dir: &str) -> PathBuf {
    Path::new(dir).join("keeper.redb")
}

fn told<E: std::fmt::Display>(file: &Path) -> impl Fn(E) -> String {
    move |error| format!("{}: {error}", file.display())
}

impl Store {
    /// Opens the memory in `dir`, or makes an empty one that is not whole: of a member without memory.
    ///
    /// # Errors
    /// It can't be read or written, or is another group's, or holds something else; the line names the file.
    pub fn open(dir: &str, group: &Group) -> Result<(Store, Stored), String> {
        let file = file(dir);
        fs::create_dir_all(dir).map_err(told(&file))?;
        let database = Database::create(&file).map_err(told(&file))?;
        let change = database.begin_write().map_err(told(&file))?;
        let stored = {
            let mut about = change.open_table(ABOUT).map_err(told(&file))?;
            for (name, wanted) in [(GROUP, group.text()), (REVISION, WRITTEN_AS.to_string())] {
                let found = about.get(name).map_err(told(&file))?.map(|text| text.value().to_string());
                if let Some(found) = found.as_ref().filter(|found| **found != wanted) {
                    let what = format!("{name} is {found}, the settings say {wanted}");
                    return Err(format!("{}: it was written for another: {what}", file.display()));
                }
                about.insert(name, wanted.as_str()).map_err(told(&file))?;
            }
            let mut stored =
                Stored { whole: about.get(WHOLE).map_err(told(&file))?.is_some(), ..Stored::default() };
            let sessions = change.open_table(SESSIONS).map_err(told(&file))?;
            for row in sessions.iter().map_err(told(&file))? {
                let (session, bytes) = row.map_err(told(&file))?;
                let read = Frame::decode(bytes.value()).ok().and_then(|row| frame::claim_set(group, &row));
                let session = session.value();
                // Guards against a promise left out since it can't be read.
                let (session, held) = read
                    .ok_or(format!("{}: the row of session {session:032x} can't be read", file.display()))?;
                stored.sessions.insert(session, held);
            }
            let starts = change.open_table(STARTS).map_err(told(&file))?;
            for row in starts.iter().map_err(told(&file))? {
                let (name, incarnation) = row.map_err(told(&file))?;
                stored.starts.extend(
                    group.member(name.value()).map(|member| (member, Incarnation(incarnation.value()))),
                );
            }
            stored
        };
        change.commit().map_err(told(&file))?;
        Ok((Store(Arc::new(database)), stored))
    }

    /// Makes the memory of a member that has never kept anything.
    ///
    /// # Errors
    /// There is one already, or it can't be written.
    pub fn begin(dir: &str, group: &Group) -> Result<PathBuf, String> {
        let file = file(dir);
        if file.exists() {
            return Err(format!("{}: is there already: this member has kept something", file.display()));
        }
        let (store, _) = Store::open(dir, group)?;
        store.write(&[Note::Whole]).map_err(told(&file))?;
        Ok(file)
    }

    /// Writes notes in order, with one sync; all of them or none.
    ///
    /// # Errors
    /// They could not be written: nothing that hangs on them may be said.
    pub fn write(&self, notes: &[Note]) -> Result<(), redb::Error> {
        let change = self.0.begin_write()?;
        {
            let mut sessions = change.open_table(SESSIONS)?;
            let (mut starts, mut about) = (change.open_table(STARTS)?, change.open_table(ABOUT)?);
            for note in notes {
                match note {
                    Note::Held(session, row) => drop(sessions.insert(session.0, row.as_slice())?),
                    Note::Forgotten(session) => drop(sessions.remove(session.0)?),
                    Note::Start(name, incarnation) => drop(starts.insert(name.as_str(), incarnation.0)?),
                    Note::Whole => drop(about.insert(WHOLE, "yes")?),
                }
            }
        }
        change.commit()?;
        Ok(())
    }

    /// How many sessions are on disk.
    ///
    /// # Errors
    /// They can't be read.
    pub fn count(&self) -> Result<u64, redb::Error> {
        use redb::ReadableTableMetadata;
        Ok(self.0.begin_read()?.open_table(SESSIONS)?.len()?)
    }
}
