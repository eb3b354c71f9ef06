use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use crate::ledger_log::frame;
use crate::ledger_log::frame::Frame;
use crate::schema::LedgerRecord;

const FILE_PREFIX: &str = "log-";

/// path of a segment file.
pub(super) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{FILE_PREFIX}{number:020}"))
}

/// numbers of the existing segments, ascending.
pub(super) fn list(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let Some(number) = name.to_str().and_then(|name| name.strip_prefix(FILE_PREFIX)) else {
            continue;
        };
        if let Ok(number) = number.parse() {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// passes on the records of a segment up to its end or the first torn one; `true` if one was torn.
pub(super) fn replay(path: &Path, mut on_record: impl FnMut(LedgerRecord)) -> io::Result<bool> {
    let mut reader = BufReader::new(File::open(path)?);
    loop {
        match frame::read(&mut reader)? {
            Frame::Record(record) => on_record(*record),
            Frame::End => return Ok(false),
            Frame::Torn => return Ok(true),
        }
    }
}

/// creates a segment file; its directory entry is on disk when this returns.
pub(super) fn create(folder: &Path, number: u64) -> io::Result<File> {
    let file = File::create(path(folder, number))?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// removes segments before `number`, whose live records are in that one.
pub(super) fn remove_before(folder: &Path, number: u64) -> io::Result<()> {
    for existing in list(folder)? {
        if existing < number {
            fs::remove_file(path(folder, existing))?;
        }
    }
    File::open(folder)?.sync_all()
}
