//! parsing of the operators' configuration.

use flamingostand::platform::parse_config;
use flamingostand::routing::RequestKind;
use serde_json::json;
use test_case::test_case;

fn config() -> Vec<u8> {
    json!({
        "version": 7,
        "routes": [
            { "name": "all", "host": "a.example", "path_prefix": "/", "kind": "idempotent", "service": "tools" },
            {
                "name": "deep", "host": "A.example", "path_prefix": "/x/y/", "kind": "streaming", "timeout_ms": 3000,
                "retained": true, "retention_s": 60.0, "resumable": false,
                "backends": [{ "service": "models", "weight": 90 }, { "service": "tools", "weight": 10 }],
            },
            { "name": "x", "host": "a.example", "path_prefix": "/x/", "kind": "non_idempotent", "service": "tools" },
        ],
        "services": [{ "name": "models", "max_conns": 9, "engine": { "slots": 6, "chunk_tokens": 12 } }],
        "unknown": true,
    })
    .to_string()
    .into_bytes()
}

#[test_case("a.example", "/x/y/z", Some("deep"); "longest prefix")]
#[test_case("A.EXAMPLE:80", "/x/z", Some("x"); "host without case and port")]
#[test_case("a.example", "/other", Some("all"); "root")]
#[test_case("b.example", "/x/y/z", None; "another host")]
fn route_of(host: &str, path: &str, expected: Option<&str>) {
    let table = parse_config(&config()).expect("a valid configuration");
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), expected);
}

#[test]
fn parsed_fields() {
    let table = parse_config(&config()).expect("a valid configuration");
    assert_eq!((table.version, table.route_count()), (7, 3));
    let route = table.route("a.example", "/x/y/").expect("a route for the path");
    assert_eq!(route.kind, RequestKind::Streaming);
    assert_eq!(route.retention_ms, Some(60_000));
    assert!(!route.is_retryable());
    let models = (0..1_000).filter(|draw| route.backend(draw * 100) == Some("models")).count();
    assert_eq!(models, 900, "backends get requests in proportion to their weights");
    let engine = table.service("models").and_then(|service| service.engine.as_ref()).expect("an engine");
    assert_eq!(engine.tokens_per_event, 12);
}

#[test_case("{}"; "no version")]
#[test_case("not json"; "not JSON")]
#[test_case(r#"{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"other"}]}"#; "unknown kind")]
fn invalid_config(text: &str) {
    assert!(parse_config(text.as_bytes()).is_err());
}

/// Guards against a key in the log of a door that gets a malformed configuration.
#[test_case(r#""secret-471100""#; "string for a list")]
#[test_case("471100"; "number for a list")]
#[test_case("[471100]"; "number for a key")]
#[test_case(r#"[{"secret-471100":1}]"#; "object for a key")]
#[test_case(r#"{"secret-471100":1}"#; "object for a list")]
#[test_case(r#"["secret-471100"#; "end of the document")]
fn no_key_in_errors(api_keys: &str) {
    let text = format!(r#"{{"version":1,"tenants":[{{"name":"north","api_keys":{api_keys}}}]}}"#);
    let error = parse_config(text.as_bytes()).expect_err("a malformed configuration");
    assert!(!error.contains("secret") && !error.contains("471100"), "{error}");
    assert!(error.contains("line 1"), "{error}");
}

/// Guards against a configuration that is refused because it lists its tenants as null.
#[test]
fn null_tenants_are_none() {
    let table = parse_config(br#"{"version":1,"tenants":null}"#).expect("a valid configuration");
    assert!(table.workspaces.is_empty());
}
