use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;
use serde_json::json;

use super::HOST;
use super::client;
use super::client::Answer;
use super::client::ClientRequest;
use super::ports::free_address;

/// path of the program under test; examples get it from the environment.
fn program() -> PathBuf {
    let from_environment = std::env::var_os("FLAMINGOSTAND").map(PathBuf::from);
    from_environment
        .or(option_env!("CARGO_BIN_EXE_flamingostand").map(PathBuf::from))
        .expect("FLAMINGOSTAND names the program")
}

/// one process of a fleet.
pub struct Node {
    pub name: String,
    pub mesh: SocketAddr,
    callers: SocketAddr,
    peers: SocketAddr,
    readiness: SocketAddr,
    directory_address: SocketAddr,
    metrics: Option<SocketAddr>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// starts a ledger node.
    pub fn ledger(directory: &Path, mut settings: Value, disk: &Path) -> Self {
        settings["ledger"] = json!({ "data_dir": disk });
        Self::start_new(directory, settings)
    }

    /// starts a front door.
    pub fn door(directory: &Path, mut settings: Value) -> Self {
        settings["metrics"] = json!(free_address().to_string());
        settings["door"] = json!({
            "callers": free_address().to_string(), "readiness": free_address().to_string(),
            "directory": free_address().to_string(), "peers": free_address().to_string(),
        });
        Self::start_new(directory, settings)
    }

    fn start_new(directory: &Path, mut settings: Value) -> Self {
        fs::create_dir_all(directory).expect("the test's directory can be created");
        let mesh = free_address();
        settings["mesh"] = json!(mesh.to_string());
        let name = settings["instance"]["name"].as_str().expect("a name").to_owned();
        let path = directory.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let address = |field: &str| {
            let text = settings["door"][field].as_str();
            text.map_or(mesh, |text| text.parse().expect("an address"))
        };
        let mut node = Self {
            mesh,
            callers: address("callers"),
            readiness: address("readiness"),
            peers: address("peers"),
            directory_address: address("directory"),
            metrics: settings["metrics"].as_str().map(|text| text.parse().expect("an address")),
            settings: path,
            log: directory.join(format!("{name}.log")),
            name,
            child: None,
        };
        node.start();
        node
    }

    /// starts the process, also after a kill.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let mut command = Command::new(program());
        command.arg("node").arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit());
        self.child = Some(command.spawn().expect("the program starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// sends a signal to this process only.
    pub fn signal(&self, name: &str) {
        let pid = self.child.as_ref().expect("the process runs").id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(status.success(), "signal {name} to {pid}");
    }

    /// peak resident memory of the process.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
        kilobytes / 1024
    }

    /// process id.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("the process runs").id()
    }

    /// exit code of a process that has ended by itself; -1 after a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.as_mut()?.try_wait().expect("wait works")?;
        Some(status.code().unwrap_or(-1))
    }

    /// path of the log file, which collects standard output.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// the log of all runs of the process.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// log lines that contain a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        self.log_text().lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    pub fn get_readiness(&self) -> u16 {
        client::get(self.readiness, "/readyz").status
    }

    /// value of a metric of the process; 0 before its first update.
    pub fn metric(&self, name: &str) -> u64 {
        let text = client::get(self.metrics.expect("the process serves metrics"), "/metrics").body;
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.trim().parse().expect("a whole number"))
    }

    /// addresses of the doors in the answer of the directory.
    pub fn resolve(&self) -> Vec<String> {
        let path = format!("/resolve?name={HOST}&region=region&zone=zone-a");
        let body = client::get(self.directory_address, &path).body;
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let addresses = value["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// sends a request to the address for other doors.
    pub fn send_as_door(&self, request: &ClientRequest) -> Answer {
        client::send(self.peers, request)
    }

    pub fn send(&self, request: &ClientRequest) -> Answer {
        client::send(self.callers, request)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
