//! a small fleet of real processes, ledger nodes and front doors, between stand-ins of the platform and of replicas.
#![allow(dead_code, reason = "each test file uses its own part of the fleet")]

mod client;
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
use serde_json::Value;
use serde_json::json;

pub use client::Answer;
pub use client::ClientRequest;
pub use node::Node;

/// host of all routes.
pub const HOST: &str = "assistant.example";
/// tokens that one event of the model replicas stands for.
pub const TOKENS_PER_EVENT: u64 = 10;
/// events of a stream.
pub const EVENTS: usize = 4;
/// the longest wait for something that a fleet does by itself.
const PATIENCE: Duration = Duration::from_secs(20);

/// the processes and stand-ins of one test.
pub struct Fleet {
    pub platform: PlatformStandin,
    pub models: Vec<ReplicaStandin>,
    pub tools: Vec<ReplicaStandin>,
    pub ledgers: Vec<Node>,
    pub doors: Vec<Node>,
    folder: PathBuf,
    spawner: Spawner,
    config_version: u64,
}

impl Fleet {
    /// starts three ledger nodes and some doors, with two replicas of a model and two of a tool service.
    pub fn start(name: &str, doors: usize) -> Self {
        let spawner = Spawner::start(2);
        let platform =
            PlatformStandin::start(&spawner, PlatformOptions::default()).expect("the platform starts");
        let folder = option_env!("CARGO_TARGET_TMPDIR")
            .map_or_else(std::env::temp_dir, PathBuf::from)
            .join(format!("fleet-{name}-{}", std::process::id()));
        let mut fleet = Self {
            platform,
            models: Vec::new(),
            tools: Vec::new(),
            ledgers: Vec::new(),
            doors: Vec::new(),
            folder,
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
                !node.lines_with("the records are complete").is_empty()
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
        let options = ReplicaOptions {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "zone-a".to_owned(),
            events,
            step_ms: 20,
        };
        let replica = ReplicaStandin::start(&self.spawner, options).expect("the replica starts");
        self.list_replica(&replica, "ready");
        if events > 0 { self.models.push(replica) } else { self.tools.push(replica) }
    }

    /// starts the replicas again that a request has ended, and has them list themselves.
    pub fn restart_replicas(&self) {
        for replica in self.replicas() {
            if replica.restart(&self.spawner).expect("the replica starts again") {
                self.list_replica(replica, "ready");
            }
        }
    }

    fn replicas(&self) -> impl Iterator<Item = &ReplicaStandin> {
        self.models.iter().chain(&self.tools)
    }

    /// treats requests in this way at all replicas.
    pub fn set_faults(&self, fault: ReplicaFault) {
        for replica in self.replicas() {
            replica.set_fault(fault);
        }
    }

    /// times that requests have ended replicas.
    pub fn ends(&self) -> usize {
        self.replicas().map(ReplicaStandin::ends).sum()
    }

    /// writes entries of replicas of a service that no route leads to.
    pub fn list_strangers(&self, count: usize) {
        for number in 0..count {
            let entry = json!({
                "service": "strangers", "address": "127.0.0.1:9", "zone": "zone-a", "version": 1, "slots": 6,
                "state": "ready", "cold_remaining_ms": 0, "seq": 1,
            });
            self.put_object(&format!("servers/a-stranger-{number:05}"), &entry);
        }
    }

    /// writes a replica's entry, as the replica itself does.
    pub fn list_replica(&self, replica: &ReplicaStandin, state: &str) {
        self.put_object(&format!("servers/{}", replica.id()), &replica.entry(state));
    }

    /// lists a replica that is gone, at an address that another one has since.
    pub fn list_ghost(&self, id: &str, replica: &ReplicaStandin) {
        self.put_object(&format!("servers/{id}"), &replica.entry("ready"));
    }

    /// lists a replica that answers without end, in place of all others of its service.
    pub fn add_endless(&self, replica: &EndlessReplica, service: &str) {
        self.put_object("servers/endless", &replica.entry(service));
        for other in self.replicas().filter(|other| other.service() == service) {
            self.list_replica(other, "draining");
        }
    }

    fn put_object(&self, key: &str, spec: &Value) {
        let value = spec.to_string();
        self.platform
            .control()
            .with_store(|store| match store.get(key) {
                Ok(object) => store.update(key, value.as_bytes(), object.version),
                Err(_) => store.create(key, value.as_bytes()),
            })
            .expect("the platform takes the object");
    }

    /// accepts a configuration with these routes, as the operators do.
    pub fn put_config(&mut self, routes: &Value) -> u64 {
        self.config_version += 2;
        let engine = json!({ "slots": 6, "kv_capacity_tokens": 100_000, "chunk_tokens": TOKENS_PER_EVENT });
        let config = json!({
            "version": self.config_version, "routes": routes,
            "services": [
                { "name": "models", "max_conns": 100, "engine": engine },
                { "name": "tools", "max_conns": 100 },
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 100_000,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        });
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
        let folder = self.folder.join(format!("disk-{number}"));
        self.ledgers.push(Node::ledger(&self.folder, settings, &folder));
    }

    pub fn add_door(&mut self, number: usize) {
        let mut settings = self.settings(&format!("door-{number}"), "zone-a");
        settings["ledger_seeds"] = self.ledgers.iter().map(|node| node.mesh.to_string()).collect();
        self.doors.push(Node::door(&self.folder, settings));
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

    /// has the platform refuse all calls, or serve again.
    pub fn set_platform_down(&self, is_down: bool) {
        let outage = if is_down { Outage::Unavailable } else { Outage::None };
        self.platform.control().set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    }

    /// kills all doors and ledger nodes at once and starts them again.
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

    /// takes everything from the disk of a ledger node that does not run.
    pub fn empty_disk(&self, ledger: usize) {
        let disk = self.folder.join(format!("disk-{}", ledger + 1));
        std::fs::remove_dir_all(disk).expect("the disk can be emptied");
    }

    /// sends a request without reading the answer; dropping the connection hangs up.
    pub fn open(&self, door: usize, ask: &ClientRequest) -> TcpStream {
        client::open(self.doors[door].callers(), ask)
    }

    /// waits until something holds.
    pub fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < until, "gave up waiting: {what}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// runs a turn until it is answered whole, as a caller that comes back after a refusal.
    pub fn turn_until_answered(&self, door: usize, ask: &ClientRequest) -> Answer {
        let until = Instant::now() + PATIENCE;
        let mut tries = 0;
        loop {
            tries += 1;
            let answer = self.doors[door].send(&ask.attempt(tries));
            if answer.is_whole && answer.status == 200 {
                return answer;
            }
            assert!(Instant::now() < until, "no whole answer after {tries} tries: {answer:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// bodies of all runs at model replicas.
    pub fn model_bodies(&self) -> Vec<String> {
        self.models.iter().flat_map(|replica| replica.runs()).map(|run| run.body).collect()
    }

    /// times that a request ran at any replica.
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
        // A folder that stays is the system's to clean.
        if std::env::var_os("KEEP_FLEET").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// a route of the operators' configuration.
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
