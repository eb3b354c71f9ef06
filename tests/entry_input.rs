//! the callers' door answers bad input with a clear, final refusal.

mod processes;

use processes::caller::Caller;
use processes::cluster::Cluster;
use serde_json::Value;
use serde_json::json;

/// body, path, and the status, code and place that it is answered with.
type Case = (&'static str, Value, u16, &'static str, &'static str);

fn cases() -> Vec<Case> {
    let message = json!({ "role": "user", "content": "x" });
    let many = vec![message.clone(); 5_000];
    vec![
        ("/v1/programs", json!({}), 400, "invalid_body", ""),
        ("/v1/programs", json!({ "agent_program": 7 }), 400, "invalid_body", "/agent_program"),
        ("/v1/programs", json!({ "agent_program": "a", "extra": 1 }), 400, "invalid_body", "/extra"),
        ("/v1/programs", json!({ "agent_program": "nothing" }), 404, "unknown_agent_program", ""),
        ("/v1/programs/p/turns", json!({ "messages": [] }), 400, "invalid_body", "/messages"),
        (
            "/v1/programs/p/turns",
            json!({ "messages": [{ "role": "king" }] }),
            400,
            "invalid_body",
            "/messages/0/role",
        ),
        ("/v1/programs/p/turns", json!({ "messages": many }), 413, "too_many_messages", "/messages"),
        ("/v1/programs/p/turns", json!({ "messages": [message] }), 404, "unknown_program", ""),
        (
            "/v1/programs/p/calls",
            json!({ "service": "s", "path": "/x", "body": 1 }),
            400,
            "call_id_missing",
            "/call",
        ),
        (
            "/v1/programs/p/calls",
            json!({ "service": "s", "path": "x", "body": 1, "call": "c" }),
            400,
            "invalid_body",
            "/path",
        ),
        ("/v1/nothing", json!({}), 404, "no_such_path", ""),
        ("/v1/where", json!({}), 405, "wrong_method", ""),
    ]
}

#[test]
fn bad_input() {
    let cluster = Cluster::start("bad-input", 1, 0, 0, json!({}));
    let entry = &cluster.entries["entry-1"];
    let key_hash = blake3::hash(b"desk-key").to_hex().to_string();
    let note = json!({
        "against_version": 0,
        "added": [{ "workspace": { "id": "desk", "key_hashes": [key_hash] } }],
    });
    assert_eq!(cluster.operator.post(entry.operators, "/admin/v1/release", &note).status, 200);
    let caller = Caller::new("desk-key");
    for (path, body, status, code, place) in cases() {
        let answer = caller.post(entry.address, path, &body);
        let seen = (answer.status, answer.code(), answer.body["ran"].as_str().unwrap_or_default());
        assert_eq!(seen, (status, code, "not_run"), "{path} {answer:?}");
        assert_eq!(answer.body["place"].as_str().unwrap_or_default(), place, "{path} {answer:?}");
    }
    let stranger = Caller::new("another key").post(entry.address, "/v1/programs", &json!({}));
    assert_eq!((stranger.status, stranger.code()), (401, "unknown_key"));
    let no_operator = caller.get(entry.operators, "/admin/v1/instances");
    assert_eq!((no_operator.status, no_operator.code()), (401, "unknown_key"));
}
