//! Hosts decision instances. Reads frames of events from standard input and writes one reply frame for
//! each to standard output.

mod frame;
mod host;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// A larger frame length means that the stream is corrupt.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Handles frames until the input ends; the error names the field that is wrong.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut bytes = Vec::new();
    loop {
        let mut length = [0; 4];
        match input.read(&mut length[..1]) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => return Err(format!("input: {error}")),
        }
        input.read_exact(&mut length[1..]).map_err(|error| format!("frame length: {error}"))?;
        let size = u32::from_le_bytes(length) as usize;
        if !(frame::HEADER_BYTES..=MAX_FRAME_BYTES).contains(&size) {
            return Err(format!("frame length: {size} bytes are outside the allowed range"));
        }
        bytes.clear();
        let read =
            input.take(size as u64 - 4).read_to_end(&mut bytes).map_err(|error| format!("frame: {error}"))?;
        if read + 4 < size {
            return Err(format!("frame length: {size} bytes announced, {} received", read + 4));
        }
        let reply = host.handle_frame(&frame::Frame::parse(&bytes)?)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|error| format!("output: {error}"))?;
    }
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("ivyward-wirehost: {info}")));
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivyward-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
