//! The number of a manager's start. Servers turn away what an earlier start sent, so each is above the
//! last.

use std::fs::{self, File};
use std::io::Write;
use std::path::Path;
use std::time::Duration;

/// The number of this start: the date in milliseconds, but above the last one kept in `dir`. Without a
/// folder nothing is kept: then a clock set back makes servers turn set-ups away until it has caught up.
///
/// # Errors
/// The folder can't be read or written, or holds something else.
pub fn next(dir: &str, date: Duration) -> Result<u64, String> {
    let now = u64::try_from(date.as_millis()).unwrap_or_default();
    if dir.is_empty() {
        return Ok(now);
    }
    let (dir, file) = (Path::new(dir), Path::new(dir).join("birth"));
    let told = |e: std::io::Error| format!("{}: {e}", file.display());
    fs::create_dir_all(dir).map_err(told)?;
    let last = match fs::read_to_string(&file) {
        Ok(text) => {
            text.trim().parse().map_err(|_| format!("{}: {:?} is no number", file.display(), text.trim()))?
        }
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => 0,
        Err(e) => return Err(told(e)),
    };
    let incarnation = now.max(last + 1);
    // Guards against a file half written: the old one stays until the new one is whole on disk.
    let new = dir.join("birth.new");
    let mut out = File::create(&new).map_err(told)?;
    out.write_all(format!("{incarnation}\n").as_bytes()).and_then(|()| out.sync_all()).map_err(told)?;
    fs::rename(&new, &file).and_then(|()| File::open(dir)?.sync_all()).map_err(told)?;
    Ok(incarnation)
}
