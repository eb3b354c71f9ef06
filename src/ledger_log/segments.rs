use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use crate::ledger_log::frame;
use crate::ledger_log::frame::Next;
use crate::schema::LedgerRecord;

const PREFIX: &str = "log-";

/// path of a segment.
pub(super) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:020}"))
}

/// numbers of the segments in their order.
pub(super) fn list(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let Some(number) = name.to_str().and_then(|name| name.strip_prefix(PREFIX)) else {
            continue;
        };
        if let Ok(number) = number.parse() {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// hands out the records of a segment up to its end or the first torn one, and tells whether one was torn.
pub(super) fn replay(path: &Path, mut take: impl FnMut(LedgerRecord)) -> io::Result<bool> {
    let mut reader = BufReader::new(File::open(path)?);
    loop {
        match frame::read(&mut reader)? {
            Next::Record(record) => take(*record),
            Next::End => return Ok(false),
            Next::Torn => return Ok(true),
        }
    }
}

/// starts a segment; its name is on disk when this returns.
pub(super) fn create(folder: &Path, number: u64) -> io::Result<File> {
    let file = File::create(path(folder, number))?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// removes segments whose live records stand in a later one.
pub(super) fn remove_before(folder: &Path, number: u64) -> io::Result<()> {
    for old in list(folder)? {
        if old < number {
            fs::remove_file(path(folder, old))?;
        }
    }
    File::open(folder)?.sync_all()
}
