//! Binary frames: bounds-checked reading of a received frame, and writing of a reply.

use std::time::Duration;

/// Size of the frame header, with the length field.
pub const HEADER_BYTES: usize = 20;
/// Size of an event record.
pub const EVENT_BYTES: usize = 56;
/// Size of an action record.
const ACTION_BYTES: usize = 16;
/// Size of the reply header, with the length field.
const REPLY_HEADER_BYTES: usize = 12;

/// A received frame, without its length field.
pub struct Frame<'a> {
    /// The time of its events, on the caller's clock.
    pub clock: Duration,
    /// Its number, which the reply repeats.
    pub batch: u32,
    records: &'a [u8],
    tail: &'a [u8],
}

/// Reads `N` bytes at an offset of a slice. The error names the field.
pub fn read_bytes<const N: usize>(source: &[u8], at: usize, field: &str) -> Result<[u8; N], String> {
    let field_bytes = at.checked_add(N).and_then(|end| source.get(at..end));
    field_bytes
        .and_then(|b| b.try_into().ok())
        .ok_or_else(|| format!("{field}: not enough bytes at offset {at}"))
}

impl<'a> Frame<'a> {
    /// Splits a frame into its records and its tail.
    pub fn parse(body: &'a [u8]) -> Result<Self, String> {
        let clock = Duration::from_micros(u64::from_le_bytes(read_bytes(body, 0, "clock")?));
        let count = u32::from_le_bytes(read_bytes(body, 8, "record count")?) as usize;
        let batch = u32::from_le_bytes(read_bytes(body, 12, "batch number")?);
        let rest = body.get(HEADER_BYTES - 4..).ok_or("header: frame is too short")?;
        let size = count.checked_mul(EVENT_BYTES).filter(|size| *size <= rest.len());
        let (records, tail) =
            rest.split_at(size.ok_or_else(|| format!("record count: {count} records exceed the frame"))?);
        Ok(Frame { clock, batch, records, tail })
    }

    /// The event records, in their order.
    pub fn records(&self) -> impl Iterator<Item = Record<'a>> + use<'a> {
        let tail = self.tail;
        self.records.chunks_exact(EVENT_BYTES).map(move |bytes| Record { bytes, tail })
    }
}

/// An event record, with the tail of its frame.
pub struct Record<'a> {
    bytes: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Record<'a> {
    /// The 8-bit integer at an offset.
    pub fn u8(&self, at: usize, field: &str) -> Result<u8, String> {
        Ok(u8::from_le_bytes(read_bytes(self.bytes, at, field)?))
    }

    /// The 16-bit integer at an offset.
    pub fn u16(&self, at: usize, field: &str) -> Result<u16, String> {
        Ok(u16::from_le_bytes(read_bytes(self.bytes, at, field)?))
    }

    /// The 32-bit integer at an offset.
    pub fn u32(&self, at: usize, field: &str) -> Result<u32, String> {
        Ok(u32::from_le_bytes(read_bytes(self.bytes, at, field)?))
    }

    /// The 64-bit integer at an offset.
    pub fn u64(&self, at: usize, field: &str) -> Result<u64, String> {
        Ok(u64::from_le_bytes(read_bytes(self.bytes, at, field)?))
    }

    /// The 32-bit floating-point number at an offset.
    pub fn f32(&self, at: usize, field: &str) -> Result<f64, String> {
        Ok(f64::from(f32::from_le_bytes(read_bytes(self.bytes, at, field)?)))
    }

    /// The server id at an offset.
    pub fn server(&self, at: usize, field: &str) -> Result<[u8; 6], String> {
        read_bytes(self.bytes, at, field)
    }

    /// The bytes of the tail that an offset and a length field refer to. The length counts units of
    /// `unit` bytes.
    pub fn tail_bytes(&self, at: usize, unit: usize, field: &str) -> Result<&'a [u8], String> {
        let start = self.u32(at, field)? as usize;
        let length = (self.u32(at + 4, field)? as usize).checked_mul(unit);
        let end = length.and_then(|length| start.checked_add(length));
        let tail_part = end.and_then(|end| self.tail.get(start..end));
        tail_part.ok_or_else(|| format!("{field}: offset {start} and its length exceed the tail"))
    }
}

/// A reply that is being built.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    record_count: u32,
    current_instance: Option<u32>,
}

impl Reply {
    /// Appends an action of an instance. A record that names the instance precedes it if the instance
    /// changed. The fields are packed without gaps.
    pub fn push_action(&mut self, instance_id: u32, code: u16, fields: &[&[u8]]) {
        if self.current_instance != Some(instance_id) {
            self.current_instance = Some(instance_id);
            self.push_record(15, &[&instance_id.to_le_bytes()]);
        }
        self.push_record(code, fields);
    }

    /// Appends an action whose text goes to the tail; its fields are the text's offset and length.
    pub fn push_text(&mut self, instance_id: u32, code: u16, text: &str) {
        let (start, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.push_action(instance_id, code, &[&start.to_le_bytes(), &length.to_le_bytes()]);
    }

    /// Appends a record, padded to its full size.
    fn push_record(&mut self, code: u16, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.extend_from_slice(&code.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend_from_slice(field));
        self.records.resize(start + ACTION_BYTES, 0);
        self.record_count += 1;
    }

    /// Returns the reply frame: header, records and tail.
    pub fn finish(self, batch: u32) -> Vec<u8> {
        let size = (REPLY_HEADER_BYTES + self.records.len() + self.tail.len()) as u32;
        let header = [size.to_le_bytes(), self.record_count.to_le_bytes(), batch.to_le_bytes()].concat();
        [header, self.records, self.tail].concat()
    }
}
