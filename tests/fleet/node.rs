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

/// the program under test; an example is told of it.
fn program() -> PathBuf {
    let told = std::env::var_os("FLAMINGOSTAND").map(PathBuf::from);
    told.or(option_env!("CARGO_BIN_EXE_flamingostand").map(PathBuf::from))
        .expect("FLAMINGOSTAND names the program")
}

/// one process of a fleet.
pub struct Node {
    pub name: String,
    pub mesh: SocketAddr,
    callers: SocketAddr,
    readiness: SocketAddr,
    directory: SocketAddr,
    metrics: Option<SocketAddr>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// starts a ledger node.
    pub fn ledger(folder: &Path, mut settings: Value, disk: &Path) -> Self {
        settings["ledger"] = json!({ "data_dir": disk });
        Self::start_new(folder, settings)
    }

    /// starts a front door.
    pub fn door(folder: &Path, mut settings: Value) -> Self {
        settings["metrics"] = json!(free_address().to_string());
        settings["door"] = json!({
            "callers": free_address().to_string(), "readiness": free_address().to_string(),
            "directory": free_address().to_string(),
        });
        Self::start_new(folder, settings)
    }

    fn start_new(folder: &Path, mut settings: Value) -> Self {
        fs::create_dir_all(folder).expect("the test's folder can be made");
        let mesh = free_address();
        settings["mesh"] = json!(mesh.to_string());
        let name = settings["instance"]["name"].as_str().expect("a name").to_owned();
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let address = |field: &str| {
            let text = settings["door"][field].as_str();
            text.map_or(mesh, |text| text.parse().expect("an address"))
        };
        let mut node = Self {
            mesh,
            callers: address("callers"),
            readiness: address("readiness"),
            directory: address("directory"),
            metrics: settings["metrics"].as_str().map(|text| text.parse().expect("an address")),
            settings: path,
            log: folder.join(format!("{name}.log")),
            name,
            child: None,
        };
        node.start();
        node
    }

    /// starts the process, again after it was killed.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let mut command = Command::new(program());
        command.arg("node").arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit());
        self.child = Some(command.spawn().expect("the program starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Already gone is as good as killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// sends a signal to this process alone.
    pub fn signal(&self, name: &str) {
        let pid = self.child.as_ref().expect("the process runs").id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(status.success(), "signal {name} to {pid}");
    }

    /// the most memory that the process has held.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
        kilobytes / 1024
    }

    /// number of the process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("the process runs").id()
    }

    /// whether the process has ended by itself, and with which code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.as_mut()?.try_wait().expect("wait works")?;
        Some(status.code().unwrap_or(-1))
    }

    /// the file of what the process wrote.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// all that the process wrote.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// lines of the process that hold a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        self.log_text().lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    pub fn get_readiness(&self) -> u16 {
        client::get(self.readiness, "/readyz").status
    }

    /// value of a counter of the process; 0 before it was first counted.
    pub fn metric(&self, name: &str) -> u64 {
        let text = client::get(self.metrics.expect("the process serves metrics"), "/metrics").body;
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.trim().parse().expect("a whole number"))
    }

    /// doors that the directory names.
    pub fn resolve(&self) -> Vec<String> {
        let path = format!("/resolve?name={HOST}&region=region&zone=zone-a");
        let body = client::get(self.directory, &path).body;
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let addresses = value["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    pub fn send(&self, ask: &ClientRequest) -> Answer {
        client::send(self.callers, ask)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
