use std::io;
use std::io::Read;

use xxhash_rust::xxh3::xxh3_64;

use crate::schema::LedgerRecord;

/// bytes of the length and of the checksum before each record.
const HEAD_BYTES: usize = 12;
/// largest record; a longer length is damage.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// what stands next in a segment.
#[derive(Debug)]
pub(super) enum Next {
    /// a whole record.
    Record(Box<LedgerRecord>),
    /// the end of the segment.
    End,
    /// a record that was not written whole, or is damaged.
    Torn,
}

/// appends a record to a buffer.
pub(super) fn encode(record: &LedgerRecord, buffer: &mut Vec<u8>) -> io::Result<()> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEAD_BYTES]);
    ciborium::into_writer(record, &mut *buffer).map_err(io::Error::other)?;
    let body = &buffer[start + HEAD_BYTES..];
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let sum = xxh3_64(body);
    buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buffer[start + 4..start + HEAD_BYTES].copy_from_slice(&sum.to_le_bytes());
    Ok(())
}

/// reads the next record.
pub(super) fn read(reader: &mut impl Read) -> io::Result<Next> {
    let mut head = [0_u8; HEAD_BYTES];
    match read_up_to(reader, &mut head)? {
        0 => return Ok(Next::End),
        HEAD_BYTES => {}
        _ => return Ok(Next::Torn),
    }
    let [l0, l1, l2, l3, sum @ ..] = head;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length == 0 || length > MAX_RECORD_BYTES {
        return Ok(Next::Torn);
    }
    let mut body = vec![0; length];
    if read_up_to(reader, &mut body)? != length || xxh3_64(&body) != u64::from_le_bytes(sum) {
        return Ok(Next::Torn);
    }
    match ciborium::from_reader(body.as_slice()) {
        Ok(record) => Ok(Next::Record(Box::new(record))),
        Err(_) => Ok(Next::Torn),
    }
}

/// reads until the buffer is full or the input ends.
fn read_up_to(reader: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
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
