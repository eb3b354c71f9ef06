use serde_json::Value;

use crate::config::Configuration;
use crate::config::EntryKey;
use crate::schema::ChangeKind;
use crate::schema::EntryChange;
use crate::schema::FieldChange;
use crate::schema::ReleaseEntry;
use crate::schema::ReleaseNote;

/// what a note does to a configuration, entry by entry in the order of the note.
pub fn diff(note: &ReleaseNote, configuration: &Configuration) -> Vec<EntryChange> {
    let mut changes = Vec::new();
    for entry in &note.added {
        changes.push(change(ChangeKind::Added, &EntryKey::from(entry), configuration, Some(entry)));
    }
    for entry in &note.changed {
        changes.push(change(ChangeKind::Changed, &EntryKey::from(entry), configuration, Some(entry)));
    }
    for name in &note.withdrawn {
        changes.push(change(ChangeKind::Withdrawn, &EntryKey::from(name), configuration, None));
    }
    changes
}

fn change(
    change: ChangeKind,
    key: &EntryKey,
    configuration: &Configuration,
    after: Option<&ReleaseEntry>,
) -> EntryChange {
    let before = fields_of(configuration.entry(key).as_ref());
    let after = fields_of(after);
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let mut fields = Vec::new();
    for name in names {
        let (before, after) = (before.get(name), after.get(name));
        if before == after {
            continue;
        }
        fields.push(FieldChange {
            field: name.clone(),
            before: before.cloned().unwrap_or_default(),
            after: after.cloned().unwrap_or_default(),
        });
    }
    EntryChange { change, entry: key.into(), fields }
}

/// the fields of an entry below its kind.
fn fields_of(entry: Option<&ReleaseEntry>) -> serde_json::Map<String, Value> {
    let Some(Value::Object(outer)) = entry.and_then(|entry| serde_json::to_value(entry).ok()) else {
        return serde_json::Map::new();
    };
    match outer.into_iter().next() {
        Some((_, Value::Object(fields))) => fields,
        _ => serde_json::Map::new(),
    }
}
