//! the HTTP client of the platform against its stand-in.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_io::block_on;
use flamingo_edge::Spawner;
use flamingo_standins::platform::InstanceRow;
use flamingo_standins::platform::LostReplies;
use flamingo_standins::platform::Outage;
use flamingo_standins::platform::PlatformFaults;
use flamingo_standins::platform::PlatformOptions;
use flamingo_standins::platform::PlatformStandin;
use flamingo_standins::platform::StaleReads;
use test_case::test_case;

use flamingostand::platform::HttpPlatform;
use flamingostand::platform::HttpPlatformOptions;
use flamingostand::platform::Platform;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;
use flamingostand::platform::PlatformResult;
use flamingostand::platform::WriteOutcome;
use flamingostand::platform::create_outcome;
use flamingostand::platform::update_outcome;
use flamingostand::schema::ObjectForm;

static SPAWNER: LazyLock<Spawner> = LazyLock::new(|| Spawner::start(2));

/// a loopback address that no other stand-in of this test binds once it is free again.
fn unused_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 0))
}

fn standin() -> PlatformStandin {
    let options = PlatformOptions { listen: unused_address(), ..PlatformOptions::default() };
    PlatformStandin::start(&SPAWNER, options).expect("failed to start the stand-in")
}

fn client(standin: &PlatformStandin) -> HttpPlatform {
    HttpPlatform::new(HttpPlatformOptions {
        address: standin.address(),
        calls_per_second: 1_000,
        form: ObjectForm::Keyed,
        timeout_ms: 500,
    })
}

fn call(client: &HttpPlatform, request: PlatformRequest) -> PlatformResult {
    block_on(client.call(request))
}

fn get(key: &str) -> PlatformRequest {
    PlatformRequest::Get { key: key.to_owned() }
}

fn create(key: &str, value: &[u8]) -> PlatformRequest {
    PlatformRequest::Create { key: key.to_owned(), value: value.to_vec() }
}

fn update(key: &str, value: &[u8], version: u64) -> PlatformRequest {
    PlatformRequest::Update { key: key.to_owned(), value: value.to_vec(), version }
}

fn delete(key: &str) -> PlatformRequest {
    PlatformRequest::Delete { key: key.to_owned() }
}

fn list(prefix: &str, after: &str, limit: usize) -> PlatformRequest {
    PlatformRequest::List { prefix: prefix.to_owned(), after: after.to_owned(), limit, with_values: true }
}

fn watch(prefix: &str, after_revision: u64, wait_ms: u64) -> PlatformRequest {
    PlatformRequest::Watch { prefix: prefix.to_owned(), after_revision, wait_ms }
}

fn lost_replies(next: u64) -> PlatformFaults {
    PlatformFaults {
        lost_replies: LostReplies { next, ..LostReplies::default() },
        ..PlatformFaults::default()
    }
}

#[test]
fn conditional_writes() {
    let standin = standin();
    let client = client(&standin);
    assert_eq!(call(&client, get("a/b")), Err(PlatformError::NotFound));
    assert_eq!(call(&client, create("a/b", b"one")), Ok(PlatformReply::Written { version: 1 }));
    assert_eq!(call(&client, create("a/b", b"two")), Err(PlatformError::Conflict));
    assert_eq!(call(&client, update("a/b", b"two", 9)), Err(PlatformError::Conflict));
    assert_eq!(call(&client, update("a/c", b"two", 1)), Err(PlatformError::NotFound));
    assert_eq!(call(&client, update("a/b", b"two", 1)), Ok(PlatformReply::Written { version: 2 }));
    let Ok(PlatformReply::Object(object)) = call(&client, get("a/b")) else { panic!("not an object") };
    assert_eq!((object.version, object.value.as_slice()), (2, b"two".as_slice()));
    assert_eq!(call(&client, delete("a/b")), Ok(PlatformReply::Deleted));
    assert_eq!(call(&client, delete("a/b")), Err(PlatformError::NotFound));
    assert_eq!(client.call_count(), standin.control().counts().total);
}

#[test_case(1_048_576, true; "the largest")]
#[test_case(1_048_577, false; "one byte more")]
fn value_size(size: usize, fits: bool) {
    let standin = standin();
    let client = client(&standin);
    let value = vec![7; size];
    let written = call(&client, create("big", &value));
    assert_eq!(written.is_ok(), fits, "{written:?}");
    if fits {
        let Ok(PlatformReply::Object(object)) = call(&client, get("big")) else { panic!("not an object") };
        assert!(object.value == value);
    } else {
        assert!(matches!(written, Err(PlatformError::Invalid(_))));
    }
}

#[test_case("a b"; "space")]
#[test_case("a?b=1"; "query")]
#[test_case("a/../b"; "parent")]
#[test_case("a//b"; "empty part")]
#[test_case("é"; "not ascii")]
fn unsafe_key(key: &str) {
    let standin = standin();
    let result = call(&client(&standin), get(key));
    assert!(matches!(result, Err(PlatformError::Invalid(_))), "{result:?}");
    assert_eq!(standin.control().counts().total, 0);
}

#[test]
fn paged_list() {
    let standin = standin();
    let client = client(&standin);
    standin.control().with_store(|store| {
        for number in 0..1_203 {
            store.create(&format!("p/{number:04}"), b"v").unwrap();
        }
        store.create("q/1", b"other").unwrap();
    });
    let mut seen = Vec::new();
    let mut after = String::new();
    loop {
        let Ok(PlatformReply::Page { objects, more, revision }) = call(&client, list("p/", &after, 500))
        else {
            panic!("not a page");
        };
        assert_eq!(revision, 1_204);
        seen.extend(objects.into_iter().map(|object| object.key));
        after.clone_from(seen.last().unwrap());
        if !more {
            break;
        }
    }
    let expected: Vec<String> = (0..1_203).map(|number| format!("p/{number:04}")).collect();
    assert_eq!(seen, expected);
}

#[test]
fn watched_changes() {
    let standin = standin();
    let client = client(&standin);
    call(&client, create("w/1", b"one")).unwrap();
    call(&client, create("x/1", b"other")).unwrap();
    let writer = client.clone();
    let waiting = client.call(watch("w/", 2, 10_000));
    let write = async {
        while standin.control().counts().watch == 0 {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
        writer.call(delete("w/1")).await
    };
    let (seen, _) = block_on(futures_lite::future::zip(waiting, write));
    let Ok(PlatformReply::Changes { changes, revision }) = seen else { panic!("got {seen:?}") };
    assert_eq!(revision, 3);
    assert_eq!((changes.len(), changes[0].version, changes[0].value.as_ref()), (1, 3, None));
    assert_eq!(
        call(&client, watch("w/", 3, 10)),
        Ok(PlatformReply::Changes { changes: vec![], revision: 3 })
    );
    standin.control().force_watch_gap();
    assert_eq!(call(&client, watch("w/", 2, 10)), Err(PlatformError::Gap));
}

#[test_case(Outage::Close; "closed")]
#[test_case(Outage::Unavailable; "answered 503")]
fn watch_in_outage(outage: Outage) {
    let standin = standin();
    let client = client(&standin);
    let inject_outage = async {
        while standin.control().counts().watch == 0 {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
        standin.control().set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    };
    let (seen, ()) = block_on(futures_lite::future::zip(client.call(watch("w/", 0, 60_000)), inject_outage));
    assert_eq!(seen, Err(PlatformError::Unavailable));
}

#[test]
fn late_write() {
    let standin = standin();
    let client = client(&standin);
    standin.control().set_faults(PlatformFaults { slow_ms: 2_500, ..PlatformFaults::default() });
    assert_eq!(call(&client, create("j/1", b"mine")), Err(PlatformError::Unknown));
    standin.control().set_faults(PlatformFaults::default());
    assert_eq!(create_outcome(b"mine", &call(&client, get("j/1"))), WriteOutcome::NotSeen);
    // The write takes effect after its writer has timed out, so only the same write may be sent next.
    while call(&client, get("j/1")).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(call(&client, create("j/1", b"mine")), Err(PlatformError::Conflict));
    assert_eq!(create_outcome(b"mine", &call(&client, get("j/1"))), WriteOutcome::Written { version: 1 });
}

#[test]
fn lost_create() {
    let standin = standin();
    let client = client(&standin);
    standin.control().set_faults(lost_replies(1));
    assert_eq!(call(&client, create("j/1", b"mine")), Err(PlatformError::Unknown));
    let read_back = call(&client, get("j/1"));
    assert_eq!(create_outcome(b"mine", &read_back), WriteOutcome::Written { version: 1 });
    assert_eq!(create_outcome(b"theirs", &read_back), WriteOutcome::Superseded { version: 1 });
    assert_eq!(create_outcome(b"mine", &call(&client, get("j/2"))), WriteOutcome::NotSeen);
    assert_eq!(standin.control().counts().create, 1, "the client never retries a write");
}

#[test]
fn lost_update() {
    let standin = standin();
    let client = client(&standin);
    call(&client, create("j/1", b"old")).unwrap();
    assert_eq!(update_outcome(b"new", 1, &call(&client, get("j/1"))), WriteOutcome::NotSeen);
    standin.control().set_faults(lost_replies(1));
    assert_eq!(call(&client, update("j/1", b"new", 1)), Err(PlatformError::Unknown));
    assert_eq!(update_outcome(b"new", 1, &call(&client, get("j/1"))), WriteOutcome::Written { version: 2 });
    call(&client, update("j/1", b"theirs", 2)).unwrap();
    assert_eq!(
        update_outcome(b"new", 1, &call(&client, get("j/1"))),
        WriteOutcome::Superseded { version: 3 }
    );
}

#[test]
fn stale_read_back() {
    let standin = standin();
    let client = client(&standin);
    call(&client, create("j/1", b"old")).unwrap();
    call(&client, update("j/1", b"new", 1)).unwrap();
    let stale = StaleReads { revisions: 1, age_ms: 0 };
    standin.control().set_faults(PlatformFaults { stale_reads: stale, ..PlatformFaults::default() });
    let read_back = call(&client, get("j/1"));
    assert_eq!(update_outcome(b"newer", 2, &read_back), WriteOutcome::Inconclusive);
    let Ok(PlatformReply::Page { objects, .. }) = call(&client, list("j/", "", 10)) else {
        panic!("not a page")
    };
    assert_eq!(objects[0].value, b"old");
}

#[test_case(Outage::Unavailable, Err(PlatformError::Unavailable); "answered 503")]
#[test_case(Outage::Close, Err(PlatformError::Unknown); "closed")]
#[test_case(Outage::Hang, Err(PlatformError::Unknown); "hung")]
fn write_in_outage(outage: Outage, expected: PlatformResult) {
    let standin = standin();
    let client = client(&standin);
    standin.control().set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    assert_eq!(call(&client, create("a", b"1")), expected);
    assert_eq!(call(&client, get("a")), Err(PlatformError::Unavailable));
    standin.control().set_faults(PlatformFaults::default());
    assert_eq!(call(&client, get("a")), Err(PlatformError::NotFound));
}

#[test]
fn platform_unreachable() {
    let standin = standin();
    let client = client(&standin);
    drop(standin);
    assert_eq!(call(&client, create("a", b"1")), Err(PlatformError::Unavailable));
    assert_eq!(call(&client, get("a")), Err(PlatformError::Unavailable));
}

#[test]
fn platform_rate_limit() {
    let options = PlatformOptions { writes_per_s: 2.0, ..PlatformOptions::default() };
    let standin = PlatformStandin::start(&SPAWNER, options).unwrap();
    let client = client(&standin);
    call(&client, create("a", b"1")).unwrap();
    let refused = call(&client, create("b", b"1"));
    assert!(matches!(refused, Err(PlatformError::RateLimited { retry_after_ms: 1.. })), "{refused:?}");
    assert_eq!(standin.control().with_store(|store| store.len()), 1);
}

#[test]
fn client_rate_limit() {
    const CALLS: u32 = 50;
    const PER_SECOND: u32 = 40;
    let standin = standin();
    let client = HttpPlatform::new(HttpPlatformOptions {
        address: standin.address(),
        calls_per_second: PER_SECOND,
        form: ObjectForm::Keyed,
        timeout_ms: 2_000,
    });
    let started_at = Instant::now();
    let mut ends_ms = Vec::new();
    for _ in 0..CALLS {
        assert_eq!(call(&client, get("a")), Err(PlatformError::NotFound));
        ends_ms.push(started_at.elapsed().as_millis());
    }
    // Call n + PER_SECOND must not end within a second of the start of call n, which is not before the end of
    // call n - 1.
    for first in 1..ends_ms.len() {
        let Some(later_ms) = ends_ms.get(first + PER_SECOND as usize) else {
            break;
        };
        assert!(later_ms - ends_ms[first - 1] >= 1_000, "more than {PER_SECOND} calls in a second");
    }
    assert_eq!(standin.control().counts().rate_limited, 0);
}

#[test]
fn client_rate_limit_error() {
    let standin = standin();
    let options = HttpPlatformOptions {
        address: standin.address(),
        calls_per_second: 1,
        form: ObjectForm::Keyed,
        timeout_ms: 1_000,
    };
    let client = HttpPlatform::new(options);
    assert_eq!(call(&client, get("a")), Err(PlatformError::NotFound));
    let refused = call(&client, get("a"));
    assert!(matches!(refused, Err(PlatformError::RateLimited { retry_after_ms: 1.. })), "{refused:?}");
    assert_eq!(standin.control().counts().total, 1);
}

#[test]
fn lagging_instances() {
    let options = PlatformOptions { instance_lag_ms: 100, ..PlatformOptions::default() };
    let standin = PlatformStandin::start(&SPAWNER, options).unwrap();
    let client = client(&standin);
    let row = |name: &str, state: &str| InstanceRow {
        name: name.to_owned(),
        kind: "engine".to_owned(),
        serves: "reader".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "ljubljana-a".to_owned(),
        state: state.to_owned(),
    };
    standin.control().set_instances(vec![row("e1", "live")]);
    let Ok(PlatformReply::Instances(first)) = call(&client, PlatformRequest::Instances) else { panic!() };
    standin.control().set_instances(vec![row("e1", "leaving")]);
    let Ok(PlatformReply::Instances(lagging)) = call(&client, PlatformRequest::Instances) else { panic!() };
    assert_eq!(lagging, first);
    loop {
        let Ok(PlatformReply::Instances(seen)) = call(&client, PlatformRequest::Instances) else { panic!() };
        if seen != first {
            assert_eq!(seen[0].state, flamingostand::platform::ListedState::Leaving);
            break;
        }
    }
}
