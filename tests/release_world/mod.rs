//! several instances' releases over one in-memory platform, in virtual time, repeatable by seed.

#![allow(dead_code)]

pub mod naive;
pub mod store;

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingostand::ids::Incarnation;
use flamingostand::member::Member;
use flamingostand::member::MemberView;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformRequest;
use flamingostand::release::ReleaseAction;
use flamingostand::release::ReleaseAnswer;
use flamingostand::release::ReleaseInput;
use flamingostand::release::Releases;
use flamingostand::schema::MemberHealth;
use flamingostand::schema::ReleaseNote;
use naive::Naive;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::Mode;
use store::Store;

const TICK_MS: u64 = 20;
const GOSSIP_MS: u64 = 250;
/// how long a frozen or dead instance still looks alive.
const SUSPICION_MS: u64 = 1_500;

enum Event {
    Tick,
    Gossip,
    /// a call reaches the platform.
    Arrive {
        node: usize,
        start: u32,
        call: u64,
        request: PlatformRequest,
    },
    /// a watch has waited long enough.
    WatchEnds {
        node: usize,
        start: u32,
        call: u64,
    },
    Input {
        node: usize,
        start: u32,
        input: ReleaseInput,
    },
}

struct Parked {
    node: usize,
    start: u32,
    call: u64,
    request: PlatformRequest,
}

pub struct Node {
    pub name: String,
    pub zone: String,
    pub releases: Releases,
    pub alive: bool,
    pub frozen: bool,
    pub in_force: u64,
    pub served_ms: Option<u64>,
    silent_since_ms: u64,
    /// the newest version in force on a live peer when this instance started.
    floor: u64,
    start: u32,
    held: Vec<ReleaseInput>,
}

impl Node {
    pub fn is_live(&self) -> bool {
        self.alive && !self.frozen
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation::from(format!("{}#{:03}", self.name, self.start).as_str())
    }
}

pub struct World {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub now_ms: u64,
    pub answers: BTreeMap<u64, ReleaseAnswer>,
    /// when each version was in force on each instance.
    pub force_ms: BTreeMap<u64, Vec<u64>>,
    pub naive: Naive,
    /// bytes of CBOR that instances pushed to each other.
    pub pushed_bytes: u64,
    pub pushes: u64,
    events: BTreeMap<(u64, u64), Event>,
    parked: Vec<Parked>,
    sequence: u64,
    next_ticket: u64,
    rng: StdRng,
}

impl World {
    pub fn new(zones: &[&str], per_zone: usize, seed: u64) -> Self {
        let mut world = Self {
            store: Store::new(),
            nodes: Vec::new(),
            now_ms: 0,
            answers: BTreeMap::new(),
            force_ms: BTreeMap::new(),
            naive: Naive::default(),
            pushed_bytes: 0,
            pushes: 0,
            events: BTreeMap::new(),
            parked: Vec::new(),
            sequence: 0,
            next_ticket: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for zone in zones {
            for _ in 0..per_zone {
                world.add(zone);
            }
        }
        world.schedule(0, Event::Gossip);
        world.schedule(0, Event::Tick);
        world
    }

    pub fn add(&mut self, zone: &str) -> usize {
        let name = format!("entry-{}", self.nodes.len() + 1);
        self.nodes.push(Node {
            releases: Releases::new(Incarnation::from(format!("{name}#000").as_str())),
            name,
            zone: zone.to_owned(),
            alive: true,
            frozen: false,
            in_force: 0,
            served_ms: None,
            silent_since_ms: 0,
            floor: 0,
            start: 0,
            held: Vec::new(),
        });
        self.nodes.len() - 1
    }

    pub fn node(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| node.name == name).expect("no such instance")
    }

    pub fn kill(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[node];
        node.alive = false;
        node.silent_since_ms = now_ms;
        node.held.clear();
    }

    pub fn restart(&mut self, node: usize) {
        let peers = self.nodes.iter().enumerate().filter(|(index, peer)| *index != node && peer.is_live());
        let floor = peers.map(|(_, peer)| peer.in_force).max().unwrap_or(0);
        let node = &mut self.nodes[node];
        node.floor = floor;
        node.start += 1;
        node.releases = Releases::new(node.incarnation());
        node.alive = true;
        node.frozen = false;
        node.in_force = 0;
        node.served_ms = None;
        node.held.clear();
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
        self.nodes[node].silent_since_ms = self.now_ms;
    }

    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        for input in std::mem::take(&mut self.nodes[node].held) {
            self.feed(node, input);
        }
    }

    pub fn accept(&mut self, node: usize, operator: &str, note: &ReleaseNote) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let unix_ms = 1_000_000 + self.now_ms;
        let note = Box::new(note.clone());
        self.feed(node, ReleaseInput::Accept { ticket, note, operator: operator.to_owned(), unix_ms });
        ticket
    }

    /// accepts and runs until there is an answer.
    pub fn accept_and_wait(&mut self, node: usize, operator: &str, note: &ReleaseNote) -> ReleaseAnswer {
        let ticket = self.accept(node, operator, note);
        let limit = self.now_ms + 60_000;
        while !self.answers.contains_key(&ticket) && self.now_ms < limit {
            self.run(1);
        }
        self.answers.get(&ticket).cloned().expect("every accept is answered")
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some((&key, _)) = self.events.first_key_value() {
            if key.0 > end_ms {
                break;
            }
            let event = self.events.remove(&key).expect("just seen");
            self.now_ms = key.0;
            self.step(event);
        }
        self.now_ms = end_ms;
    }

    pub fn in_force_count(&self, version: u64) -> usize {
        self.nodes.iter().filter(|node| node.alive && node.in_force == version).count()
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now_ms + delay_ms, self.sequence), event);
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(1..=4)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick => {
                for node in 0..self.nodes.len() {
                    if self.nodes[node].alive && !self.nodes[node].frozen {
                        self.feed(node, ReleaseInput::Tick);
                    }
                }
                self.schedule(TICK_MS, Event::Tick);
            }
            Event::Gossip => {
                for node in 0..self.nodes.len() {
                    let view = self.view_of(node);
                    if self.nodes[node].alive && !self.nodes[node].frozen {
                        self.feed(node, ReleaseInput::Members(Arc::new(view)));
                    }
                }
                self.schedule(GOSSIP_MS, Event::Gossip);
            }
            Event::Arrive { node, start, call, request } => self.arrive(node, start, call, request),
            Event::WatchEnds { node, start, call } => {
                let parked = self
                    .parked
                    .iter()
                    .position(|parked| parked.node == node && parked.start == start && parked.call == call);
                if let Some(index) = parked {
                    let parked = self.parked.remove(index);
                    let result = self.store.answer(&parked.request, true).expect("it has waited");
                    self.deliver(node, start, ReleaseInput::Platform { call, result });
                }
            }
            Event::Input { node, start, input } => {
                if self.nodes[node].alive && self.nodes[node].start == start {
                    self.feed(node, input);
                }
            }
        }
    }

    fn arrive(&mut self, node: usize, start: u32, call: u64, request: PlatformRequest) {
        match self.store.answer(&request, false) {
            Some(result) => self.deliver(node, start, ReleaseInput::Platform { call, result }),
            None => {
                if let PlatformRequest::Watch { wait_ms, .. } = &request {
                    self.schedule(*wait_ms, Event::WatchEnds { node, start, call });
                }
                self.parked.push(Parked { node, start, call, request });
            }
        }
        for parked in std::mem::take(&mut self.parked) {
            match self.store.answer(&parked.request, false) {
                Some(result) => {
                    let input = ReleaseInput::Platform { call: parked.call, result };
                    self.deliver(parked.node, parked.start, input);
                }
                None => self.parked.push(parked),
            }
        }
    }

    fn deliver(&mut self, node: usize, start: u32, input: ReleaseInput) {
        let delay_ms = self.latency();
        self.schedule(delay_ms, Event::Input { node, start, input });
    }

    fn view_of(&self, me: usize) -> MemberView {
        let mut members = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let silent = !node.alive || node.frozen;
            let dead = silent && index != me && self.now_ms > node.silent_since_ms + SUSPICION_MS;
            members.push(Member {
                name: node.name.clone(),
                incarnation: node.incarnation(),
                health: if dead { MemberHealth::Dead } else { MemberHealth::Alive },
                leaving: false,
                region: "region".to_owned(),
                zone: node.zone.clone(),
                mesh: "127.0.0.1:1".parse().expect("an address"),
                callers: "127.0.0.1:1".parse().expect("an address"),
                release_version: node.in_force,
            });
        }
        MemberView { own_incarnation: self.nodes[me].incarnation(), members, changed_ms: self.now_ms }
    }

    fn feed(&mut self, node: usize, input: ReleaseInput) {
        if self.nodes[node].frozen {
            self.nodes[node].held.push(input);
            return;
        }
        let actions = self.nodes[node].releases.handle(self.now_ms, input);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: ReleaseAction) {
        let start = self.nodes[node].start;
        match action {
            ReleaseAction::Platform { call, request } => {
                self.store.count(&request);
                if self.store.mode == Mode::Down {
                    let result = Err(PlatformError::Unavailable);
                    self.deliver(node, start, ReleaseInput::Platform { call, result });
                    return;
                }
                let delay_ms = self.latency();
                self.schedule(delay_ms, Event::Arrive { node, start, call, request });
            }
            ReleaseAction::Pull { peer, pull } => {
                let own = self.nodes[node].incarnation();
                self.send(&peer, ReleaseInput::Pull { peer: own, pull });
            }
            ReleaseAction::Push { peer, push } => {
                self.pushes += 1;
                let mut bytes = Vec::new();
                ciborium::into_writer(&push, &mut bytes).expect("a push serialises");
                self.pushed_bytes += bytes.len() as u64;
                let own = self.nodes[node].incarnation();
                self.send(&peer, ReleaseInput::Push { peer: own, push });
            }
            ReleaseAction::InForce(configuration) => {
                let before = self.nodes[node].in_force;
                assert!(configuration.version > before || before == 0, "a version reverted");
                assert!(configuration.version >= self.nodes[node].floor, "a fresh instance reverted");
                self.naive.check(&configuration, &self.store.created);
                self.nodes[node].in_force = configuration.version;
                self.nodes[node].served_ms.get_or_insert(self.now_ms);
                self.force_ms.entry(configuration.version).or_default().push(self.now_ms);
            }
            ReleaseAction::Answer { ticket, answer } => {
                let earlier = self.answers.insert(ticket, answer);
                assert!(earlier.is_none(), "an accept was answered twice");
            }
        }
    }

    fn send(&mut self, peer: &Incarnation, input: ReleaseInput) {
        let to = self.nodes.iter().position(|node| node.alive && node.incarnation() == *peer);
        if let Some(to) = to {
            let start = self.nodes[to].start;
            self.deliver(to, start, input);
        }
    }
}
