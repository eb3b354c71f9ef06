//! workspaces of a configuration: decoding, look-up by key, and on whose behalf requests run.

use std::sync::Arc;
use std::time::Duration;

use flamingostand::platform::CallerRequest;
use flamingostand::platform::ForwardOptions;
use flamingostand::platform::parse_config;
use flamingostand::platform::replica_headers;
use flamingostand::routing::RouteTable;
use flamingostand::workspace::Allotment;
use flamingostand::workspace::KeyDigest;
use flamingostand::workspace::Principal;
use flamingostand::workspace::WorkspaceChanges;
use flamingostand::workspace::Workspaces;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

/// a configuration with these tenants, and two routes.
fn table(tenants: &Value) -> RouteTable {
    let config = json!({
        "version": 3,
        "routes": [
            { "host": "a.example", "path_prefix": "/", "kind": "idempotent", "service": "tools" },
            { "host": "a.example", "path_prefix": "/open/", "kind": "idempotent", "service": "tools", "public": true },
        ],
        "tenants": tenants,
    });
    parse_config(config.to_string().as_bytes()).expect("a valid configuration")
}

fn two_workspaces() -> RouteTable {
    table(&json!([
        { "name": "north", "api_keys": ["key-n1", "key-n2"], "priority": 1, "rate_per_s": 2.5, "burst": 4.0 },
        { "name": "south", "api_keys": ["key-s"], "rate_per_s": 0.0, "burst": 9.0 },
    ]))
}

fn holder<'a>(workspaces: &'a Workspaces, key: &str) -> Option<&'a str> {
    workspaces.by_key(key).map(|workspace| workspace.name.as_str())
}

/// Guards against a key that lets callers of another workspace in, and against near misses that count as hits.
#[test_case("key-n1", Some("north"); "first key")]
#[test_case("key-n2", Some("north"); "second key")]
#[test_case("key-s", Some("south"); "other workspace")]
#[test_case("key-n", None; "prefix of a key")]
#[test_case("KEY-N1", None; "other case")]
#[test_case("key-n1 ", None; "trailing space")]
#[test_case("", None; "empty")]
#[test_case("north", None; "name of a workspace")]
fn workspace_of_key(key: &str, expected: Option<&str>) {
    assert_eq!(holder(&two_workspaces().workspaces, key), expected);
}

/// Guards against limits that are read where none is set, and against a priority that gets lost.
#[test]
fn decoded_workspaces() {
    let workspaces = two_workspaces().workspaces;
    assert_eq!((workspaces.len(), workspaces.key_count(), workspaces.is_empty()), (2, 3, false));
    let north = workspaces.by_name("north").expect("a workspace");
    assert_eq!(north.allotment, Some(Allotment { rate_per_s: 2.5, burst: 4.0 }));
    assert_eq!(north.priority, Some(1));
    let south = workspaces.by_name("south").expect("a workspace");
    assert_eq!((south.allotment, south.priority), (None, None), "a rate of 0 is no limit");
    assert!(table(&json!([])).workspaces.is_empty());
    assert!(workspaces.by_name("east").is_none());
}

/// Guards against a document that is refused, or a key that serves nobody, because two workspaces name it.
#[test]
fn key_of_two_workspaces() {
    let workspaces = table(&json!([
        { "name": "north", "api_keys": ["shared", "shared"] },
        { "name": "south", "api_keys": ["shared", "key-s"] },
    ]))
    .workspaces;
    assert_eq!(holder(&workspaces, "shared"), Some("north"), "the first one holds it");
    assert_eq!(workspaces.shared_key_count(), 1, "a key that one workspace names twice is not shared");
}

/// Guards against an empty key in the configuration that lets callers without a key in.
#[test]
fn empty_key_in_the_configuration() {
    let workspaces = table(&json!([{ "name": "north", "api_keys": ["", "key-n"] }])).workspaces;
    assert_eq!((workspaces.key_count(), holder(&workspaces, "")), (1, None));
}

/// Guards against a key that can be read from a dump of what a door holds.
#[test]
fn no_key_in_debug_output() {
    let workspaces = two_workspaces().workspaces;
    let digest = blake3::hash(b"key-s").to_hex().to_string();
    let text = format!("{workspaces:?} {:?}", request(&[("Api-Key", "key-s")]));
    assert!(!text.contains("key-s") && !text.contains(&digest[..8]), "{text}");
}

fn headers(rows: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in rows {
        let name: HeaderName = name.parse().expect("a name");
        headers.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    headers
}

fn request(rows: &[(&str, &str)]) -> CallerRequest {
    CallerRequest::from_headers(&headers(rows))
}

/// Guards against a second key that decides in one process and is ignored in another.
#[test_case(&[], None; "none")]
#[test_case(&[("Api-Key", "a")], Some("a"); "one")]
#[test_case(&[("Api-Key", "a"), ("api-key", "a")], Some("a"); "the same twice")]
#[test_case(&[("Api-Key", "a"), ("Api-Key", "b")], None; "two")]
#[test_case(&[("Api-Key", "a"), ("Api-Key", "a"), ("Api-Key", "")], None; "one of them empty")]
#[test_case(&[("Api-Key", "")], None; "empty")]
#[test_case(&[("X-Tenant", "a")], None; "only a name")]
fn key_of_request(rows: &[(&str, &str)], expected: Option<&str>) {
    assert_eq!(request(rows).key, expected.map(|key| KeyDigest::of(key.as_bytes())));
}

/// what replicas are told of a request for this path: the values of the two headers.
fn told(table: &RouteTable, path: &str, rows: &[(&str, &str)]) -> Option<[Vec<String>; 2]> {
    let route = table.route("a.example", path).expect("a route");
    let caller = headers(rows);
    let principal = table.principal(route, request(rows).key.as_ref())?;
    let timeout = Duration::from_secs(1);
    let options = ForwardOptions { replica: "i-1", timeout, last_event_id: None, principal: &principal };
    let sent = replica_headers(&caller, &options);
    let values = |name: &str| {
        sent.get_all(name).iter().map(|value| value.to_str().expect("text").to_owned()).collect()
    };
    Some([values("api-key"), values("x-tenant")])
}

/// Guards against keys that reach replicas, and against names that callers forge.
#[test_case("/x", &[("Api-Key", "key-s")], Some(Some("south")); "known key")]
#[test_case("/x", &[("Api-Key", "key-s"), ("X-Tenant", "north"), ("x-tenant", "west")], Some(Some("south")); "forged")]
#[test_case("/x", &[("Api-Key", "key-x"), ("X-Tenant", "north")], None; "unknown key")]
#[test_case("/x", &[("X-Tenant", "north")], None; "no key")]
#[test_case("/x", &[("Api-Key", "key-s"), ("Api-Key", "key-n1")], None; "two keys")]
#[test_case("/open/x", &[("X-Tenant", "north")], Some(None); "public without a key")]
#[test_case("/open/x", &[("Api-Key", "key-x"), ("X-Tenant", "north")], Some(None); "public with an unknown key")]
#[test_case("/open/x", &[("Api-Key", "key-s"), ("X-Tenant", "north")], Some(Some("south")); "public with a known key")]
fn replicas_are_told(path: &str, rows: &[(&str, &str)], expected: Option<Option<&str>>) {
    let expected = expected.map(|name| [Vec::new(), name.map(str::to_owned).into_iter().collect()]);
    assert_eq!(told(&two_workspaces(), path, rows), expected);
}

/// Guards against a deployment without workspaces whose requests change or are refused.
#[test]
fn nothing_changes_without_workspaces() {
    let table = table(&json!([]));
    let rows = [("Api-Key", "any"), ("Api-Key", "other"), ("X-Tenant", "north")];
    let kept = [vec!["any".to_owned(), "other".to_owned()], vec!["north".to_owned()]];
    assert_eq!(told(&table, "/x", &rows), Some(kept));
    assert_eq!(Principal::Unscoped.scoped("turn-1"), "turn-1", "records of earlier builds are found");
}

/// Guards against an id that reaches what another party stored.
#[test]
fn scopes_are_apart() {
    let table = two_workspaces();
    let of = |name| Principal::Workspace(Arc::clone(table.workspaces.by_name(name).expect("a workspace")));
    let (north, south) = (of("north"), of("south"));
    let id = north.scoped("turn-1");
    assert_ne!(id, south.scoped("turn-1"));
    assert_eq!(id, north.scoped("turn-1"));
    // A caller may write the scope of another one into its id.
    for other in [&south, &Principal::Anonymous] {
        assert_ne!(other.scoped(&id), id);
        assert_ne!(other.scoped("turn-1"), id);
    }
    assert_ne!(Principal::Anonymous.scoped("turn-1"), "turn-1");
}

/// Guards against changes of keys that operators cannot see in the log, or see where nothing changed.
#[test]
fn changes_of_workspaces() {
    let first = two_workspaces().workspaces;
    assert_eq!(first.changes_since(&two_workspaces().workspaces), WorkspaceChanges::default());
    let second = table(&json!([
        { "name": "north", "api_keys": ["key-n1"] },
        { "name": "east", "api_keys": ["key-s", "key-e"] },
    ]))
    .workspaces;
    let changes = WorkspaceChanges { added: 1, removed: 1, keys_added: 2, keys_removed: 2 };
    assert_eq!(second.changes_since(&first), changes, "a key that moves is gone and added");
}
