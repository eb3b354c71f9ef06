use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use async_channel::Receiver;
use async_channel::Sender;
use flamingo_edge::Spawner;
use flamingo_edge::TokenBucket;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::InstanceRow;
use super::PlatformFaults;
use super::Store;
use super::instances::LaggingList;
use super::routes;
use crate::Seeded;
use crate::host::Host;

/// revisions whose time is remembered for stale reads.
const MAX_REVISION_MARKS: usize = 65_536;

/// settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// writes a second that are taken.
    pub writes_per_s: f64,
    /// reads a second that are taken; a waiting watch counts as one.
    pub reads_per_s: f64,
    /// how long a change of the list of instances stays unseen.
    pub instance_lag_ms: u64,
    /// changes kept for watches.
    pub log_changes: usize,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            writes_per_s: 400.0,
            reads_per_s: 2_000.0,
            instance_lag_ms: 0,
            log_changes: 4_096,
        }
    }
}

/// calls received so far, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallCounts {
    /// reads of one object.
    pub get: u64,
    /// lists.
    pub list: u64,
    /// creates.
    pub create: u64,
    /// updates.
    pub update: u64,
    /// deletes.
    pub delete: u64,
    /// watches.
    pub watch: u64,
    /// reads of the list of instances.
    pub instances: u64,
    /// calls of all kinds.
    pub total: u64,
    /// calls refused for their rate, counted above as well.
    pub rate_limited: u64,
    /// replies lost on purpose.
    pub replies_lost: u64,
}

pub(super) struct State {
    pub(super) store: Store,
    /// status of named objects, by key.
    pub(super) statuses: BTreeMap<String, Value>,
    pub(super) faults: PlatformFaults,
    pub(super) counts: CallCounts,
    pub(super) instances: LaggingList,
    pub(super) lost: Seeded,
    write_budget: TokenBucket,
    read_budget: TokenBucket,
    marks: VecDeque<(Duration, u64)>,
    waiting: Vec<Sender<()>>,
}

/// the state of a platform stand-in, shared by its connections.
pub(super) struct Shared {
    state: Mutex<State>,
    started_at: Instant,
}

impl fmt::Debug for Shared {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Shared").finish_non_exhaustive()
    }
}

impl Shared {
    fn new(options: &PlatformOptions) -> Self {
        let state = State {
            store: Store::new(options.log_changes),
            statuses: BTreeMap::new(),
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            instances: LaggingList::new(Duration::from_millis(options.instance_lag_ms)),
            lost: Seeded::default(),
            write_budget: TokenBucket::new(options.writes_per_s, options.writes_per_s / 2.0),
            read_budget: TokenBucket::new(options.reads_per_s, options.reads_per_s / 2.0),
            marks: VecDeque::new(),
            waiting: Vec::new(),
        };
        Self { state: Mutex::new(state), started_at: Instant::now() }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("platform lock poisoned")
    }

    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

impl State {
    pub(super) fn take_write(&mut self, now: Duration) -> Result<(), Duration> {
        self.write_budget.take(now, 1.0)
    }

    pub(super) fn take_read(&mut self, now: Duration) -> Result<(), Duration> {
        self.read_budget.take(now, 1.0)
    }

    /// wakes the watches after a write.
    pub(super) fn written(&mut self, now: Duration) {
        self.marks.push_back((now, self.store.revision()));
        if self.marks.len() > MAX_REVISION_MARKS {
            self.marks.pop_front();
        }
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        for waiting in self.waiting.drain(..) {
            let _ = waiting.try_send(());
        }
    }

    pub(super) fn wait_for_write(&mut self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.retain(|waiting| !waiting.is_closed());
        self.waiting.push(sender);
        receiver
    }

    /// the revision that reads show while answers come from the past.
    pub(super) fn stale_revision(&self, now: Duration) -> Option<u64> {
        let stale = self.faults.stale_reads;
        if stale.revisions == 0 && stale.age_ms == 0 {
            return None;
        }
        let mut revision = self.store.revision();
        if stale.age_ms > 0 {
            let then = now.saturating_sub(Duration::from_millis(stale.age_ms));
            let seen = self.marks.iter().rev().find(|(at, _)| *at <= then);
            revision = seen.map_or(0, |(_, revision)| *revision);
        }
        Some(revision.saturating_sub(stale.revisions))
    }

    pub(super) fn set_faults(&mut self, faults: PlatformFaults) {
        self.lost = Seeded::new(faults.lost_replies.seed);
        self.faults = faults;
        // An outage ends the watches that wait.
        self.wake_watches();
    }

    /// tells whether the reply of this write is lost.
    pub(super) fn loses_reply(&mut self) -> bool {
        if self.faults.lost_replies.next > 0 {
            self.faults.lost_replies.next -= 1;
            self.counts.replies_lost += 1;
            return true;
        }
        let probability = self.faults.lost_replies.probability;
        let lost = probability > 0.0 && self.lost.chance(probability);
        self.counts.replies_lost += u64::from(lost);
        lost
    }
}

/// a platform stand-in that listens.
#[derive(Debug)]
pub struct PlatformStandin {
    host: Host,
    control: PlatformControl,
}

impl PlatformStandin {
    /// starts a platform stand-in.
    pub fn start(spawner: &Spawner, options: PlatformOptions) -> Result<Self> {
        let shared = Arc::new(Shared::new(&options));
        let control = PlatformControl { shared: Arc::clone(&shared) };
        let host = Host::start(spawner, options.listen, move |incoming| {
            let shared = Arc::clone(&shared);
            async move { routes::answer(&shared, incoming).await }
        })?;
        Ok(Self { host, control })
    }

    /// the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// the controls for scripts in this process.
    pub fn control(&self) -> &PlatformControl {
        &self.control
    }

    /// stops listening, so that connections are refused.
    pub fn close(&self) {
        self.host.close();
    }
}

/// scripted changes to a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformControl {
    shared: Arc<Shared>,
}

impl PlatformControl {
    /// puts these faults in force in place of the earlier ones.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().set_faults(faults);
    }

    /// the faults in force.
    pub fn faults(&self) -> PlatformFaults {
        self.shared.lock().faults.clone()
    }

    /// replaces the list of instances; callers see it after the lag.
    pub fn set_instances(&self, rows: Vec<InstanceRow>) {
        let now = self.shared.now();
        self.shared.lock().instances.set(now, rows);
    }

    /// the newest list of instances, without the lag.
    pub fn instances(&self) -> Vec<InstanceRow> {
        self.shared.lock().instances.newest().to_vec()
    }

    /// changes the lag of the list of instances.
    pub fn set_instance_lag(&self, lag: Duration) {
        self.shared.lock().instances.set_lag(lag);
    }

    /// calls received so far.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts
    }

    /// gives every waiting and later watch from an older revision a gap.
    pub fn force_watch_gap(&self) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.store.compact();
        state.written(now);
    }

    /// reads or changes the store, uncounted.
    pub fn with_store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let before = state.store.revision();
        let result = work(&mut state.store);
        if state.store.revision() != before {
            state.written(now);
        }
        result
    }
}
