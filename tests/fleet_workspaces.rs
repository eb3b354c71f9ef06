//! workspaces of callers through real doors, ledger nodes and replicas: keys, names, and what stays apart.

mod fleet;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use fleet::Answer;
use fleet::ClientRequest;
use fleet::Cut;
use fleet::Fleet;
use fleet::HOST;
use fleet::route;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

const NORTH_KEY: &str = "key-of-north";
const SOUTH_KEY: &str = "key-of-south";
/// token budget that no test exhausts.
const LARGE_BUDGET: u64 = 100_000;
/// pause in which doors learn of a changed list or of each other: a few report intervals.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// time limit for each read of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn tenants() -> Value {
    json!([
        { "name": "north", "api_keys": [NORTH_KEY, "second-key-of-north"] },
        { "name": "south", "api_keys": [SOUTH_KEY] },
    ])
}

fn routes(fleet: &Fleet) -> Value {
    let mut routes = fleet.default_routes();
    let open = route("open", "/open/", "idempotent", "tools", json!({ "public": true }));
    routes.as_array_mut().expect("routes").push(open);
    routes
}

fn start(name: &str, doors: usize) -> Fleet {
    let mut fleet = Fleet::start(&format!("workspaces-{name}"), doors);
    configure(&mut fleet, &tenants());
    fleet
}

/// publishes these tenants, and waits until all doors have the configuration.
fn configure(fleet: &mut Fleet, tenants: &Value) {
    let version = fleet.put_config_with(&routes(fleet), Some(tenants));
    let line = format!("\"version\":{version}");
    for door in &fleet.doors {
        fleet.wait("the door has the configuration", || {
            door.lines_with("configuration activated").iter().any(|activated| activated.contains(&line))
        });
    }
}

/// a request of each kind.
fn requests(name: &str) -> [ClientRequest; 4] {
    let turn = |path: &str, kind: &str| {
        let id = format!("{kind}-{name}");
        ClientRequest::turn(path, &id, &id, &id, LARGE_BUDGET, 100)
    };
    [
        ClientRequest::get("/look/x", &format!("look-{name}")),
        ClientRequest::post("/send/x", &format!("send-{name}"), "letter"),
        turn("/kept/t", "kept"),
        turn("/chat/t", "chat"),
    ]
}

fn turn(key: &str, id: &str, program: &str) -> ClientRequest {
    ClientRequest::turn("/kept/t", id, &format!("<{id}>"), program, LARGE_BUDGET, 100).with("Api-Key", key)
}

/// values of a header in the only run of a request.
fn told(fleet: &Fleet, request: &str, header: &str) -> Vec<String> {
    let runs = fleet.runs_of(request);
    assert_eq!(runs.len(), 1, "runs of {request}");
    let values = runs[0].headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(header));
    values.map(|(_, value)| value.clone()).collect()
}

#[track_caller]
fn assert_whole(answer: &Answer) {
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
}

/// Guards against replicas that get a caller's key, or a name that the caller forged.
#[test]
fn replicas_get_the_name_and_no_key() {
    let fleet = start("name", 1);
    for (number, key) in [NORTH_KEY, "second-key-of-north", SOUTH_KEY].into_iter().enumerate() {
        for request in requests(&number.to_string()) {
            let forged = request.with("Api-Key", key).and("X-Tenant", "south").and("x-tenant", "north");
            assert_whole(&fleet.doors[0].send(&forged));
            let expected = if key == SOUTH_KEY { "south" } else { "north" };
            assert_eq!(told(&fleet, &forged.id, "x-tenant"), [expected], "{}", forged.id);
            assert!(told(&fleet, &forged.id, "api-key").is_empty(), "{}", forged.id);
        }
    }
    let log = fleet.doors[0].log_text();
    assert!(!log.contains(NORTH_KEY) && !log.contains(SOUTH_KEY), "no key is logged");
}

/// Guards against callers without a valid key that get anything run.
#[test_case(&[]; "none")]
#[test_case(&["unknown"]; "unknown")]
#[test_case(&[NORTH_KEY, SOUTH_KEY]; "two known ones")]
#[test_case(&[NORTH_KEY, "unknown"]; "a known one and another")]
#[test_case(&["key-of-nort"]; "prefix of a key")]
fn refused_without_a_key(keys: &[&str]) {
    let fleet = start(&format!("refused-{}", keys.join("-").len()), 1);
    for request in requests("x") {
        let request =
            keys.iter().fold(request.with("X-Tenant", "north"), |request, key| request.and("Api-Key", key));
        let answer = fleet.doors[0].send(&request);
        assert_eq!(answer.status, 401, "{answer:?}");
        assert!(answer.header("x-response-signature").is_none(), "{answer:?}");
        assert_eq!(fleet.run_count(&request.id), 0, "{}", request.id);
    }
    let repeated =
        ClientRequest::get("/look/x", "repeated").and("Api-Key", NORTH_KEY).and("api-key", NORTH_KEY);
    assert_whole(&fleet.doors[0].send(&repeated));
}

/// Guards against a public route that asks for a key, or tells replicas what callers say of themselves.
#[test]
fn public_route() {
    let fleet = start("public", 1);
    for (id, key, expected) in
        [("a", None, None), ("b", Some("unknown"), None), ("c", Some(SOUTH_KEY), Some("south"))]
    {
        let request = ClientRequest::get("/open/x", id).with("X-Tenant", "north");
        let request = key.map_or_else(|| request.clone(), |key| request.clone().with("Api-Key", key));
        assert_whole(&fleet.doors[0].send(&request));
        assert_eq!(told(&fleet, id, "x-tenant"), Vec::from_iter(expected), "{id}");
        assert!(told(&fleet, id, "api-key").is_empty(), "{id}");
    }
}

/// Guards against a deployment without workspaces whose requests change or are refused.
#[test]
fn headers_stay_without_workspaces() {
    let fleet = Fleet::start("workspaces-none", 1);
    for request in requests("x") {
        let request = request.and("Api-Key", "a").and("Api-Key", "b").and("X-Tenant", "c");
        assert_whole(&fleet.doors[0].send(&request));
        assert_eq!(told(&fleet, &request.id, "api-key"), ["a", "b"], "{}", request.id);
        assert_eq!(told(&fleet, &request.id, "x-tenant"), ["c"], "{}", request.id);
    }
}

/// Guards against doors that go by an older configuration: a key that is gone lets in, a new one does not.
#[test]
fn keys_change() {
    let mut fleet = start("change", 2);
    let ask = |fleet: &Fleet, door: usize, id: &str, key: &str| {
        fleet.doors[door]
            .send(&ClientRequest::get("/look/x", &format!("{id}-{door}")).with("Api-Key", key))
            .status
    };
    for door in 0..2 {
        assert_eq!(ask(&fleet, door, "new-before", "new-key"), 401);
        assert_eq!(ask(&fleet, door, "old-before", SOUTH_KEY), 200);
    }
    configure(
        &mut fleet,
        &json!([
            { "name": "north", "api_keys": [NORTH_KEY] },
            { "name": "south", "api_keys": ["new-key"] },
        ]),
    );
    for door in 0..2 {
        assert_eq!(ask(&fleet, door, "new-after", "new-key"), 200);
        assert_eq!(ask(&fleet, door, "old-after", SOUTH_KEY), 401);
        assert_eq!(fleet.run_count(&format!("old-after-{door}")), 0);
        let changes = fleet.doors[door].lines_with("workspaces changed");
        assert_eq!(changes.len(), 2, "one line for each change: {changes:?}");
        assert!(
            changes[1].contains("\"keys_added\":1") && changes[1].contains("\"keys_removed\":2"),
            "{changes:?}"
        );
    }
}

/// Guards against a request that waits in a door while its key is taken away, and runs afterwards.
#[test]
fn waiting_request_ends_with_its_key() {
    let mut fleet = start("waiting", 1);
    let mut stream = TcpStream::connect(fleet.doors[0].callers()).expect("the door accepts connections");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout can be set");
    let head = format!(
        "POST /send/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: waits\r\nX-Deadline-Ms: 9000\r\n\
         Api-Key: {SOUTH_KEY}\r\nContent-Length: 6\r\nConnection: close\r\n\r\nlet"
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    configure(&mut fleet, &json!([{ "name": "north", "api_keys": [NORTH_KEY] }]));
    stream.write_all(b"ter").expect("the rest is sent");
    let mut answer = String::new();
    // A reset after the answer is of no concern.
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
    assert_eq!(fleet.run_count("waits"), 0);
}

/// Guards against a turn that reads another workspace's conversation, and an answer that tells that there is one.
#[test]
fn turn_of_another_workspace_is_unknown() {
    let fleet = start("turns", 2);
    assert_whole(&fleet.doors[0].send(&turn(NORTH_KEY, "a", "program-1")));
    let foreign = fleet.doors[1].send(&turn(SOUTH_KEY, "b", "program-1").after("a"));
    let unknown = fleet.doors[1].send(&turn(SOUTH_KEY, "c", "program-1").after("never"));
    assert_eq!((foreign.status, unknown.status), (404, 404), "{foreign:?}");
    assert_eq!(foreign.body, unknown.body);
    assert_eq!((fleet.run_count("b"), fleet.run_count("c")), (0, 0));
    // The other key of the same workspace goes on.
    assert_whole(&fleet.doors[1].send(&turn("second-key-of-north", "d", "program-1").after("a")));
    assert!(fleet.model_bodies().contains(&"<a>word1\nword2\nword3\nword4\n<d>".to_owned()));
}

/// Guards against a workspace that spends the budget of another one's program, or hides its own turn behind the
/// other's of the same id.
#[test]
fn same_ids_in_two_workspaces() {
    let fleet = start("budgets", 1);
    for key in [NORTH_KEY, SOUTH_KEY] {
        // Each turn reserves 50 tokens and generates 40: 40 + 50 fit into 90, a third turn does not.
        let statuses = [1, 2, 3].map(|number| {
            let request = ClientRequest::turn("/chat/t", &format!("loop-{number}"), "x", "loop", 90, 50);
            fleet.doors[0].send(&request.with("Api-Key", key)).status
        });
        assert_eq!(statuses, [200, 200, 402], "{key}");
        let kept = ClientRequest::turn("/kept/t", "same", &format!("<{key}>"), "kept", LARGE_BUDGET, 100);
        assert_whole(&fleet.doors[0].send(&kept.with("Api-Key", key)));
    }
    for (id, key) in [("n", NORTH_KEY), ("s", SOUTH_KEY)] {
        assert_whole(&fleet.doors[0].send(&turn(key, id, "kept").after("same")));
        let body = format!("<{key}>word1\nword2\nword3\nword4\n<{id}>");
        assert!(fleet.model_bodies().contains(&body), "{body}");
    }
}

/// Guards against a stream that another workspace takes up.
#[test]
fn stream_of_another_workspace_is_unknown() {
    let fleet = start("streams", 1);
    let chat = |id: &str, key: &str| ClientRequest::post("/chat/t", id, "x").with("Api-Key", key);
    assert_whole(&fleet.doors[0].send(&chat("a", NORTH_KEY)));
    let take_up = |id: &str, key: &str| chat(id, key).with("Last-Event-Id", "2").with("Resumes", "a");
    assert_eq!(fleet.doors[0].send(&take_up("b", SOUTH_KEY)).status, 503);
    assert_eq!(fleet.run_count("b"), 0);
    let own = fleet.doors[0].send(&take_up("c", NORTH_KEY));
    assert_whole(&own);
    assert_eq!(own.events(), ["word3", "word4"]);
}

/// Guards against a door without news that ends programs by a 401 which may be false, or refuses keys that it knows.
#[test]
fn door_without_news() {
    let mut fleet = start("news", 1);
    fleet.set_platform_down(true);
    for ledger in &mut fleet.ledgers {
        ledger.kill();
    }
    let ask = |id: &str, key: &str| {
        let request = ClientRequest::get("/look/x", id).with("Api-Key", key);
        fleet.doors[0].send(&request)
    };
    let mut asked = 0;
    fleet.wait("the door is unsure of unknown keys", || {
        asked += 1;
        ask(&format!("unknown-{asked}"), "unknown").status == 503
    });
    let unsure = ask("unsure", "unknown");
    assert_eq!((unsure.status, unsure.body.trim()), (503, "key_unsure"));
    assert!(unsure.header("retry-after").is_some(), "{unsure:?}");
    assert_whole(&ask("known", NORTH_KEY));
    assert_eq!(fleet.run_count("unsure"), 0);
    fleet.set_platform_down(false);
    // The door reads the platform itself.
    fleet.wait("the door is sure again", || {
        asked += 1;
        ask(&format!("unknown-{asked}"), "unknown").status == 401
    });
}

/// Guards against keys that go unchecked, or names that get lost, on the way through another door.
#[test]
fn request_that_is_passed_on() {
    let fleet = start("passed", 3);
    let proxies = fleet.add_proxies();
    sleep(SETTLE_TIME);
    for proxy in &proxies {
        proxy.cut(fleet.doors[0].id(), Cut::Reset);
    }
    let mut number = 0;
    fleet.wait("the door believes that it is cut off", || {
        number += 1;
        let id = format!("doubt-{number}");
        let request = ClientRequest::get(&format!("/look/{id}"), &id).with("Api-Key", NORTH_KEY);
        fleet.doors[0].send(&request.with("X-Deadline-Ms", "1000"));
        let lost = fleet.doors[0].lines_with("a dependency is lost");
        lost.iter().any(|line| line.contains("\"dependency\":\"replicas\""))
    });
    for request in requests("passed") {
        let known = request.clone().with("Api-Key", NORTH_KEY).and("X-Tenant", "south");
        assert_whole(&fleet.doors[0].send(&known));
        assert_eq!(told(&fleet, &known.id, "x-tenant"), ["north"], "{}", known.id);
        assert!(told(&fleet, &known.id, "api-key").is_empty(), "{}", known.id);
        let unknown = ClientRequest { id: format!("unknown-{}", request.id), ..request };
        assert_eq!(fleet.doors[0].send(&unknown.clone().with("Api-Key", "unknown")).status, 401);
        assert_eq!(fleet.run_count(&unknown.id), 0);
    }
}

/// Guards against a workspace whose requests are counted under no name.
#[test]
fn requests_are_counted() {
    let fleet = start("counted", 1);
    for request in requests("x") {
        assert_whole(&fleet.doors[0].send(&request.with("Api-Key", SOUTH_KEY)));
    }
    fleet.doors[0].send(&turn(SOUTH_KEY, "b", "program-1").after("never"));
    assert_eq!(fleet.doors[0].metric("door_workspace_requests_total{workspace=\"south\"}"), 5);
    let refused = "door_workspace_refusals_total{workspace=\"south\",reason=\"no_such_turn\"}";
    assert_eq!(fleet.doors[0].metric(refused), 1);
}
