//! The incarnation of a manager: a number that grows with each start. Servers reject messages of earlier
//! incarnations.

use std::fs::{self, File};
use std::io::Write;
use std::path::Path;
use std::time::Duration;

/// Returns the incarnation of this start: the date in milliseconds, but above the last one stored in `dir`.
///
/// Without a state folder nothing is stored. If the clock is then set back, servers reject set-ups until
/// the clock has caught up.
///
/// # Errors
/// The folder can't be read or written, or its file holds something other than a number.
pub fn next(dir: &str, date: Duration) -> Result<u64, String> {
    let date_ms = u64::try_from(date.as_millis()).unwrap_or_default();
    if dir.is_empty() {
        return Ok(date_ms);
    }
    let (dir, file) = (Path::new(dir), Path::new(dir).join("birth"));
    let with_path = |e: std::io::Error| format!("{}: {e}", file.display());
    fs::create_dir_all(dir).map_err(with_path)?;
    let last_incarnation = match fs::read_to_string(&file) {
        Ok(text) => text.trim().parse().map_err(|_| {
            format!("{}: {:?} is no number; it must hold the last incarnation", file.display(), text.trim())
        })?,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => 0,
        Err(e) => return Err(with_path(e)),
    };
    let incarnation = date_ms.max(last_incarnation + 1);
    // Guards against a half-written file: the old one stays until the new one is completely on disk.
    let new_file = dir.join("birth.new");
    let mut writer = File::create(&new_file).map_err(with_path)?;
    writer
        .write_all(format!("{incarnation}\n").as_bytes())
        .and_then(|()| writer.sync_all())
        .map_err(with_path)?;
    fs::rename(&new_file, &file).and_then(|()| File::open(dir)?.sync_all()).map_err(with_path)?;
    Ok(incarnation)
}
