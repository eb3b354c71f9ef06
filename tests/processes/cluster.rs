use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;
use serde_json::json;

use super::caller::Caller;
use super::ports::free_address;
use super::wait::until;

/// key of the operator in every test.
pub const OPERATOR_KEY: &str = "operator-key-of-the-tests";

/// tries of 50 ms before a start counts as failed.
const START_TRIES: u32 = 400;

/// one process of a test, killed when dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    pub operators: SocketAddr,
    pub mesh: SocketAddr,
    frozen: bool,
}

impl Process {
    fn start(mut command: Command, address: SocketAddr) -> Self {
        command.stdin(Stdio::null()).stdout(Stdio::null());
        if std::env::var_os("SCENARIO_LOG").is_none() {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().expect("the program starts");
        Self { child, address, operators: address, mesh: address, frozen: false }
    }

    /// number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// sends a signal to this process alone.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(status.success(), "signal {name} to {pid}");
    }

    /// pauses the process, which does not notice.
    pub fn freeze(&mut self) {
        self.signal("STOP");
        self.frozen = true;
    }

    /// lets a paused process go on.
    pub fn thaw(&mut self) {
        self.signal("CONT");
        self.frozen = false;
    }

    /// kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Already gone is as good as killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// waits for the process to end by itself.
    pub fn wait_end(&mut self) -> i32 {
        until("the process ends", 1_200, || {
            self.child.try_wait().expect("wait works").map(|status| status.code().unwrap_or(-1))
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// instances, stand-ins and callers of one test.
pub struct Cluster {
    pub operator: Caller,
    pub platform: Process,
    pub entries: BTreeMap<String, Process>,
    pub engines: BTreeMap<String, Process>,
    pub services: BTreeMap<String, Process>,
    listed: BTreeMap<String, Value>,
    folder: PathBuf,
    entry_settings: Value,
}

impl Cluster {
    /// starts a platform, engines, services and instances, and waits until all see each other.
    pub fn start(name: &str, entries: usize, engines: usize, services: usize, entry_settings: Value) -> Self {
        let folder = option_env!("CARGO_TARGET_TMPDIR")
            .map_or_else(std::env::temp_dir, PathBuf::from)
            .join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the test's folder can be made");
        let platform = start_standin(&["platform"], &[]);
        let operator = Caller::new(OPERATOR_KEY);
        let mut cluster = Self {
            operator,
            platform,
            entries: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            listed: BTreeMap::new(),
            folder,
            entry_settings,
        };
        for index in 1..=engines {
            cluster.start_engine(&format!("engine-{index}"), "reader", &[]);
        }
        for index in 1..=services {
            cluster.start_service(&format!("desk-{index}"), "desk", &[]);
        }
        for index in 1..=entries {
            cluster.start_entry(&format!("entry-{index}"));
        }
        cluster.publish_list();
        cluster.wait_members(entries);
        cluster.wait_replicas();
        cluster
    }

    pub fn start_engine(&mut self, name: &str, model: &str, options: &[&str]) {
        let process = start_standin(&["engine"], options);
        self.list(name, "engine", model, process.address);
        self.engines.insert(name.to_owned(), process);
    }

    pub fn start_service(&mut self, name: &str, service: &str, options: &[&str]) {
        let process = start_standin(&["service"], options);
        self.list(name, "service", service, process.address);
        self.services.insert(name.to_owned(), process);
    }

    /// starts an instance, or starts it again with the same settings.
    pub fn start_entry(&mut self, name: &str) {
        let path = self.folder.join(format!("{name}.json"));
        if !path.exists() {
            let settings = self.settings_of(name);
            fs::write(&path, settings.to_string()).expect("the settings can be written");
        }
        let settings: Value =
            serde_json::from_str(&fs::read_to_string(&path).expect("settings")).expect("JSON");
        let address =
            |key: &str| settings["listen"][key].as_str().expect("an address").parse().expect("an address");
        let mut command = Command::new(program("flamingostand", option_env!("CARGO_BIN_EXE_flamingostand")));
        command.arg("run").arg(&path);
        let mut process = Process::start(command, address("callers"));
        process.operators = address("operators");
        process.mesh = address("mesh");
        let callers = process.address;
        let mesh = process.mesh;
        self.entries.insert(name.to_owned(), process);
        self.list(name, "entry", "", mesh);
        let anyone = Caller::new("");
        until("the instance answers", START_TRIES, || {
            (anyone.get(callers, "/health").status == 200).then_some(())
        });
    }

    /// tells the platform which instances there are.
    pub fn publish_list(&self) {
        let list: Vec<&Value> = self.listed.values().collect();
        let answer = self.operator.put(self.platform.address, "/control/instances", &json!(list));
        assert_eq!(answer.status, 200, "the platform takes the list: {answer:?}");
    }

    /// marks an instance of the list as leaving.
    pub fn mark_leaving(&mut self, name: &str) {
        self.listed.get_mut(name).expect("listed")["state"] = json!("leaving");
        self.publish_list();
    }

    /// takes an instance off the list.
    pub fn unlist(&mut self, name: &str) {
        self.listed.remove(name);
        self.publish_list();
    }

    /// waits until every instance sees `count` live members and all slots have owners.
    pub fn wait_members(&self, count: usize) {
        for process in self.entries.values() {
            until("members see each other", START_TRIES, || {
                let answer = self.operator.get(process.operators, "/admin/v1/instances");
                let rows = answer.body.as_array()?;
                let alive = rows
                    .iter()
                    .filter(|row| row["health"] == "alive" && row["status"]["leaving"] == false)
                    .count();
                let slots: u64 = rows.iter().map(|row| row["status"]["slots"].as_u64().unwrap_or(0)).sum();
                (alive == count && slots == 64).then_some(())
            });
        }
    }

    /// waits until every instance has read the engines in the platform's list.
    pub fn wait_replicas(&self) {
        for process in self.entries.values() {
            until("the engines are known", START_TRIES, || {
                let answer = self.operator.get(process.operators, "/admin/v1/replicas");
                (answer.body.as_array()?.len() == self.engines.len()).then_some(())
            });
        }
    }

    /// instances that are not paused.
    pub fn awake(&self) -> impl Iterator<Item = (&String, &Process)> {
        self.entries.iter().filter(|(_, process)| !process.frozen)
    }

    /// the instance that owns a program's slot, as the doors see it.
    pub fn owner_of(&self, program: &str) -> String {
        until("an owner is known", START_TRIES, || {
            let (_, process) = self.awake().next()?;
            let answer = self.operator.get(process.address, &format!("/v1/where?program={program}"));
            Some(answer.body["addresses"][0]["instance"].as_str()?.to_owned())
        })
    }

    fn settings_of(&self, name: &str) -> Value {
        let zone = match name.as_bytes().last().map(|digit| digit % 3) {
            Some(1) => "ljubljana-a",
            Some(2) => "ljubljana-b",
            _ => "ljubljana-c",
        };
        let key_hash = blake3::hash(OPERATOR_KEY.as_bytes()).to_hex().to_string();
        let mut settings = json!({
            "cluster": { "name": "tests", "mesh_key": "5a".repeat(32) },
            "instance": { "name": name, "region": "ljubljana", "zone": zone },
            "listen": {
                "callers": free_address().to_string(),
                "operators": free_address().to_string(),
                "mesh": free_address().to_string(),
            },
            "platform": { "address": self.platform.address.to_string(), "timeout_ms": 1000 },
            "operator_keys": [{ "operator": "tester", "key_hash": key_hash }],
        });
        for (key, value) in self.entry_settings.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        settings
    }

    fn list(&mut self, name: &str, kind: &str, serves: &str, address: SocketAddr) {
        let row = json!({
            "name": name,
            "kind": kind,
            "serves": serves,
            "address": address.to_string(),
            "zone": "ljubljana-a",
            "state": "live",
        });
        self.listed.insert(name.to_owned(), row);
    }
}

/// path of a program of this package: what cargo names to tests, or beside the running example.
pub fn program(name: &str, known: Option<&str>) -> PathBuf {
    if let Some(path) = known {
        return PathBuf::from(path);
    }
    let own = std::env::current_exe().expect("the path of the running program");
    own.ancestors().nth(2).expect("a folder above the examples").join(name)
}

/// starts a stand-in and waits until it listens.
pub fn start_standin(arguments: &[&str], options: &[&str]) -> Process {
    let address = free_address();
    let mut command =
        Command::new(program("flamingo-standin", option_env!("CARGO_BIN_EXE_flamingo-standin")));
    command.args(arguments).args(["--listen", &address.to_string()]).args(options);
    let process = Process::start(command, address);
    until("the stand-in listens", START_TRIES, || std::net::TcpStream::connect(address).ok().map(drop));
    process
}
