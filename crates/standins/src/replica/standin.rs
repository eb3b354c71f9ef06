use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use flamingo_edge::Spawner;
use serde_json::Value;
use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use super::ReplicaFault;
use super::answer::Parts;
use super::answer::answer;
use crate::host::Host;

/// start of the replica's first process in Unix milliseconds; each further start is a millisecond later.
const FIRST_START_UNIX_MS: u64 = 1_700_000_000_000;

/// settings of a replica stand-in.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// id under which its first process is listed.
    pub id: String,
    /// service that it belongs to.
    pub service: String,
    /// availability zone.
    pub zone: String,
    /// events of a stream; 0 for answers that come whole.
    pub events: usize,
    /// time of each event, or of a whole answer.
    pub step_ms: u64,
    /// version of its software.
    pub version: String,
}

/// a request that a replica ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// id of the request.
    pub request: String,
    /// path and query.
    pub target: String,
    /// headers, by name.
    pub headers: Vec<(String, String)>,
    /// body.
    pub body: String,
    /// version of the software that ran it.
    pub version: String,
    /// events that it sent.
    pub events: usize,
    /// time that the replica was given.
    pub left_ms: Option<u64>,
    /// whether its stream was handed over whole.
    pub is_whole: bool,
    /// whether its caller left before it was answered.
    pub is_cancelled: bool,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub fault: ReplicaFault,
    pub runs: Vec<Run>,
    /// requests that reached it, whatever became of them.
    pub asked: usize,
    /// when each of them reached it.
    pub asked_at: Vec<Instant>,
    /// what it names in its answers as the requests a second that it takes.
    pub limit: Option<String>,
    /// whether it says in its answers that it leaves.
    pub is_leaving: bool,
    /// whether it has ended and was not started again.
    pub is_down: bool,
    /// times that a request ended it.
    pub ends: usize,
    /// id of the current process.
    pub id: String,
    /// version of its software.
    pub version: String,
    pub restarts: u64,
}

impl State {
    /// start of the current process in Unix milliseconds.
    pub fn started_unix_ms(&self) -> u64 {
        FIRST_START_UNIX_MS + self.restarts
    }
}

/// the listening socket, shared with the requests that may end the replica.
pub(super) type HostSlot = Mutex<Option<Host>>;

/// a replica over HTTP.
#[derive(Clone, Debug)]
pub struct ReplicaStandin {
    options: Arc<ReplicaOptions>,
    state: Arc<Mutex<State>>,
    host: Arc<HostSlot>,
    /// keeps the port from being taken while the replica is down.
    _reservation: Arc<Socket>,
    address: SocketAddr,
}

/// a free port, bound by a socket that does not listen; a listener may be bound to it beside.
fn reserve_port() -> Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).context("creating a socket")?;
    socket.set_reuse_address(true).context("allowing a listener on the same port")?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).context("binding a free port")?;
    let address = socket.local_addr().context("reading the address")?;
    Ok((socket, address.as_socket().context("the address is none of IPv4")?))
}

impl ReplicaStandin {
    /// starts a replica on a free port.
    pub fn start(spawner: &Spawner, options: ReplicaOptions) -> Result<Self> {
        let state = State { id: options.id.clone(), version: options.version.clone(), ..State::default() };
        let (reservation, address) = reserve_port()?;
        let replica = Self {
            options: Arc::new(options),
            state: Arc::new(Mutex::new(state)),
            host: Arc::default(),
            _reservation: Arc::new(reservation),
            address,
        };
        replica.listen(spawner)?;
        Ok(replica)
    }

    fn listen(&self, spawner: &Spawner) -> Result<()> {
        let parts = Parts {
            tasks: spawner.clone(),
            options: Arc::clone(&self.options),
            state: Arc::clone(&self.state),
            host: Arc::downgrade(&self.host),
        };
        let host = Host::start(spawner, self.address, move |incoming| answer(parts.clone(), incoming))?;
        *self.host.lock().expect("host lock poisoned") = Some(host);
        Ok(())
    }

    /// starts again under the same id and address if it has ended; `false` if it runs.
    pub fn restart(&self, spawner: &Spawner) -> Result<bool> {
        if !lock(&self.state).is_down {
            return Ok(false);
        }
        self.listen(spawner)?;
        let mut state = lock(&self.state);
        state.is_down = false;
        state.restarts += 1;
        Ok(true)
    }

    /// starts again under a new id at the same address if it has ended; returns the id of the process before.
    pub fn restart_as(&self, spawner: &Spawner, id: &str) -> Result<Option<String>> {
        if !self.is_down() {
            return Ok(None);
        }
        let previous = std::mem::replace(&mut lock(&self.state).id, id.to_owned());
        self.restart(spawner)?;
        Ok(Some(previous))
    }

    /// times that a request ended the replica.
    pub fn ends(&self) -> usize {
        lock(&self.state).ends
    }

    /// what the replica says of itself in the platform's list.
    pub fn entry(&self, state: &str) -> Value {
        let (version, born) = {
            let state = lock(&self.state);
            (state.version.clone(), state.started_unix_ms())
        };
        json!({
            "service": self.options.service, "address": self.address.to_string(),
            "zone": self.options.zone, "version": version, "slots": 6, "state": state,
            "cold_remaining_ms": 0, "seq": 1, "born": born,
        })
    }

    /// service that it belongs to.
    pub fn service(&self) -> &str {
        &self.options.service
    }

    /// address that it listens on while it runs.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// id under which it is listed.
    pub fn id(&self) -> String {
        lock(&self.state).id.clone()
    }

    /// whether it has ended and was not started again.
    pub fn is_down(&self) -> bool {
        lock(&self.state).is_down
    }

    /// treats requests in this way from now on.
    pub fn set_fault(&self, fault: ReplicaFault) {
        lock(&self.state).fault = fault;
    }

    /// requests that reached it, whatever became of them.
    pub fn asked(&self) -> usize {
        lock(&self.state).asked
    }

    /// when each request reached it.
    pub fn asked_at(&self) -> Vec<Instant> {
        lock(&self.state).asked_at.clone()
    }

    /// names this limit in all answers from now on, or none.
    pub fn set_limit(&self, limit: Option<&str>) {
        lock(&self.state).limit = limit.map(str::to_owned);
    }

    /// says in all answers from now on that it leaves; its entry stays as it is.
    pub fn leave(&self) {
        lock(&self.state).is_leaving = true;
    }

    /// is another start of the process from now on, which does not leave.
    pub fn start_anew(&self) {
        let mut state = lock(&self.state);
        state.is_leaving = false;
        state.restarts += 1;
    }

    /// is another start of the process from now on, with another version of its software.
    pub fn upgrade(&self, version: &str) {
        let mut state = lock(&self.state);
        version.clone_into(&mut state.version);
        state.restarts += 1;
    }

    /// requests that it ran, the oldest first.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// stops listening, as if the process had died.
    pub fn die(&self) {
        // Dropping the host closes its socket.
        self.host.lock().expect("host lock poisoned").take();
    }
}

pub(super) fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("replica lock poisoned")
}
