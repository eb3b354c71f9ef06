use crate::clock::format_utc;
use crate::config::EntryKey;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::release::LastChange;
use crate::release::ReleaseLog;
use crate::release::check;
use crate::schema::ReleaseEntry;
use crate::schema::ReleaseNote;

/// why a note cannot be accepted now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// all faults and conflicts.
    pub findings: Findings,
    /// whether releases accepted since the note was written are among the reasons.
    pub conflict: bool,
}

/// decides whether a note can be accepted after the newest release of `log`.
///
/// A note that was written against an older version conflicts where a later release touched an entry
/// that it names, or replaced or withdrew one that it refers to. Everything else is checked against the
/// newest version, so that notes about different entries all go through.
pub fn evaluate(note: &ReleaseNote, log: &ReleaseLog) -> Result<(), Refusal> {
    let mut refusal = Refusal { findings: Findings::default(), conflict: false };
    let newest = log.version();
    let against = note.against_version;
    if against > newest {
        let detail = format!("version {against} does not exist yet; the newest is {newest}");
        refusal.findings.push(Finding::new("/against_version", detail));
    }
    let floor = log.history().floor_version();
    if against < floor {
        let detail = format!(
            "the history reaches back to version {floor} only; write the note against version {newest}"
        );
        refusal.conflict(Finding::new("/against_version", detail));
    }
    let conflicting_places = refusal.named_entries(note, log);
    refusal.references(note, log);
    for fault in check::faults(note, log.configuration()) {
        if conflicting_places.contains(&fault.place) {
            continue;
        }
        let since = fault.because.as_ref().and_then(|key| changed_since(log, key, against));
        let Some(change) = since else {
            refusal.findings.push(Finding::new(fault.place, fault.detail));
            continue;
        };
        let detail = format!("{}: {}", fault.detail, describe(change));
        refusal.conflict(Finding::new(fault.place, detail));
    }
    if refusal.findings.list.is_empty() { Ok(()) } else { Err(refusal) }
}

impl Refusal {
    fn conflict(&mut self, finding: Finding) {
        self.conflict = true;
        if !self.findings.list.contains(&finding) {
            self.findings.push(finding);
        }
    }

    /// reports the entries that the note names and a later release touched; returns their places.
    fn named_entries(&mut self, note: &ReleaseNote, log: &ReleaseLog) -> Vec<String> {
        let mut places = Vec::new();
        for (place, key) in check::placed_keys(note) {
            let Some(change) = changed_since(log, &key, note.against_version) else {
                continue;
            };
            self.conflict(Finding::new(&place, format!("{key} {}", describe(change))));
            places.push(place);
        }
        places
    }

    /// reports the entries that the note refers to and that a later release added anew.
    fn references(&mut self, note: &ReleaseNote, log: &ReleaseLog) {
        for (place, entry) in check::placed_entries(note) {
            let ReleaseEntry::AgentProgram(agent) = entry else {
                continue;
            };
            let references = [
                ("workspace", EntryKey::Workspace(agent.workspace.clone())),
                ("model", EntryKey::Model(agent.model.clone())),
            ];
            for (field, key) in references {
                let Some(change) = changed_since(log, &key, note.against_version) else {
                    continue;
                };
                // A change alone leaves the reference good; a withdrawal is found by the check.
                if change.withdrawn || change.created_version <= note.against_version {
                    continue;
                }
                let detail = format!(
                    "{key} was added anew by version {}: {}",
                    change.created_version,
                    describe(change)
                );
                self.conflict(Finding::new(format!("{place}/{field}"), detail));
            }
        }
    }
}

fn changed_since<'a>(log: &'a ReleaseLog, key: &EntryKey, against: u64) -> Option<&'a LastChange> {
    log.history().last_change(key).filter(|change| change.version > against)
}

fn describe(change: &LastChange) -> String {
    let what = if change.withdrawn {
        "withdrawn"
    } else if change.version == change.created_version {
        "added"
    } else {
        "changed"
    };
    format!(
        "was {what} by {} in version {} on {} UTC",
        change.operator,
        change.version,
        format_utc(change.unix_ms)
    )
}
