use std::fs;
use std::path::Path;

use serde_json::Value;

use crate::ctl::ApiError;
use crate::finding::Findings;
use crate::schema::ReleaseNote;
use crate::schema::check_text;
use crate::schema::line_of_pointer;

/// a release note as it was read.
#[derive(Clone, Debug)]
pub(super) struct NoteFile {
    text: String,
    /// its content.
    pub(super) value: Value,
}

impl NoteFile {
    /// reads a note and checks its shape; faults come with their lines.
    pub(super) fn read(path: &Path) -> Result<Result<Self, Findings>, ApiError> {
        let text = fs::read_to_string(path)
            .map_err(|error| ApiError::Local(format!("cannot read {}: {error}", path.display())))?;
        let note: ReleaseNote = match check_text("ReleaseNote", &text) {
            Ok(note) => note,
            Err(findings) => return Ok(Err(findings)),
        };
        let value = serde_json::to_value(note).map_err(|error| ApiError::Local(error.to_string()))?;
        Ok(Ok(Self { text, value }))
    }

    /// line of a place in the file.
    pub(super) fn line(&self, place: &str) -> Option<usize> {
        line_of_pointer(&self.text, place)
    }
}
