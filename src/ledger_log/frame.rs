use std::io;
use std::io::Read;

use xxhash_rust::xxh3::xxh3_64;

use crate::schema::LedgerRecord;

/// bytes of the length and checksum before each record.
const HEADER_BYTES: usize = 12;
/// largest record; a longer length means damage.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// result of reading the next frame of a segment.
#[derive(Debug)]
pub(super) enum Frame {
    /// an intact record.
    Record(Box<LedgerRecord>),
    /// end of the segment.
    End,
    /// an incomplete or damaged record.
    Torn,
}

/// appends a framed record to a buffer.
pub(super) fn encode(record: &LedgerRecord, buffer: &mut Vec<u8>) -> io::Result<()> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    ciborium::into_writer(record, &mut *buffer).map_err(io::Error::other)?;
    let body = &buffer[start + HEADER_BYTES..];
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let checksum = xxh3_64(body);
    buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buffer[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Ok(())
}

/// reads the next frame.
pub(super) fn read(reader: &mut impl Read) -> io::Result<Frame> {
    let mut header = [0_u8; HEADER_BYTES];
    match read_fully(reader, &mut header)? {
        0 => return Ok(Frame::End),
        HEADER_BYTES => {}
        _ => return Ok(Frame::Torn),
    }
    let [l0, l1, l2, l3, checksum @ ..] = header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length == 0 || length > MAX_RECORD_BYTES {
        return Ok(Frame::Torn);
    }
    let mut body = vec![0; length];
    if read_fully(reader, &mut body)? != length || xxh3_64(&body) != u64::from_le_bytes(checksum) {
        return Ok(Frame::Torn);
    }
    match ciborium::from_reader(body.as_slice()) {
        Ok(record) => Ok(Frame::Record(Box::new(record))),
        Err(_) => Ok(Frame::Torn),
    }
}

/// reads until the buffer is full or the input ends.
fn read_fully(reader: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match reader.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(read) => filled += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}
