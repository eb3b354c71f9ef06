use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;

use anyhow::Result;
use flamingo_edge::Spawner;
use serde_json::Value;

use super::ServiceFaults;
use super::routes;
use crate::Seeded;
use crate::host::Host;

/// settings of a plain service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// whether it answers look-ups by key.
    pub finds_by_key: bool,
    /// text of a body that kills the service when the call runs.
    pub crash_marker: String,
    /// whether a crash ends the process; otherwise only the stand-in stops serving.
    pub exits_on_crash: bool,
    /// added to each call before it runs.
    pub latency_ms: u64,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            finds_by_key: true,
            crash_marker: "[[crash]]".to_owned(),
            exits_on_crash: false,
            latency_ms: 0,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) faults: ServiceFaults,
    pub(super) chaos: Seeded,
    pub(super) runs: BTreeMap<String, u64>,
    pub(super) answers: BTreeMap<String, (u16, Value)>,
    /// keys that a look-up reported as not run; they must not run later.
    pub(super) barred: BTreeSet<String>,
    pub(super) dead: bool,
}

impl State {
    pub(super) fn set_faults(&mut self, faults: ServiceFaults) {
        self.chaos = Seeded::new(faults.chaos_seed);
        self.faults = faults;
    }

    /// runs a call and returns its answer; a key that ran before runs again and is counted again.
    pub(super) fn run(&mut self, key: &str, path: &str, body: &Value) -> (u16, Value) {
        let runs = self.runs.entry(key.to_owned()).or_insert(0);
        *runs += 1;
        let answer =
            serde_json::json!({ "ok": true, "key": key, "path": path, "run": *runs, "received": body });
        self.answers.insert(key.to_owned(), (200, answer.clone()));
        (200, answer)
    }
}

/// what a service's connections share.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    pub(super) options: ServiceOptions,
    host: OnceLock<Host>,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("service lock poisoned")
    }

    /// stops serving: later connections are refused.
    pub(super) fn die(&self) {
        if self.options.exits_on_crash {
            std::process::exit(1);
        }
        self.stop();
    }

    fn stop(&self) {
        self.lock().dead = true;
        if let Some(host) = self.host.get() {
            host.close();
        }
    }
}

/// a plain service stand-in that listens until it is dropped.
#[derive(Debug)]
pub struct ServiceStandin {
    address: SocketAddr,
    control: ServiceControl,
}

impl ServiceStandin {
    /// starts a plain service stand-in.
    pub fn start(spawner: &Spawner, options: ServiceOptions) -> Result<Self> {
        let listen = options.listen;
        let shared = Arc::new(Shared { state: Mutex::default(), options, host: OnceLock::new() });
        let serving = Arc::clone(&shared);
        let host = Host::start(spawner, listen, move |incoming| {
            let shared = Arc::clone(&serving);
            async move { routes::answer(&shared, incoming).await }
        })?;
        let address = host.address();
        let _ = shared.host.set(host);
        Ok(Self { address, control: ServiceControl { shared } })
    }

    /// the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// the controls for scripts in this process.
    pub fn control(&self) -> &ServiceControl {
        &self.control
    }
}

impl Drop for ServiceStandin {
    fn drop(&mut self) {
        self.control.shared.stop();
    }
}

/// scripted changes to a plain service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceControl {
    shared: Arc<Shared>,
}

impl ServiceControl {
    /// puts these faults in force in place of the earlier ones.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.lock().set_faults(faults);
    }

    /// how often each idempotency key ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.lock().runs.clone()
    }

    /// stops the service: later connections are refused.
    pub fn kill(&self) {
        self.shared.die();
    }
}
