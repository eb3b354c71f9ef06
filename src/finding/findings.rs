use std::fmt;

use serde::Serialize;

use crate::schema::FindingRow;

/// one problem in an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// JSON pointer to the invalid value; empty for the whole input.
    pub place: String,
    /// line of the value in its file, starting at 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// what is wrong.
    pub detail: String,
}

impl Finding {
    /// creates a finding without a line.
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

/// all problems in one input; an error if there is at least one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// findings in the order of the input.
    pub list: Vec<Finding>,
}

impl Findings {
    /// a report with a single finding.
    pub fn one(finding: Finding) -> Self {
        Self { list: vec![finding] }
    }

    /// appends a finding.
    pub fn push(&mut self, finding: Finding) {
        self.list.push(finding);
    }

    /// the findings in wire format.
    pub fn rows(&self) -> Vec<FindingRow> {
        self.list.iter().map(FindingRow::from).collect()
    }

    /// returns `value` if there are no findings, otherwise `self` as the error.
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
