//! Frames as bytes: bounds-checked reading of one that came, writing of a reply.

use std::time::Duration;

/// Bytes before the first record, the length included.
pub const HEADER: usize = 20;
pub const EVENT: usize = 56;
const ACTION: usize = 16;
const REPLY_HEADER: usize = 12;

/// One frame that came, without its length field.
pub struct Frame<'a> {
    pub clock: Duration,
    pub batch: u32,
    records: &'a [u8],
    tail: &'a [u8],
}

/// `N` bytes at an offset of a slice, or a line that names the field.
pub fn bytes<const N: usize>(from: &[u8], at: usize, field: &str) -> Result<[u8; N], String> {
    let part = at.checked_add(N).and_then(|end| from.get(at..end));
    part.and_then(|b| b.try_into().ok()).ok_or_else(|| format!("{field}: nothing at byte {at}"))
}

impl<'a> Frame<'a> {
    pub fn parse(body: &'a [u8]) -> Result<Self, String> {
        let clock = Duration::from_micros(u64::from_le_bytes(bytes(body, 0, "clock")?));
        let count = u32::from_le_bytes(bytes(body, 8, "record count")?) as usize;
        let batch = u32::from_le_bytes(bytes(body, 12, "batch number")?);
        let rest = body.get(HEADER - 4..).ok_or("header: cut short")?;
        let size = count.checked_mul(EVENT).filter(|size| *size <= rest.len());
        let (records, tail) = rest.split_at(size.ok_or_else(|| format!("record count: {count} do not fit"))?);
        Ok(Frame { clock, batch, records, tail })
    }

    pub fn records(&self) -> impl Iterator<Item = Record<'a>> + use<'a> {
        let tail = self.tail;
        self.records.chunks_exact(EVENT).map(move |bytes| Record { bytes, tail })
    }
}

/// One event record, with the frame's tail.
pub struct Record<'a> {
    bytes: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Record<'a> {
    pub fn u8(&self, at: usize, field: &str) -> Result<u8, String> {
        Ok(u8::from_le_bytes(bytes(self.bytes, at, field)?))
    }

    pub fn u16(&self, at: usize, field: &str) -> Result<u16, String> {
        Ok(u16::from_le_bytes(bytes(self.bytes, at, field)?))
    }

    pub fn u32(&self, at: usize, field: &str) -> Result<u32, String> {
        Ok(u32::from_le_bytes(bytes(self.bytes, at, field)?))
    }

    pub fn u64(&self, at: usize, field: &str) -> Result<u64, String> {
        Ok(u64::from_le_bytes(bytes(self.bytes, at, field)?))
    }

    pub fn f32(&self, at: usize, field: &str) -> Result<f64, String> {
        Ok(f64::from(f32::from_le_bytes(bytes(self.bytes, at, field)?)))
    }

    pub fn server(&self, at: usize, field: &str) -> Result<[u8; 6], String> {
        bytes(self.bytes, at, field)
    }

    /// The tail bytes that an offset and length field names; each unit of the length is `unit` bytes.
    pub fn tail(&self, at: usize, unit: usize, field: &str) -> Result<&'a [u8], String> {
        let start = self.u32(at, field)? as usize;
        let length = (self.u32(at + 4, field)? as usize).checked_mul(unit);
        let end = length.and_then(|length| start.checked_add(length));
        let part = end.and_then(|end| self.tail.get(start..end));
        part.ok_or_else(|| format!("{field}: offset {start} lies outside the tail"))
    }
}

/// A reply under way.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
    spoken_for: Option<u32>,
}

impl Reply {
    /// Adds an action of an instance; the code's fields follow each other.
    pub fn push(&mut self, who: u32, code: u16, fields: &[&[u8]]) {
        if self.spoken_for != Some(who) {
            self.spoken_for = Some(who);
            self.record(15, &[&who.to_le_bytes()]);
        }
        self.record(code, fields);
    }

    pub fn push_text(&mut self, who: u32, code: u16, text: &str) {
        let (start, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.push(who, code, &[&start.to_le_bytes(), &length.to_le_bytes()]);
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.extend_from_slice(&code.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend_from_slice(field));
        self.records.resize(start + ACTION, 0);
        self.count += 1;
    }

    pub fn finish(self, batch: u32) -> Vec<u8> {
        let size = (REPLY_HEADER + self.records.len() + self.tail.len()) as u32;
        let header = [size.to_le_bytes(), self.count.to_le_bytes(), batch.to_le_bytes()].concat();
        [header, self.records, self.tail].concat()
    }
}
