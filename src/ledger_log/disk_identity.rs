use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use uuid::Uuid;

/// file that holds the identity of the disk.
const FILE_NAME: &str = "disk-id";

/// reads the identity of the disk; a disk without one gets a new one, which is synced before it is used.
///
/// Also tells whether the disk had one.
pub(super) fn read_or_make(folder: &Path) -> io::Result<(String, bool)> {
    let path = folder.join(FILE_NAME);
    match fs::read_to_string(&path) {
        Ok(text) if Uuid::try_parse(&text).is_ok() => return Ok((text, true)),
        // A torn identity was never used.
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(error),
    }
    let identity = Uuid::new_v4().simple().to_string();
    let mut file = File::create(folder.join(FILE_NAME))?;
    file.write_all(identity.as_bytes())?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok((identity, false))
}
