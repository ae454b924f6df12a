//! Hosts decision instances: event frames on standard input, one reply frame each on standard output.

mod frame;
mod host;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// Larger frames than this are taken for a broken stream.
const LARGEST_FRAME: usize = 1 << 30;

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut bytes = Vec::new();
    loop {
        let mut length = [0; 4];
        match input.read(&mut length[..1]) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) => return Err(format!("input: {e}")),
        }
        input.read_exact(&mut length[1..]).map_err(|e| format!("frame length: {e}"))?;
        let size = u32::from_le_bytes(length) as usize;
        if !(frame::HEADER..=LARGEST_FRAME).contains(&size) {
            return Err(format!("frame length: {size} at byte 0"));
        }
        bytes.clear();
        let read = input.take(size as u64 - 4).read_to_end(&mut bytes).map_err(|e| format!("frame: {e}"))?;
        if read + 4 < size {
            return Err(format!("frame length: {size} announced, {} came", read + 4));
        }
        let reply = host.answer(&frame::Frame::parse(&bytes)?)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| format!("output: {e}"))?;
    }
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("ivyward-wirehost: {info}")));
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("ivyward-wirehost: {line}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
