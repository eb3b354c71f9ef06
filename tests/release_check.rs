//! all faults of a release note, each with its place; conflicts with later releases; differences.

use flamingostand::config::Configuration;
use flamingostand::release::ReleaseLog;
use flamingostand::release::check_note;
use flamingostand::release::diff;
use flamingostand::release::evaluate;
use flamingostand::schema::AcceptedRelease;
use flamingostand::schema::ReleaseNote;
use flamingostand::schema::check_text;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

fn note(value: Value) -> ReleaseNote {
    serde_json::from_value(value).expect("a release note")
}

fn hash(digit: &str) -> String {
    digit.repeat(64)
}

fn workspace(id: &str, key: &str) -> Value {
    json!({ "workspace": { "id": id, "key_hashes": [hash(key)] } })
}

fn agent(id: &str, workspace: &str, model: &str) -> Value {
    json!({ "agent_program": { "id": id, "workspace": workspace, "model": model, "budget_tokens": 1000 } })
}

fn base() -> ReleaseNote {
    note(json!({ "against_version": 0, "added": [
        workspace("desk", "a"), workspace("crews", "b"),
        { "model": { "id": "reader" } }, { "model": { "id": "spare" } }, { "service": { "id": "jobs" } },
        agent("assess", "desk", "reader"),
    ]}))
}

fn log(notes: &[(&str, ReleaseNote)]) -> ReleaseLog {
    let mut log = ReleaseLog::default();
    for (operator, note) in notes {
        let version = log.version() + 1;
        let mark = format!("mark-{version}");
        let operator = (*operator).to_owned();
        let accepted =
            AcceptedRelease { version, operator, accepted_unix_ms: version, mark, note: note.clone() };
        assert!(log.apply(accepted));
    }
    log
}

#[test_case(json!({}), &[""]; "empty note")]
#[test_case(json!({ "added": [workspace("desk", "c")] }), &["/added/0/workspace"]; "added twice")]
#[test_case(json!({ "changed": [{ "model": { "id": "nix" } }] }), &["/changed/0/model"]; "changed missing")]
#[test_case(json!({ "withdrawn": [{ "kind": "service", "id": "nix" }] }), &["/withdrawn/0"]; "withdrawn missing")]
#[test_case(json!({ "added": [{ "model": { "id": "m" } }, { "model": { "id": "m" } }] }),
    &["/added/1/model"]; "named twice")]
#[test_case(json!({ "changed": [{ "service": { "id": "jobs" } }], "withdrawn": [{ "kind": "service", "id": "jobs" }] }),
    &["/withdrawn/0"]; "changed and withdrawn")]
#[test_case(json!({ "added": [agent("p", "nix", "nix")] }),
    &["/added/0/agent_program/workspace", "/added/0/agent_program/model"]; "unknown references")]
#[test_case(json!({ "added": [agent("p", "new", "m"), workspace("new", "c"), { "model": { "id": "m" } }] }),
    &[]; "references inside")]
#[test_case(json!({ "added": [agent("p", "desk", "spare")], "withdrawn": [{ "kind": "model", "id": "spare" }] }),
    &["/added/0/agent_program/model", "/withdrawn/0"]; "reference withdrawn")]
#[test_case(json!({ "withdrawn": [{ "kind": "workspace", "id": "desk" }] }), &["/withdrawn/0"]; "workspace used")]
#[test_case(json!({ "withdrawn": [{ "kind": "model", "id": "reader" }] }), &["/withdrawn/0"]; "model used")]
#[test_case(json!({ "withdrawn": [{ "kind": "workspace", "id": "desk" },
    { "kind": "agent_program", "id": "assess", "workspace": "desk" }] }), &[]; "withdrawn together")]
#[test_case(json!({ "withdrawn": [{ "kind": "agent_program", "id": "assess" }] }),
    &["/withdrawn/0", "/withdrawn/0"]; "workspace not named")]
#[test_case(json!({ "withdrawn": [{ "kind": "service", "id": "jobs", "workspace": "desk" }] }),
    &["/withdrawn/0/workspace"]; "workspace too much")]
#[test_case(json!({ "added": [{ "workspace": { "id": "w", "key_hashes": [hash("X"), hash("c"), hash("c")] } }] }),
    &["/added/0/workspace/key_hashes/0", "/added/0/workspace/key_hashes/2"]; "bad hashes")]
#[test_case(json!({ "added": [workspace("w", "b")] }), &["/added/0/workspace/key_hashes/0"]; "key of another")]
#[test_case(json!({ "added": [workspace("v", "c"), workspace("w", "c")] }),
    &["/added/1/workspace/key_hashes/0"]; "key shared inside")]
#[test_case(json!({ "added": [workspace("w", "b")], "withdrawn": [{ "kind": "workspace", "id": "crews" }] }),
    &[]; "key moves")]
#[test_case(json!({ "changed": [workspace("desk", "b"), workspace("crews", "a")] }), &[]; "keys swap")]
#[test_case(json!({ "added": [{ "agent_program": { "id": "p", "workspace": "desk", "model": "reader",
        "budget_tokens": 0, "max_turns": 0, "deadline_ms": 0 } },
        { "model": { "id": "m", "context_tokens": 0 } }, { "service": { "id": "s", "timeout_ms": 0 } }] }),
    &["/added/0/agent_program/budget_tokens", "/added/0/agent_program/max_turns",
      "/added/0/agent_program/deadline_ms", "/added/1/model/context_tokens", "/added/2/service/timeout_ms"];
    "zeros")]
fn findings(value: Value, places: &[&str]) {
    let mut value = value;
    value["against_version"] = json!(1);
    let configuration = Configuration::default().with_note(1, &base());
    let findings = check_note(&note(value), &configuration);
    let found: Vec<&str> = findings.list.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(found, places, "{findings}");
}

#[test_case(json!({ "changed": [{ "model": { "id": "reader" } }] }),
    json!({ "changed": [{ "model": { "id": "reader", "context_tokens": 5 } }] }), &["/changed/0/model"]; "same entry")]
#[test_case(json!({ "changed": [workspace("desk", "c")] }),
    json!({ "added": [agent("p", "desk", "reader")] }), &[]; "reference changed")]
#[test_case(json!({ "withdrawn": [{ "kind": "model", "id": "spare" }] }),
    json!({ "added": [agent("p", "desk", "spare")] }), &["/added/0/agent_program/model"]; "reference gone")]
#[test_case(json!({ "added": [agent("p", "crews", "reader")] }),
    json!({ "withdrawn": [{ "kind": "workspace", "id": "crews" }] }), &["/withdrawn/0"]; "user added")]
#[test_case(json!({ "added": [workspace("w", "c")] }),
    json!({ "added": [workspace("v", "c")] }), &["/added/0/workspace/key_hashes/0"]; "key taken")]
#[test_case(json!({ "withdrawn": [{ "kind": "model", "id": "spare" }] }),
    json!({ "withdrawn": [{ "kind": "model", "id": "spare" }] }), &["/withdrawn/0"]; "withdrawn by both")]
fn conflicts(theirs: Value, ours: Value, places: &[&str]) {
    let (mut theirs, mut ours) = (theirs, ours);
    theirs["against_version"] = json!(1);
    ours["against_version"] = json!(1);
    let ours = note(ours);
    assert_eq!(evaluate(&ours, &log(&[("ana", base())])), Ok(()), "without the other note it is good");
    let verdict = evaluate(&ours, &log(&[("ana", base()), ("bor", note(theirs))]));
    let Err(refusal) = verdict else {
        assert!(places.is_empty());
        return;
    };
    assert!(refusal.conflict);
    let found: Vec<&str> = refusal.findings.list.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(found, places, "{}", refusal.findings);
    assert!(refusal.findings.list[0].detail.contains("by bor in version 2"), "{}", refusal.findings);
}

/// withdrawn and added again by others: the entry that the note refers to is another one now.
#[test]
fn replaced_reference() {
    let gone = note(json!({ "against_version": 1, "withdrawn": [{ "kind": "model", "id": "spare" }] }));
    let back = note(json!({ "against_version": 2, "added": [{ "model": { "id": "spare" } }] }));
    let log = log(&[("ana", base()), ("bor", gone), ("bor", back)]);
    let ours = note(json!({ "against_version": 1, "added": [agent("p", "desk", "spare")] }));
    let refusal = evaluate(&ours, &log).expect_err("a conflict");
    assert!(refusal.conflict);
    assert_eq!(refusal.findings.list[0].place, "/added/0/agent_program/model");
}

#[test]
fn future_version() {
    let ours = note(json!({ "against_version": 9, "added": [{ "model": { "id": "m" } }] }));
    let refusal = evaluate(&ours, &log(&[("ana", base())])).expect_err("no such version");
    assert!(!refusal.conflict);
    assert_eq!(refusal.findings.list[0].place, "/against_version");
}

#[test]
fn field_differences() {
    let configuration = Configuration::default().with_note(1, &base());
    let ours = note(json!({ "against_version": 1,
        "changed": [{ "model": { "id": "reader", "context_tokens": 5 } }],
        "withdrawn": [{ "kind": "service", "id": "jobs" }] }));
    let changes = diff(&ours, &configuration);
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[0].fields.len(), 1);
    assert_eq!(changes[0].fields[0].field, "context_tokens");
    assert_eq!(changes[0].fields[0].before, json!(400_000));
    assert_eq!(changes[1].change.to_string(), "withdrawn");
}

#[test]
fn example_notes() {
    for (name, text) in [
        ("first", include_str!("../examples/releases/first.json")),
        ("key-rotation", include_str!("../examples/releases/key-rotation.json")),
        ("withdraw-agent-program", include_str!("../examples/releases/withdraw-agent-program.json")),
    ] {
        let note: ReleaseNote =
            check_text("ReleaseNote", text).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert!(!note.summary.is_empty(), "{name}");
    }
    let first: ReleaseNote =
        check_text("ReleaseNote", include_str!("../examples/releases/first.json")).expect("a note");
    assert_eq!(check_note(&first, &Configuration::default()).list, []);
}
