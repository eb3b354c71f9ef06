//! a test fleet: real ledger node and front door processes with simulated platform and replicas.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part of the fleet")]

mod client;
mod cut_proxy;
pub mod deadly;
mod node;
#[path = "../processes/ports.rs"]
mod ports;

use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::Spawner;
use flamingo_standins::platform::Outage;
use flamingo_standins::platform::PlatformFaults;
use flamingo_standins::platform::PlatformOptions;
use flamingo_standins::platform::PlatformStandin;
use flamingo_standins::replica::EndlessReplica;
use flamingo_standins::replica::ReplicaFault;
use flamingo_standins::replica::ReplicaOptions;
use flamingo_standins::replica::ReplicaStandin;
use flamingo_standins::replica::Run;
use flamingo_standins::replica::ScriptedReplica;
use serde_json::Value;
use serde_json::json;

pub use client::Answer;
pub use client::ClientRequest;
pub use cut_proxy::Cut;
pub use cut_proxy::CutProxy;
pub use node::Node;

/// host name of all routes.
pub const HOST: &str = "assistant.example";
/// tokens for which one event of the model replicas stands.
pub const TOKENS_PER_EVENT: u64 = 10;
/// events in a stream of the model replicas.
pub const EVENTS: usize = 4;
/// time limit for a state that the fleet reaches by itself.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// the processes and simulated services of one test.
pub struct Fleet {
    pub platform: PlatformStandin,
    pub models: Vec<ReplicaStandin>,
    pub tools: Vec<ReplicaStandin>,
    pub ledgers: Vec<Node>,
    pub doors: Vec<Node>,
    directory: PathBuf,
    spawner: Spawner,
    config_version: u64,
}

impl Fleet {
    /// starts three ledger nodes, `doors` front doors, two model replicas and two tool replicas; waits until
    /// all are ready.
    pub fn start(name: &str, doors: usize) -> Self {
        let spawner = Spawner::start(2);
        let platform =
            PlatformStandin::start(&spawner, PlatformOptions::default()).expect("the platform starts");
        let directory = option_env!("CARGO_TARGET_TMPDIR")
            .map_or_else(std::env::temp_dir, PathBuf::from)
            .join(format!("fleet-{name}-{}", std::process::id()));
        let mut fleet = Self {
            platform,
            models: Vec::new(),
            tools: Vec::new(),
            ledgers: Vec::new(),
            doors: Vec::new(),
            directory,
            spawner,
            config_version: 0,
        };
        for number in 1..=2 {
            fleet.add_replica(&format!("model-{number}"), "models", EVENTS);
            fleet.add_replica(&format!("tool-{number}"), "tools", 0);
        }
        fleet.put_config(&fleet.default_routes());
        for number in 1..=3 {
            fleet.add_ledger(number);
        }
        for node in &fleet.ledgers {
            fleet.wait("the ledger node is complete", || {
                !node.lines_with("caught up; all records are present").is_empty()
            });
        }
        for number in 1..=doors {
            fleet.add_door(number);
        }
        for door in &fleet.doors {
            fleet.wait(&format!("{} is ready", door.name), || door.get_readiness() == 200);
        }
        fleet
    }

    pub fn add_replica(&mut self, id: &str, service: &str, events: usize) {
        self.add_version(id, service, events, "v1");
    }

    /// adds a replica with a version of its software.
    pub fn add_version(&mut self, id: &str, service: &str, events: usize, version: &str) {
        let options = ReplicaOptions {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "zone-a".to_owned(),
            events,
            step_ms: 20,
            version: version.to_owned(),
        };
        let replica = ReplicaStandin::start(&self.spawner, options).expect("the replica starts");
        self.register_replica(&replica, "ready");
        if events > 0 { self.models.push(replica) } else { self.tools.push(replica) }
    }

    /// replaces replicas that a request has ended: the entry of each goes, and its next process is listed
    /// under a new id.
    pub fn replace_replicas(&self) {
        for replica in self.replicas().filter(|replica| replica.is_down()) {
            let next_id = format!("{}-{}", replica.id(), replica.ends());
            let previous = replica.restart_as(&self.spawner, &next_id).expect("the replica restarts");
            self.delete_object(&format!("servers/{}", previous.expect("it was down")));
            self.register_replica(replica, "ready");
        }
    }

    /// writes the entries of all replicas again, as their next heartbeats do.
    pub fn register_replicas(&self) {
        for replica in self.replicas() {
            self.register_replica(replica, "ready");
        }
    }

    /// restarts replicas that a request has ended, and registers them again.
    pub fn restart_replicas(&self) {
        for replica in self.replicas() {
            if replica.restart(&self.spawner).expect("the replica restarts") {
                self.register_replica(replica, "ready");
            }
        }
    }

    fn replicas(&self) -> impl Iterator<Item = &ReplicaStandin> {
        self.models.iter().chain(&self.tools)
    }

    /// sets the fault mode of all replicas.
    pub fn set_faults(&self, fault: ReplicaFault) {
        for replica in self.replicas() {
            replica.set_fault(fault);
        }
    }

    /// number of replica ends caused by requests.
    pub fn ends(&self) -> usize {
        self.replicas().map(ReplicaStandin::ends).sum()
    }

    /// registers replicas of a service without a route.
    pub fn register_unrouted(&self, count: usize) {
        for number in 0..count {
            let entry = json!({
                "service": "strangers", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1", "slots": 6,
                "state": "ready", "cold_remaining_ms": 0, "seq": 1,
            });
            self.put_object(&format!("servers/a-stranger-{number:05}"), &entry);
        }
    }

    /// writes a replica's entry to the platform, as the replica itself does.
    pub fn register_replica(&self, replica: &ReplicaStandin, state: &str) {
        self.put_object(&format!("servers/{}", replica.id()), &replica.entry(state));
    }

    /// puts a proxy in front of each replica, which takes its place in the platform's list.
    pub fn add_proxies(&self) -> Vec<CutProxy> {
        let proxies = self.replicas().map(|replica| {
            let proxy = CutProxy::start(replica.address());
            let mut entry = replica.entry("ready");
            entry["address"] = json!(proxy.address().to_string());
            self.put_object(&format!("servers/{}", replica.id()), &entry);
            proxy
        });
        proxies.collect()
    }

    /// registers a stale replica id at an address that now belongs to `replica`.
    pub fn register_stale(&self, id: &str, replica: &ReplicaStandin) {
        self.put_object(&format!("servers/{id}"), &replica.entry("ready"));
    }

    /// registers a replica that answers without end, and drains all others of its service.
    pub fn replace_with_endless(&self, replica: &EndlessReplica, service: &str) {
        self.put_object("servers/endless", &replica.entry(service));
        for other in self.replicas().filter(|other| other.service() == service) {
            self.register_replica(other, "draining");
        }
    }

    fn put_object(&self, key: &str, spec: &Value) {
        self.put_bytes(key, spec.to_string().as_bytes());
    }

    /// writes an object whose value need not be JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.platform
            .control()
            .with_store(|store| match store.get(key) {
                Ok(object) => store.update(key, value, object.version),
                Err(_) => store.create(key, value),
            })
            .expect("the platform stores the object");
    }

    /// registers a replica that follows a script, and drains all others of its service but `kept`.
    pub fn replace_with_scripted(&self, replica: &ScriptedReplica, service: &str, kept: &[&str]) {
        self.put_object("servers/scripted", &replica.entry(service));
        for other in self.replicas().filter(|other| other.service() == service) {
            let state = if kept.contains(&other.id().as_str()) { "ready" } else { "draining" };
            self.register_replica(other, state);
        }
    }

    /// registers one more replica that follows a script.
    pub fn add_scripted(&self, id: &str, replica: &ScriptedReplica, service: &str) {
        self.put_object(&format!("servers/{id}"), &replica.entry(service));
    }

    fn delete_object(&self, key: &str) {
        self.platform
            .control()
            .with_store(|store| store.delete(key))
            .expect("the platform deletes the object");
    }

    /// publishes a configuration with these routes, as the operators do; returns its version.
    pub fn put_config(&mut self, routes: &Value) -> u64 {
        self.put_config_with(routes, None)
    }

    /// publishes a configuration with these routes and tenants, if there are any.
    pub fn put_config_with(&mut self, routes: &Value, tenants: Option<&Value>) -> u64 {
        self.config_version += 2;
        let engine = json!({ "slots": 6, "kv_capacity_tokens": 100_000, "chunk_tokens": TOKENS_PER_EVENT });
        let mut config = json!({
            "version": self.config_version, "routes": routes,
            "services": [
                { "name": "models", "max_conns": 100, "health_path": "/healthz", "engine": engine },
                { "name": "tools", "max_conns": 100, "health_path": "/healthz" },
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 100_000,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        });
        if let Some(tenants) = tenants {
            config["tenants"] = tenants.clone();
        }
        self.put_object("config/main", &config);
        self.config_version
    }

    pub fn default_routes(&self) -> Value {
        json!([
            route("kept", "/kept/", "streaming", "models", json!({ "retained": true, "retention_s": 60.0 })),
            route("chat", "/chat/", "streaming", "models", json!({ "resumable": true })),
            route("look", "/look/", "idempotent", "tools", json!({ "max_attempts": 2 })),
            route("send", "/send/", "non_idempotent", "tools", json!({})),
        ])
    }

    pub fn add_ledger(&mut self, number: usize) {
        let settings = self.settings(&format!("ledger-{number}"), "zone-a");
        let directory = self.directory.join(format!("disk-{number}"));
        self.ledgers.push(Node::ledger(&self.directory, settings, &directory));
    }

    pub fn add_door(&mut self, number: usize) {
        let mut settings = self.settings(&format!("door-{number}"), "zone-a");
        settings["ledger_seeds"] = self.ledgers.iter().map(|node| node.mesh.to_string()).collect();
        self.doors.push(Node::door(&self.directory, settings));
    }

    fn settings(&self, name: &str, zone: &str) -> Value {
        json!({
            "cluster": { "name": "fleet-test", "mesh_key": "1a".repeat(32) },
            "instance": { "name": name, "region": "region", "zone": zone },
            "platform": {
                "address": self.platform.address().to_string(), "form": "named", "calls_per_second": 100,
                "timeout_ms": 500, "watch_ms": 1000,
            },
            "tolerance": { "lost_disks": 1 },
            "bounds": { "grace_s": 4.0, "directory_ttl_ms": 500 },
            "log": { "format": "json", "level": "info" },
        })
    }

    /// makes the platform reject all calls, or serve again.
    pub fn set_platform_down(&self, is_down: bool) {
        let outage = if is_down { Outage::Unavailable } else { Outage::None };
        self.platform.control().set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    }

    /// kills all doors and ledger nodes, restarts them and waits until the doors are ready.
    pub fn restart_all(&mut self) {
        for node in self.doors.iter_mut().chain(&mut self.ledgers) {
            node.kill();
        }
        for node in self.ledgers.iter_mut().chain(&mut self.doors) {
            node.start();
        }
        for door in &self.doors {
            self.wait(&format!("{} is ready again", door.name), || door.get_readiness() == 200);
        }
    }

    /// deletes the data directory of a stopped ledger node.
    pub fn delete_data(&self, ledger: usize) {
        let disk = self.directory.join(format!("disk-{}", ledger + 1));
        std::fs::remove_dir_all(disk).expect("the disk can be emptied");
    }

    /// sends a request without reading the answer; dropping the stream closes the connection.
    pub fn open(&self, door: usize, request: &ClientRequest) -> TcpStream {
        client::open(self.doors[door].callers(), request)
    }

    /// polls a condition; panics if it does not hold within the time limit.
    pub fn wait(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !condition() {
            assert!(Instant::now() < deadline, "timed out waiting: {what}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// retries a turn until it is answered completely, as a caller does after a refusal.
    pub fn turn_until_answered(&self, door: usize, request: &ClientRequest) -> Answer {
        let deadline = Instant::now() + WAIT_LIMIT;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let answer = self.doors[door].send(&request.attempt(attempts));
            if answer.is_whole && answer.status == 200 {
                return answer;
            }
            assert!(Instant::now() < deadline, "no complete answer after {attempts} attempts: {answer:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// request bodies of all runs at model replicas.
    pub fn model_bodies(&self) -> Vec<String> {
        self.models.iter().flat_map(|replica| replica.runs()).map(|run| run.body).collect()
    }

    /// all runs of a request at replicas.
    pub fn runs_of(&self, request: &str) -> Vec<Run> {
        self.replicas().flat_map(ReplicaStandin::runs).filter(|run| run.request == request).collect()
    }

    /// number of runs of a request at all replicas.
    pub fn run_count(&self, request: &str) -> usize {
        self.replicas().flat_map(|replica| replica.runs()).filter(|run| run.request == request).count()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in self.doors.iter_mut().chain(&mut self.ledgers) {
            node.kill();
        }
        if std::thread::panicking() {
            for node in self.doors.iter().chain(&self.ledgers) {
                println!("{}", node.log_text());
            }
        }
        // A folder that cannot be removed is left to the system's cleanup.
        if std::env::var_os("KEEP_FLEET").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// a route of the configuration; `more` adds or replaces fields.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, more: Value) -> Value {
    let mut route = json!({
        "name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
        "target_latency_ms": 250, "priority": 0, "service": service, "max_attempts": 1, "sticky": true,
    });
    for (field, value) in more.as_object().into_iter().flatten() {
        route[field] = value.clone();
    }
    route
}
