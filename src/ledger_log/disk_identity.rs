use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use uuid::Uuid;

/// file with the disk id.
const FILE_NAME: &str = "disk-id";

/// reads the disk id, and whether there was one; if not, a new id is written and synced before it is
/// returned.
pub(super) fn read_or_create(folder: &Path) -> io::Result<(String, bool)> {
    let path = folder.join(FILE_NAME);
    match fs::read_to_string(&path) {
        Ok(text) if Uuid::try_parse(&text).is_ok() => return Ok((text, true)),
        // An id that was not written whole was never used.
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(error),
    }
    let id = Uuid::new_v4().simple().to_string();
    let mut file = File::create(folder.join(FILE_NAME))?;
    file.write_all(id.as_bytes())?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok((id, false))
}
