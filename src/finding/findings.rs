use std::fmt;

use serde::Serialize;

use crate::schema::FindingRow;

/// one fault of some input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// JSON pointer of the faulty value.
    pub place: String,
    /// line of the value in its file, counted from 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// what is wrong.
    pub detail: String,
}

impl Finding {
    /// builds a finding without a line.
    pub fn new(place: impl Into<String>, detail: impl Into<String>) -> Self {
        Self { place: place.into(), line: None, detail: detail.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = if self.place.is_empty() { "/" } else { &self.place };
        match self.line {
            Some(line) => write!(out, "line {line}, {place}: {}", self.detail),
            None => write!(out, "{place}: {}", self.detail),
        }
    }
}

impl From<&Finding> for FindingRow {
    fn from(finding: &Finding) -> Self {
        let line = finding.line.map(|line| line as u64);
        Self { place: finding.place.clone(), line, detail: finding.detail.clone() }
    }
}

impl From<&FindingRow> for Finding {
    fn from(row: &FindingRow) -> Self {
        let line = row.line.map(|line| line as usize);
        Self { place: row.place.clone(), line, detail: row.detail.clone() }
    }
}

/// all faults of one input; an error when there is at least one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// faults in the order of the input.
    pub list: Vec<Finding>,
}

impl Findings {
    /// builds a report of one fault.
    pub fn one(finding: Finding) -> Self {
        Self { list: vec![finding] }
    }

    /// adds a fault.
    pub fn push(&mut self, finding: Finding) {
        self.list.push(finding);
    }

    /// the faults as they go over the wire.
    pub fn rows(&self) -> Vec<FindingRow> {
        self.list.iter().map(FindingRow::from).collect()
    }

    /// returns `value` when nothing was found.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(out)?;
            }
            write!(out, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
