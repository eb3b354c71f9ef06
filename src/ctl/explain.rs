//! the way of one request through the log files of several processes.

use std::collections::BTreeSet;
use std::fmt;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;

use serde_json::Map;
use serde_json::Value;
use time::Duration;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// how long before the request changes of belief are shown: outages and views of the ledger last some seconds.
const BEFORE: Duration = Duration::seconds(5);
/// how long after it: a replica that ended is noticed within a second or so.
const AFTER: Duration = Duration::seconds(2);
/// most changes of belief that are shown, those next to the request first.
const MAX_BELIEFS: usize = 60;
/// fields that each line has, which are shown apart from the others.
const COMMON_FIELDS: [&str; 5] = ["msg", "ts", "level", "instance", "request"];

/// a line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    at: OffsetDateTime,
    instance: String,
    fields: Map<String, Value>,
}

/// what the logs say about a request.
#[derive(Debug, Default)]
pub(super) struct Explanation {
    /// lines that name the request, in order.
    own: Vec<Line>,
    /// lines about no request at all around that time, in order.
    beliefs: Vec<Line>,
    /// changes of belief that were left out.
    left_out: usize,
    /// instances whose logs were read.
    instances: BTreeSet<String>,
    /// lines that are no JSON, as after a crash in the middle of one.
    unreadable: usize,
}

impl Explanation {
    /// reads log files and keeps what concerns a request.
    pub fn read(request: &str, files: &[impl AsRef<Path>]) -> io::Result<Self> {
        let mut explanation = Self::default();
        for file in files {
            let name = file.as_ref().display();
            let file =
                File::open(file).map_err(|error| io::Error::new(error.kind(), format!("{name}: {error}")))?;
            for text in BufReader::new(file).split(b'\n') {
                explanation.take(request, &String::from_utf8_lossy(&text?));
            }
        }
        explanation.sort();
        Ok(explanation)
    }

    /// whether any line names the request.
    pub fn is_found(&self) -> bool {
        !self.own.is_empty()
    }

    fn take(&mut self, request: &str, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        let Some(line) = Line::read(text) else {
            self.unreadable += 1;
            return;
        };
        self.instances.insert(line.instance.clone());
        match line.fields.get("request").and_then(Value::as_str) {
            Some(named) if named == request => self.own.push(line),
            Some(_) => {}
            None => self.beliefs.push(line),
        }
    }

    fn sort(&mut self) {
        self.own.sort_by_key(|line| line.at);
        self.beliefs.sort_by_key(|line| line.at);
        let (Some(first), Some(last)) = (self.own.first(), self.own.last()) else {
            self.beliefs.clear();
            return;
        };
        let (from, to) = (first.at - BEFORE, last.at + AFTER);
        self.beliefs.retain(|line| (from..=to).contains(&line.at));
        self.left_out = self.beliefs.len().saturating_sub(MAX_BELIEFS);
        if self.left_out > 0 {
            let middle = last.at;
            self.beliefs.sort_by_key(|line| (line.at - middle).abs());
            self.beliefs.truncate(MAX_BELIEFS);
            self.beliefs.sort_by_key(|line| line.at);
        }
    }
}

impl Line {
    fn read(text: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let at = OffsetDateTime::parse(fields.get("ts")?.as_str()?, &Rfc3339).ok()?;
        let instance = fields.get("instance").and_then(Value::as_str).unwrap_or("?").to_owned();
        Some(Self { at, instance, fields })
    }
}

impl fmt::Display for Line {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.at.time();
        let (hour, minute, second, ms) = (time.hour(), time.minute(), time.second(), time.millisecond());
        let message = self.fields.get("msg").and_then(Value::as_str).unwrap_or_default();
        write!(out, "{hour:02}:{minute:02}:{second:02}.{ms:03}  {}  {message}", self.instance)?;
        for (name, value) in &self.fields {
            match value {
                _ if COMMON_FIELDS.contains(&name.as_str()) => {}
                Value::Null => {}
                Value::String(text) => write!(out, "  {name}={text}")?,
                other => write!(out, "  {name}={other}")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.unreadable > 0 {
            writeln!(out, "{} lines could not be read", self.unreadable)?;
        }
        if !self.is_found() {
            let count = self.instances.len();
            return writeln!(
                out,
                "no line names the request, in the logs of {count} processes: the first replica that it was sent to \
                 answered it, it never arrived, or a process ended or dropped lines before it could tell"
            );
        }
        writeln!(out, "the request:")?;
        for line in &self.own {
            writeln!(out, "  {line}")?;
        }
        writeln!(out, "what the processes came to believe around that time:")?;
        for line in &self.beliefs {
            writeln!(out, "  {line}")?;
        }
        if self.left_out > 0 {
            writeln!(out, "  and {} more, further away", self.left_out)?;
        }
        Ok(())
    }
}
