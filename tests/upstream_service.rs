//! the service client against service stand-ins that refuse, break off and die.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use async_io::block_on;
use flamingo_edge::Client;
use flamingo_edge::ClientSettings;
use flamingo_edge::Spawner;
use flamingo_standins::Seeded;
use flamingo_standins::service::ServiceFaults;
use flamingo_standins::service::ServiceOptions;
use flamingo_standins::service::ServiceStandin;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde_json::json;
use test_case::test_case;

use flamingostand::owner::ServiceOutcome;
use flamingostand::owner::ServiceRequest;
use flamingostand::upstream::LookUp;
use flamingostand::upstream::ServiceClient;

/// seeds of the differential test.
const SEEDS: std::ops::Range<u64> = 0..400;

static SPAWNER: LazyLock<Spawner> = LazyLock::new(|| Spawner::start(2));

/// a loopback address that no other stand-in of this test takes when it is free again.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 0))
}

fn service() -> ServiceStandin {
    let options = ServiceOptions { listen: own_address(), ..ServiceOptions::default() };
    ServiceStandin::start(&SPAWNER, options).expect("the test's own step succeeds")
}

fn services(count: usize) -> Vec<ServiceStandin> {
    (0..count).map(|_| service()).collect()
}

fn addresses(services: &[ServiceStandin]) -> Vec<SocketAddr> {
    services.iter().map(ServiceStandin::address).collect()
}

fn runs(services: &[ServiceStandin], key: &str) -> u64 {
    services.iter().map(|service| service.control().runs().get(key).copied().unwrap_or(0)).sum()
}

fn client() -> ServiceClient {
    ServiceClient::new(1_000)
}

fn request(key: &str, idempotent: bool) -> ServiceRequest {
    ServiceRequest {
        program: "p1".to_owned(),
        workspace: "uisce".to_owned(),
        call: key.to_owned(),
        service: "jobs".to_owned(),
        path: "/dispatches".to_owned(),
        body: json!({ "crew": 4 }),
        idempotent,
        timeout_ms: 300,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Answered,
    NotSent,
    Broken,
}

fn kind(outcome: &ServiceOutcome) -> Kind {
    match outcome {
        ServiceOutcome::Answered { .. } => Kind::Answered,
        ServiceOutcome::NotSent { .. } => Kind::NotSent,
        ServiceOutcome::Unknown { .. } => Kind::Broken,
    }
}

fn call(client: &ServiceClient, replicas: &[SocketAddr], request: &ServiceRequest) -> Kind {
    kind(&block_on(client.call(replicas, request)))
}

#[test]
fn whole_answer() {
    let services = services(1);
    let outcome = block_on(client().call(&addresses(&services), &request("k1", false)));
    let ServiceOutcome::Answered { status, body } = outcome else { panic!("{outcome:?}") };
    assert_eq!((status, &body["key"], &body["received"]["crew"]), (200, &json!("k1"), &json!(4)));
    assert_eq!(runs(&services, "k1"), 1);
}

#[test_case(ServiceFaults { refuse_next: 1, ..ServiceFaults::default() }, Kind::Answered, 1; "refused as not run")]
#[test_case(ServiceFaults { unclear_next: 1, ..ServiceFaults::default() }, Kind::Broken, 0; "refused unclearly")]
#[test_case(ServiceFaults { close_before_next: 1, ..ServiceFaults::default() }, Kind::Broken, 0; "closed before")]
#[test_case(ServiceFaults { close_after_next: 1, ..ServiceFaults::default() }, Kind::Broken, 1; "closed after")]
#[test_case(ServiceFaults { short_body_next: 1, ..ServiceFaults::default() }, Kind::Broken, 1; "short body")]
#[test_case(ServiceFaults { hang_after_next: 1, ..ServiceFaults::default() }, Kind::Broken, 1; "hung")]
#[test_case(ServiceFaults { die_after_next: 1, ..ServiceFaults::default() }, Kind::Broken, 1; "died")]
fn single_run(faults: ServiceFaults, wanted: Kind, wanted_runs: u64) {
    let services = services(2);
    services[0].control().set_faults(faults);
    assert_eq!(call(&client(), &addresses(&services), &request("k1", false)), wanted);
    assert_eq!(runs(&services, "k1"), wanted_runs);
}

#[test_case(ServiceFaults { unclear_next: 1, ..ServiceFaults::default() }; "refused unclearly")]
#[test_case(ServiceFaults { close_before_next: 1, ..ServiceFaults::default() }; "closed before")]
#[test_case(ServiceFaults { short_body_next: 1, ..ServiceFaults::default() }; "short body")]
#[test_case(ServiceFaults { die_after_next: 1, ..ServiceFaults::default() }; "died")]
fn repeated_run(faults: ServiceFaults) {
    let services = services(2);
    services[0].control().set_faults(faults);
    assert_eq!(call(&client(), &addresses(&services), &request("k1", true)), Kind::Answered);
}

#[test]
fn bounded_repeats() {
    let services = services(6);
    for service in &services {
        service.control().set_faults(ServiceFaults { close_after_next: 9, ..ServiceFaults::default() });
    }
    assert_eq!(call(&client(), &addresses(&services), &request("k1", true)), Kind::Broken);
    assert_eq!(runs(&services, "k1"), 3);
}

#[test]
fn dead_replica() {
    let mut services = services(2);
    let replicas = addresses(&services);
    drop(services.remove(0));
    assert_eq!(call(&client(), &replicas, &request("k1", false)), Kind::Answered);
    assert_eq!(call(&client(), &replicas[..1], &request("k2", false)), Kind::NotSent);
    assert_eq!(call(&client(), &[], &request("k3", false)), Kind::NotSent);
    assert_eq!(runs(&services, "k1"), 1);
}

#[test_case("k\r\nx-workspace: other"; "line break")]
#[test_case("ključ"; "not ascii")]
fn unsafe_key(key: &str) {
    let services = services(1);
    assert_eq!(call(&client(), &addresses(&services), &request(key, false)), Kind::NotSent);
    assert_eq!(services[0].control().runs().len(), 0);
}

#[test]
fn unsafe_path() {
    let services = services(1);
    let mut request = request("k1", false);
    request.path = "@other/".to_owned();
    assert_eq!(call(&client(), &addresses(&services), &request), Kind::NotSent);
    assert_eq!(runs(&services, "k1"), 0);
}

#[test]
fn found_by_key() {
    let services = services(2);
    let replicas = addresses(&services);
    let client = client();
    services[0].control().set_faults(ServiceFaults { close_after_next: 1, ..ServiceFaults::default() });
    assert_eq!(call(&client, &replicas, &request("a/b c+d%", false)), Kind::Broken);
    let found = block_on(client.look_up(&replicas, "a/b c+d%", 1_000));
    assert!(matches!(&found, LookUp::Ran { status: 200, body } if body["key"] == "a/b c+d%"), "{found:?}");
    assert_eq!(block_on(client.look_up(&replicas, "k2", 1_000)), LookUp::NotRun);
    assert_eq!(
        call(&client, &replicas, &request("k2", false)),
        Kind::NotSent,
        "a key said not to run never runs"
    );
}

#[test]
fn unclear_look_up() {
    let options = ServiceOptions { finds_by_key: false, ..ServiceOptions::default() };
    let services = [service(), ServiceStandin::start(&SPAWNER, options).unwrap()];
    let found = block_on(client().look_up(&addresses(&services), "k1", 1_000));
    assert!(
        matches!(found, LookUp::Unknown { .. }),
        "one replica that does not say leaves it unknown: {found:?}"
    );
}

fn drawn_faults(seeds: &mut Seeded) -> ServiceFaults {
    let mut count = || u64::from(seeds.chance(0.15));
    ServiceFaults {
        refuse_next: count(),
        unclear_next: count(),
        close_before_next: count(),
        close_after_next: count(),
        short_body_next: count(),
        die_after_next: count(),
        ..ServiceFaults::default()
    }
}

/// sends until something answers, as a client without the rule would.
fn naive_call(client: &Client, replicas: &[SocketAddr], key: &str) {
    for replica in replicas {
        let mut request = Request::new(
            Method::Post,
            Url::parse(&format!("http://{replica}/dispatches")).expect("the test's own step succeeds"),
        );
        request.insert_header("idempotency-key", key);
        request.set_body("{}");
        let answered = block_on(async {
            let exchange = client.send(*replica, request).await.ok()?;
            let whole = exchange.response.status().is_success();
            exchange.bytes(10_000).await.ok().filter(|_| whole)
        });
        if answered.is_some() {
            return;
        }
    }
}

#[test]
fn at_most_once() {
    let client = client();
    let settings = ClientSettings { connect_timeout_ms: 1_000, silence_timeout_ms: 300, idle_per_peer: 4 };
    let naive = Client::new(settings);
    let mut naive_doubles = 0;
    let mut seen = [0; 3];
    for seed in SEEDS {
        let mut seeds = Seeded::new(seed);
        let services = services(3);
        let replicas = addresses(&services);
        // Leaves kept connections behind, which must not be used for what may not be repeated.
        assert_eq!(call(&client, &replicas, &request("warm", true)), Kind::Answered);
        let faults: Vec<ServiceFaults> = services.iter().map(|_| drawn_faults(&mut seeds)).collect();
        let script = || {
            services.iter().zip(&faults).for_each(|(one, faults)| one.control().set_faults(faults.clone()))
        };
        script();
        for number in 0..3 {
            let key = format!("k{number}");
            let outcome = call(&client, &replicas, &request(&key, false));
            seen[outcome as usize] += 1;
            let ran = runs(&services, &key);
            match outcome {
                Kind::Answered => assert_eq!(ran, 1, "seed {seed} {key}: an answer needs its run"),
                Kind::NotSent => assert_eq!(ran, 0, "seed {seed} {key}: not run must be true"),
                Kind::Broken => assert!(ran <= 1, "seed {seed} {key}: ran {ran} times"),
            }
        }
        script();
        naive_call(&naive, &replicas, "naive");
        naive_doubles += u64::from(runs(&services, "naive") > 1);
    }
    assert!(seen.iter().all(|count| *count > 0), "the faults reach every outcome: {seen:?}");
    assert!(naive_doubles > 0, "the faults would double a run without the rule");
}
