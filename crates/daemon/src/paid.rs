//! The log of paid sessions, which survives a crash. A session is on disk before any byte of its set-up is
//! sent, so that no later start of the manager sets it up again, whichever token the viewer presents.

use ivyward::interface::ServerId;
use ivyward_session::SessionId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use crate::setup;

/// A paid session, the server of its last set-up, and the date until which it must not be set up again.
pub type PaidSession = (SessionId, ServerId, Duration);

/// Formats one line: the session's 32 hexadecimal digits, the server's address, the date in seconds, and a
/// full stop. A half-written line lacks the full stop.
fn format_line((session, server, until): &PaidSession) -> String {
    format!("{:032x} {} {} .\n", session.0, setup::server_address(*server), until.as_secs())
}

/// Reads one line; `None` if it is incomplete or malformed.
fn parse_line(line: &str) -> Option<PaidSession> {
    let mut fields = line.split(' ');
    let session = setup::parse_session_id(fields.next()?)?;
    let server = setup::server_id(fields.next()?)?;
    let until = Duration::from_secs(fields.next()?.parse().ok()?);
    (fields.next() == Some(".") && fields.next().is_none()).then_some((SessionId(session), server, until))
}

/// The log file; `None` without a state folder.
#[derive(Default)]
pub struct PaidSessionLog(RefCell<Option<Arc<File>>>);

impl PaidSessionLog {
    /// Opens the log in `dir` and returns the sessions whose date is after `date`; the others are removed
    /// from the file.
    ///
    /// Lines that can't be read had no effect: a set-up is sent only after its complete line is on disk.
    ///
    /// # Errors
    /// The folder can't be read or written.
    pub fn open(dir: &str, date: Duration) -> Result<(PaidSessionLog, Vec<PaidSession>), String> {
        if dir.is_empty() {
            return Ok((PaidSessionLog::default(), vec![]));
        }
        let file = Path::new(dir).join("paid");
        let with_path = |e: io::Error| format!("{}: {e}", file.display());
        let text = match fs::read(&file) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
            Err(e) => return Err(with_path(e)),
        };
        // The last line of a session counts. A date that has passed, as of a session that certainly never
        // ran, removes it.
        let sessions: BTreeMap<_, _> =
            text.lines().filter_map(parse_line).map(|paid_session| (paid_session.0, paid_session)).collect();
        let sessions: Vec<_> = sessions.into_values().filter(|(.., until)| *until > date).collect();
        let unreadable_count = text.lines().filter(|line| parse_line(line).is_none()).count();
        if unreadable_count > 0 {
            tracing::warn!(file = %file.display(), odd = unreadable_count, "ignored incomplete or unreadable lines in the log of paid sessions");
        }
        let log_file = rewrite(&file, &sessions).map_err(with_path)?;
        Ok((PaidSessionLog(RefCell::new(Some(Arc::new(log_file)))), sessions))
    }

    /// Writes a session to disk and returns once it is there.
    ///
    /// # Errors
    /// It couldn't be written, so the set-up must not be sent.
    pub async fn log_session(&self, paid_session: PaidSession) -> io::Result<()> {
        let Some(file) = self.0.borrow().clone() else { return Ok(()) };
        let text = format_line(&paid_session);
        // One write at the end of the file, so that lines don't mix; on another thread, as the sync would
        // delay all viewings on this one.
        tokio::task::spawn_blocking(move || {
            (&*file).write_all(text.as_bytes()).and_then(|()| file.sync_data())
        })
        .await
        .map_err(io::Error::other)?
    }
}

/// Rewrites the log with the sessions given. The old file stays until the new one is completely on disk.
fn rewrite(file: &Path, sessions: &[PaidSession]) -> io::Result<File> {
    let new_file: PathBuf = file.with_extension("new");
    let mut writer = File::create(&new_file)?;
    writer.write_all(sessions.iter().map(format_line).collect::<String>().as_bytes())?;
    writer.sync_all()?;
    fs::rename(&new_file, file)?;
    if let Some(dir) = file.parent() {
        File::open(dir)?.sync_all()?;
    }
    File::options().append(true).open(file)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sessions(session_count: u8) -> Vec<PaidSession> {
        (1..=session_count)
            .map(|i| {
                (
                    SessionId(u128::from(i) << 90),
                    ServerId([127, 0, 0, i, 1, 2]),
                    Duration::from_secs(u64::from(i)),
                )
            })
            .collect()
    }

    #[test]
    fn reopening_keeps_complete_lines_and_drops_expired_and_torn_ones() {
        let dir = std::env::temp_dir().join(format!("ivyward-paid-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder");
        let (dir, file) = (dir.to_string_lossy().into_owned(), dir.join("paid"));
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let open = |date| PaidSessionLog::open(&dir, Duration::from_secs(date)).expect("a record");
        let (paid, restored) = open(0);
        assert_eq!(restored, []);
        for paid_session in sessions(5) {
            runtime.block_on(paid.log_session(paid_session)).expect("written");
        }
        // Wherever the file is cut, the complete lines before the cut are read, and so are lines appended
        // later.
        let complete = fs::read(&file).expect("a file");
        for cut in 0..complete.len() {
            fs::write(&file, &complete[..cut]).expect("written");
            let lines = complete[..cut].iter().filter(|b| **b == b'\n').count();
            let (paid, reread) = open(0);
            // The last line may be complete except for its line end.
            assert!(
                reread == sessions(5)[..lines] || reread == sessions(5)[..lines + 1],
                "cut at {cut}: {reread:?}"
            );
            runtime.block_on(paid.log_session(sessions(5)[4])).expect("written");
            assert_eq!(open(0).1.last(), sessions(5).last(), "cut at {cut}");
        }
        fs::write(&file, &complete).expect("written");
        let (paid, _) = open(0);
        let (session, server, _) = sessions(6)[5];
        for until in [9, 0] {
            runtime
                .block_on(paid.log_session((session, server, Duration::from_secs(until))))
                .expect("written");
        }
        assert_eq!(open(3).1, sessions(5)[3..]);
        assert_eq!(open(0).1, sessions(5)[3..], "expired lines are gone from the file");
        fs::remove_dir_all(&dir).ok();
    }

    /// A known fault (`docs/review-of-parts.md`, 11): the log is shortened only at a start, so it grows
    /// until then.
    #[test]
    #[should_panic(expected = "lines that no session needs")]
    fn lines_of_sessions_that_never_ran_are_removed_while_the_manager_runs() {
        let dir = std::env::temp_dir().join(format!("ivyward-grown-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder");
        let name = dir.to_string_lossy().into_owned();
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let (paid, _) = PaidSessionLog::open(&name, Duration::ZERO).expect("a record");
        for i in 0..300 {
            let (session, server) = (SessionId(i), ServerId([127, 0, 0, 1, 1, 2]));
            for until in [9, 0] {
                runtime
                    .block_on(paid.log_session((session, server, Duration::from_secs(until))))
                    .expect("written");
            }
        }
        let lines = fs::read_to_string(dir.join("paid")).expect("a record").lines().count();
        fs::remove_dir_all(&dir).ok();
        assert!(lines < 300, "{lines} lines that no session needs");
    }

    #[test]
    fn without_a_state_folder_nothing_is_written() {
        let (paid, restored) = PaidSessionLog::open("", Duration::ZERO).expect("nothing to open");
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        assert!(restored.is_empty() && runtime.block_on(paid.log_session(sessions(1)[0])).is_ok());
    }
}
