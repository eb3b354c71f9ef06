use std::sync::Arc;

use crate::config::Configuration;
use crate::ids::Incarnation;
use crate::member::MemberView;
use crate::platform::PlatformResult;
use crate::release::ReleaseAction;
use crate::release::ReleaseInput;
use crate::release::ReleaseLog;
use crate::release::acceptor::Acceptor;
use crate::release::compactor::Compactor;
use crate::release::core::Core;
use crate::release::peers::Peers;
use crate::release::reader::Reader;
use crate::release::watcher::Watcher;
use crate::schema::AcceptedRelease;

/// how long one watch waits, unless the settings say otherwise.
const WATCH_MS: u64 = 20_000;

/// how long a fresh instance that knows of no peers waits for some to show up.
const ALONE_WAIT_MS: u64 = 300;

/// how long a fresh instance waits for its peers to answer.
const PEER_WAIT_MS: u64 = 1_000;

/// peers that a fresh instance wants to hear from.
const ASKED_PEERS: usize = 3;

/// time without any input after which this process must have been paused.
const PAUSE_MS: u64 = 2_000;

/// owns the configuration in force of this instance, which only grows in version.
#[derive(Debug)]
pub struct Releases {
    core: Core,
    reader: Reader,
    watcher: Watcher,
    peers: Peers,
    acceptor: Acceptor,
    compactor: Compactor,
    start_ms: Option<u64>,
    serving: bool,
    announced_version: Option<u64>,
}

impl Releases {
    /// knows nothing yet.
    pub fn new(me: Incarnation) -> Self {
        Self {
            core: Core::new(me),
            reader: Reader::new(),
            watcher: Watcher::new(WATCH_MS),
            peers: Peers::default(),
            acceptor: Acceptor::default(),
            compactor: Compactor::new(),
            start_ms: None,
            serving: false,
            announced_version: None,
        }
    }

    /// sets how long one watch waits.
    #[must_use]
    pub fn with_watch_ms(mut self, watch_ms: u64) -> Self {
        self.watcher = Watcher::new(watch_ms);
        self
    }

    /// takes one input and returns what is to be done.
    pub fn handle(&mut self, now_ms: u64, input: ReleaseInput) -> Vec<ReleaseAction> {
        self.move_clock(now_ms);
        match input {
            ReleaseInput::Platform { call, result } => self.on_platform(call, result),
            ReleaseInput::Accept { ticket, note, operator, unix_ms } => {
                self.acceptor.submit(&mut self.core, ticket, note, operator, unix_ms, self.serving);
            }
            ReleaseInput::Pull { peer, pull } => {
                self.peers.on_pull(&mut self.core, peer, &pull, self.serving);
            }
            ReleaseInput::Push { peer, push } => {
                self.peers.on_push(&mut self.core, &mut self.reader, peer, *push, self.serving);
            }
            ReleaseInput::Members(view) => self.on_members(view),
            ReleaseInput::Tick => {}
        }
        self.acceptor.tick(&mut self.core);
        self.reader.tick(&mut self.core);
        self.watcher.tick(&mut self.core, &mut self.reader);
        self.peers.tick(&mut self.core, &mut self.reader, self.serving);
        self.compactor.tick(&mut self.core, &self.reader);
        self.serve();
        self.announce();
        std::mem::take(&mut self.core.out)
    }

    /// all accepted releases known here.
    pub fn log(&self) -> &ReleaseLog {
        &self.core.log
    }

    /// tells whether a configuration is in force here.
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    /// the newest configuration known here; `None` before one is in force.
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.serving.then(|| self.core.log.configuration())
    }

    /// latest releases, newest first.
    pub fn history(&self, limit: usize) -> Vec<Arc<AcceptedRelease>> {
        self.core.log.latest(limit)
    }

    fn move_clock(&mut self, now_ms: u64) {
        let start_ms = *self.start_ms.get_or_insert(now_ms);
        let paused = now_ms > self.core.now_ms + PAUSE_MS && now_ms > start_ms;
        self.core.now_ms = self.core.now_ms.max(now_ms);
        if paused {
            self.reader.hurry(&self.core);
        }
    }

    fn on_platform(&mut self, call: u64, result: PlatformResult) {
        if self.reader.owns(call) {
            self.reader.on_result(&mut self.core, result);
        } else if self.watcher.owns(call) {
            self.watcher.on_result(&mut self.core, &mut self.reader, result);
        } else if self.acceptor.owns(call) {
            self.acceptor.on_result(&mut self.core, &mut self.reader, result);
        } else if self.compactor.owns(call) {
            self.compactor.on_result(&mut self.core, &mut self.reader, result);
        }
    }

    fn on_members(&mut self, view: Arc<MemberView>) {
        self.core.set_view(view);
        self.peers.on_members(self.serving);
    }

    /// decides whether what is known here is current enough to start with.
    fn serve(&mut self) {
        if self.serving || self.core.is_behind() {
            return;
        }
        let waited_ms = self.core.now_ms - self.start_ms.unwrap_or(self.core.now_ms);
        let asked_count = self.core.peers().len().min(ASKED_PEERS);
        let heard = !self.peers.heard.is_empty();
        let all_answered = asked_count > 0 && self.peers.answered.len() >= asked_count;
        let patience_ms = if asked_count == 0 { ALONE_WAIT_MS } else { PEER_WAIT_MS };
        let enough = if self.reader.loaded {
            heard || all_answered || waited_ms >= patience_ms
        } else {
            // Peers alone decide only while the platform fails.
            self.reader.failing && heard && (all_answered || waited_ms >= patience_ms)
        };
        self.serving = enough;
    }

    /// puts the newest version in force and forwards its release.
    fn announce(&mut self) {
        if !self.serving {
            return;
        }
        let version = self.core.version();
        let fresh = std::mem::take(&mut self.core.fresh);
        if self.announced_version == Some(version) {
            return;
        }
        let first = self.announced_version.replace(version).is_none();
        metrics::gauge!("release_in_force_version").set(version as f64);
        let configuration = Arc::clone(self.core.log.configuration());
        self.core.out.push(ReleaseAction::InForce(configuration));
        if !first {
            self.peers.forward(&mut self.core, fresh);
        }
    }
}
