//! the evaluation of notes against a naive one that keeps every version and checks whole states.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use flamingostand::config::EntryKey;
use flamingostand::release::ReleaseLog;
use flamingostand::release::evaluate;
use flamingostand::release::snapshot;
use flamingostand::schema::AcceptedRelease;
use flamingostand::schema::ReleaseEntry;
use flamingostand::schema::ReleaseNote;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

type State = BTreeMap<EntryKey, ReleaseEntry>;

const WORKSPACES: [&str; 3] = ["desk", "crews", "office"];
const MODELS: [&str; 3] = ["reader", "sizing", "spare"];
const AGENTS: [&str; 2] = ["assess", "talk"];

/// the state that a note makes; `None` when it names an entry wrongly.
fn applied(state: &State, note: &ReleaseNote) -> Option<State> {
    let mut next = state.clone();
    let mut named = BTreeSet::new();
    for name in &note.withdrawn {
        named.insert(EntryKey::from(name));
        next.remove(&EntryKey::from(name))?;
    }
    for entry in &note.changed {
        named.insert(EntryKey::from(entry));
        next.insert(EntryKey::from(entry), entry.clone())?;
    }
    for entry in &note.added {
        named.insert(EntryKey::from(entry));
        if next.insert(EntryKey::from(entry), entry.clone()).is_some() {
            return None;
        }
    }
    let count = note.withdrawn.len() + note.changed.len() + note.added.len();
    (count > 0 && named.len() == count).then_some(next)
}

/// tells whether a whole state holds together.
fn sound(state: &State) -> bool {
    let mut hashes = BTreeSet::new();
    for entry in state.values() {
        match entry {
            ReleaseEntry::Workspace(workspace) => {
                if !workspace.key_hashes.iter().all(|hash| hashes.insert(hash)) {
                    return false;
                }
            }
            ReleaseEntry::AgentProgram(agent) => {
                let workspace = EntryKey::Workspace(agent.workspace.clone());
                let model = EntryKey::Model(agent.model.clone());
                if !state.contains_key(&workspace) || !state.contains_key(&model) || agent.budget_tokens == 0
                {
                    return false;
                }
            }
            ReleaseEntry::Model(_) | ReleaseEntry::Service(_) => {}
        }
    }
    true
}

fn good(state: &State, note: &ReleaseNote) -> bool {
    applied(state, note).is_some_and(|next| sound(&next))
}

fn named(note: &ReleaseNote) -> Vec<EntryKey> {
    let entries = note.added.iter().chain(&note.changed).map(EntryKey::from);
    entries.chain(note.withdrawn.iter().map(EntryKey::from)).collect()
}

/// entries that a note refers to, and which exist in both states but are not the same ones.
fn replaced(states: &[State], note: &ReleaseNote) -> bool {
    let against = note.against_version as usize;
    for entry in note.added.iter().chain(&note.changed) {
        let ReleaseEntry::AgentProgram(agent) = entry else {
            continue;
        };
        for key in [EntryKey::Workspace(agent.workspace.clone()), EntryKey::Model(agent.model.clone())] {
            let now = states[states.len() - 1].contains_key(&key);
            let added_since = (against + 1..states.len())
                .any(|version| states[version].contains_key(&key) && !states[version - 1].contains_key(&key));
            if now && added_since {
                return true;
            }
        }
    }
    false
}

fn random_entry(rng: &mut StdRng) -> Value {
    let workspace = WORKSPACES[rng.random_range(0..3)];
    let model = MODELS[rng.random_range(0..3)];
    match rng.random_range(0..3_u32) {
        0 => {
            let hash = ["a", "b", "c", "d"][rng.random_range(0..4)].repeat(64);
            json!({ "workspace": { "id": workspace, "key_hashes": [hash], "weight": rng.random_range(1..9_u32) } })
        }
        1 => json!({ "model": { "id": model, "context_tokens": rng.random_range(1..9_u32) } }),
        _ => {
            let id = AGENTS[rng.random_range(0..2)];
            let budget_tokens = rng.random_range(0..8_u32);
            json!({ "agent_program":
                { "id": id, "workspace": workspace, "model": model, "budget_tokens": budget_tokens } })
        }
    }
}

fn random_note(rng: &mut StdRng, newest: u64) -> ReleaseNote {
    let against = newest.saturating_sub(rng.random_range(0..4_u64));
    let mut note = json!({ "against_version": against, "added": [], "changed": [], "withdrawn": [] });
    for _ in 0..rng.random_range(1..4_u32) {
        let entry = random_entry(rng);
        let list = ["added", "changed", "withdrawn"][rng.random_range(0..3)];
        let value = if list == "withdrawn" {
            let entry: ReleaseEntry = serde_json::from_value(entry).expect("an entry");
            let name: flamingostand::schema::EntryName = (&EntryKey::from(&entry)).into();
            serde_json::to_value(name).expect("a name")
        } else {
            entry
        };
        note[list].as_array_mut().expect("a list").push(value);
    }
    serde_json::from_value(note).expect("a note")
}

#[test]
fn random_notes() {
    let (mut accepted, mut conflicts, mut faulty) = (0, 0, 0);
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut log = ReleaseLog::default();
        let mut states = vec![State::new()];
        for step in 0..600_u64 {
            let note = random_note(&mut rng, log.version());
            let newest = &states[states.len() - 1];
            let touched = (note.against_version as usize + 1..states.len()).any(|version| {
                let release = log.recent(version as u64).expect("it is in memory");
                let theirs = named(&release.note);
                named(&note).iter().any(|key| theirs.contains(key))
            });
            let was_good = good(&states[note.against_version as usize], &note);
            let expected = good(newest, &note) && !touched && !replaced(&states, &note);
            match evaluate(&note, &log) {
                Ok(()) => {
                    assert!(expected, "seed {seed}, step {step}: {note:?}");
                    accepted += 1;
                    let next = applied(newest, &note).expect("it is good");
                    let version = log.version() + 1;
                    let release = AcceptedRelease {
                        version,
                        operator: "ana".to_owned(),
                        accepted_unix_ms: step,
                        mark: format!("{version}"),
                        note,
                    };
                    assert!(log.apply(release));
                    states.push(next);
                }
                Err(refusal) => {
                    assert!(!expected, "seed {seed}, step {step}: {note:?}: {}", refusal.findings);
                    if was_good {
                        assert!(refusal.conflict, "seed {seed}, step {step}: {}", refusal.findings);
                        conflicts += 1;
                    } else {
                        faulty += 1;
                    }
                }
            }
        }
        same_after_snapshot(&log);
    }
    assert!(accepted > 1_000 && conflicts > 1_000 && faulty > 1_000, "{accepted} {conflicts} {faulty}");
}

/// a log that went through a snapshot evaluates as the one that it was taken of.
fn same_after_snapshot(log: &ReleaseLog) {
    let mut assembly = snapshot::Assembly::default();
    for part in snapshot::split(log) {
        assert!(assembly.add(part));
    }
    let restored = assembly.into_log();
    assert_eq!(restored.configuration(), log.configuration());
    assert_eq!(restored.history(), log.history());
}
