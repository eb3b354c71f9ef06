use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use crate::finding::Findings;
use crate::schema;
use crate::schema::check_text;
use crate::schema::line_of_pointer;
use crate::settings::Settings;
use crate::settings::check_settings;

/// why a settings file cannot be used.
#[derive(Debug)]
pub enum LoadError {
    /// the file cannot be read.
    Unreadable {
        /// path of the file.
        path: PathBuf,
        /// what the system says.
        error: io::Error,
    },
    /// the file is read, but its content is faulty.
    Faulty {
        /// path of the file.
        path: PathBuf,
        /// all faults.
        findings: Findings,
    },
}

impl fmt::Display for LoadError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, error } => write!(out, "cannot read {}: {error}", path.display()),
            Self::Faulty { path, findings } => {
                let count = findings.list.len();
                let plural = if count == 1 { "" } else { "s" };
                writeln!(out, "{}: {count} finding{plural}", path.display())?;
                write!(out, "{findings}")
            }
        }
    }
}

impl std::error::Error for LoadError {}

/// reads a settings file and checks it whole.
pub fn load(path: &Path) -> Result<Settings, LoadError> {
    let text =
        fs::read_to_string(path).map_err(|error| LoadError::Unreadable { path: path.to_owned(), error })?;
    parse(&text).map_err(|findings| LoadError::Faulty { path: path.to_owned(), findings })
}

/// checks the text of a settings file whole; each finding has its pointer and line.
pub fn parse(text: &str) -> Result<Settings, Findings> {
    let checked = check_text::<schema::Settings>("Settings", text);
    let faults = match checked {
        Ok(settings) => return Settings::try_from(settings).map_err(|faults| with_lines(text, faults)),
        Err(faults) => faults,
    };
    // Values of the right types can be checked further, whatever else is wrong with the file.
    let rest = serde_json::from_str(text).map(|settings| check_settings(&settings)).unwrap_or_default();
    let mut all = faults;
    for fault in with_lines(text, rest).list {
        if !all.list.iter().any(|known| known.place == fault.place) {
            all.push(fault);
        }
    }
    Err(all)
}

fn with_lines(text: &str, mut findings: Findings) -> Findings {
    for finding in &mut findings.list {
        finding.line = line_of_pointer(text, &finding.place);
    }
    findings
}
