//! The record of paid sessions that survives a crash: each is on disk before a byte of its set-up goes out,
//! so that no later start sets it up again, whatever token it comes with.

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

/// A paid session, the server that its last set-up went to, and until which date it must not be set up
/// again.
pub type PaidSession = (SessionId, ServerId, Duration);

/// One line: the session's 32 digits, the server's address, the date in seconds, and a full stop, which a
/// line that was half written lacks.
fn line((session, server, until): &PaidSession) -> String {
    format!("{:032x} {} {} .\n", session.0, setup::server_address(*server), until.as_secs())
}

fn row(line: &str) -> Option<PaidSession> {
    let mut words = line.split(' ');
    let session = setup::session(words.next()?)?;
    let server = setup::server_id(words.next()?)?;
    let until = Duration::from_secs(words.next()?.parse().ok()?);
    (words.next() == Some(".") && words.next().is_none()).then_some((SessionId(session), server, until))
}

/// The record, if there is a folder for it.
#[derive(Default)]
pub struct PaidSessionLog(RefCell<Option<Arc<File>>>);

impl PaidSessionLog {
    /// Opens the record in `dir`, and reads what is still of use at `date`; the rest is left out of the
    /// file. Lines that can't be read were never acted on: a set-up goes out only after its whole line is
    /// on disk.
    ///
    /// # Errors
    /// The folder can't be read or written.
    pub fn open(dir: &str, date: Duration) -> Result<(PaidSessionLog, Vec<PaidSession>), String> {
        if dir.is_empty() {
            return Ok((PaidSessionLog::default(), vec![]));
        }
        let file = Path::new(dir).join("paid");
        let told = |e: io::Error| format!("{}: {e}", file.display());
        let text = match fs::read(&file) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
            Err(e) => return Err(told(e)),
        };
        // The last line of a session counts; one whose date is over, as that of what provably never ran, is
        // left out.
        let rows: BTreeMap<_, _> = text.lines().filter_map(row).map(|row| (row.0, row)).collect();
        let rows: Vec<_> = rows.into_values().filter(|(.., until)| *until > date).collect();
        let odd = text.lines().filter(|line| row(line).is_none()).count();
        if odd > 0 {
            tracing::warn!(file = %file.display(), odd, "lines that were not whole are left out");
        }
        let written = rewrite(&file, &rows).map_err(told)?;
        Ok((PaidSessionLog(RefCell::new(Some(Arc::new(written)))), rows))
    }

    /// Puts a session on disk. Returns once it is there.
    ///
    /// # Errors
    /// It couldn't be written: the set-up must not go out.
    pub async fn log_session(&self, row: PaidSession) -> io::Result<()> {
        let Some(file) = self.0.borrow().clone() else { return Ok(()) };
        let text = line(&row);
        // In one write at the end of the file, so that lines don't mix; the sync would hold up all viewings
        // here.
        tokio::task::spawn_blocking(move || {
            (&*file).write_all(text.as_bytes()).and_then(|()| file.sync_data())
        })
        .await
        .map_err(io::Error::other)?
    }
}

/// Guards against a record half rewritten: the old one stays until the new one is whole on disk.
fn rewrite(file: &Path, rows: &[PaidSession]) -> io::Result<File> {
    let new: PathBuf = file.with_extension("new");
    let mut out = File::create(&new)?;
    out.write_all(rows.iter().map(line).collect::<String>().as_bytes())?;
    out.sync_all()?;
    fs::rename(&new, file)?;
    if let Some(dir) = file.parent() {
        File::open(dir)?.sync_all()?;
    }
    File::options().append(true).open(file)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rows(n: u8) -> Vec<PaidSession> {
        (1..=n)
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
    fn what_was_written_is_read_but_for_what_is_old_or_torn() {
        let dir = std::env::temp_dir().join(format!("ivyward-paid-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder");
        let (dir, file) = (dir.to_string_lossy().into_owned(), dir.join("paid"));
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let open = |date| PaidSessionLog::open(&dir, Duration::from_secs(date)).expect("a record");
        let (paid, none) = open(0);
        assert_eq!(none, []);
        for row in rows(5) {
            runtime.block_on(paid.log_session(row)).expect("written");
        }
        // Cut anywhere, what was whole before the cut is read, and the next start's lines after it.
        let whole = fs::read(&file).expect("a file");
        for cut in 0..whole.len() {
            fs::write(&file, &whole[..cut]).expect("written");
            let lines = whole[..cut].iter().filter(|b| **b == b'\n').count();
            let (paid, read) = open(0);
            // The last line may be whole but for its end.
            assert!(read == rows(5)[..lines] || read == rows(5)[..lines + 1], "cut at {cut}: {read:?}");
            runtime.block_on(paid.log_session(rows(5)[4])).expect("written");
            assert_eq!(open(0).1.last(), rows(5).last(), "cut at {cut}");
        }
        fs::write(&file, &whole).expect("written");
        let (paid, _) = open(0);
        let (session, server, _) = rows(6)[5];
        for until in [9, 0] {
            runtime
                .block_on(paid.log_session((session, server, Duration::from_secs(until))))
                .expect("written");
        }
        assert_eq!(open(3).1, rows(5)[3..]);
        assert_eq!(open(0).1, rows(5)[3..], "what was old is gone");
        fs::remove_dir_all(&dir).ok();
    }

    /// Known and not mended (`docs/review-of-parts.md`, 11): the record is cut only at a start.
    #[test]
    #[should_panic(expected = "lines for nobody")]
    fn sessions_that_never_ran_leave_no_line_for_long() {
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
        assert!(lines < 300, "{lines} lines for nobody");
    }

    #[test]
    fn without_a_folder_nothing_is_kept() {
        let (paid, none) = PaidSessionLog::open("", Duration::ZERO).expect("nothing to open");
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        assert!(none.is_empty() && runtime.block_on(paid.log_session(rows(1)[0])).is_ok());
    }
}
