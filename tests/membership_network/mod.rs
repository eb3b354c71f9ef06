//! seeded simulation of membership over a lossy network, in simulated time.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flamingostand::ids::Incarnation;
use flamingostand::member::Member;
use flamingostand::member::MemberView;
use flamingostand::membership::Membership;
use flamingostand::membership::MembershipAction;
use flamingostand::membership::MembershipInput;
use flamingostand::membership::wire_bytes;
use flamingostand::platform::InstanceKind;
use flamingostand::platform::ListedInstance;
use flamingostand::platform::ListedState;
use flamingostand::schema::Datagram;
use flamingostand::schema::DatagramBody;
use flamingostand::schema::DatagramSender;
use flamingostand::schema::MemberHealth;
use flamingostand::schema::MemberRecord;
use flamingostand::schema::MembershipSettings;
use flamingostand::schema::News;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const TICK_MS: u64 = 20;

pub struct Node {
    pub membership: Membership,
    pub view: Arc<MemberView>,
    /// views published since the start.
    pub view_count: u64,
    pub sent_bytes: u64,
    pub sent_count: u64,
    /// highest number of bytes sent within one second of the clock.
    pub peak_second_bytes: u64,
    /// current second, and the bytes sent in it.
    second: (u64, u64),
    index: usize,
    frozen_until_ms: u64,
    /// datagrams that arrived during a freeze.
    inbox: Vec<(SocketAddr, Box<Datagram>)>,
}

pub struct Network {
    pub now_ms: u64,
    pub nodes: BTreeMap<usize, Node>,
    /// directed links that drop all datagrams, as pairs of sender and receiver.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    /// each death that an instance saw: time, index of the observer, name of the dead member.
    pub deaths: Vec<(u64, usize, String)>,
    /// real time spent in `Membership::handle`.
    pub handle_time: Duration,
    /// largest datagram sent, headers included.
    pub largest_bytes: u64,
    in_flight: BTreeMap<(u64, u64), (usize, usize, Box<Datagram>)>,
    random: StdRng,
    sent_count: u64,
    start_count: u64,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7000))
}

fn record(incarnation: &Incarnation, index: usize) -> MemberRecord {
    MemberRecord {
        name: name(index),
        incarnation: incarnation.as_str().into(),
        refutation: 0,
        health: MemberHealth::Alive,
        leaving: false,
        region: "ljubljana".into(),
        zone: format!("ljubljana-{}", index % 3),
        mesh: address(index).to_string(),
        callers: address(index).to_string(),
        release_version: 1,
    }
}

pub fn name(index: usize) -> String {
    format!("entry-{index:04}")
}

impl Network {
    /// starts `count` instances that find each other through the platform's list.
    pub fn start(count: usize, seed: u64) -> Self {
        let mut network = Self::empty(seed);
        for index in 0..count {
            network.add(index);
        }
        network.send_list_to_all(0..count);
        network
    }

    /// starts `count` instances that have each other's records from the start.
    pub fn start_known(count: usize, seed: u64) -> Self {
        let mut network = Self::empty(seed);
        for index in 0..count {
            network.add(index);
        }
        let records: Vec<MemberRecord> =
            network.nodes.values().map(|node| record(&node.view.own_incarnation, node.index)).collect();
        for index in 0..count {
            let sender = &records[(index + 1) % count];
            let datagram = Datagram {
                cluster: "test".into(),
                sender: DatagramSender {
                    name: sender.name.clone(),
                    incarnation: sender.incarnation.clone(),
                    refutation: 0,
                    release_version: 1,
                },
                body: DatagramBody::News(News { urgent: false }),
                view_digest: 0,
                records: records.clone(),
            };
            let from = sender.mesh.parse().unwrap();
            network.input(index, MembershipInput::Datagram { from, datagram: Box::new(datagram) });
        }
        network
    }

    pub fn empty(seed: u64) -> Self {
        Self {
            now_ms: 0,
            nodes: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            deaths: Vec::new(),
            handle_time: Duration::ZERO,
            largest_bytes: 0,
            in_flight: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            sent_count: 0,
            start_count: 0,
        }
    }

    /// starts or restarts an instance with the default settings.
    pub fn add(&mut self, index: usize) {
        let settings: MembershipSettings = serde_json::from_str("{}").unwrap();
        self.add_with_settings(index, &settings);
    }

    pub fn add_with_settings(&mut self, index: usize, settings: &MembershipSettings) {
        self.start_count += 1;
        let incarnation = Incarnation::from(format!("{:032x}", self.start_count).as_str());
        let member = Member {
            name: name(index),
            incarnation: incarnation.clone(),
            health: MemberHealth::Alive,
            leaving: false,
            region: "ljubljana".into(),
            zone: format!("ljubljana-{}", index % 3),
            mesh: address(index),
            callers: address(index),
            release_version: 1,
        };
        let seed = self.random.random();
        let membership = Membership::new(settings, "test", member, seed);
        let view = Arc::new(MemberView { own_incarnation: incarnation, members: Vec::new(), changed_ms: 0 });
        let node = Node {
            membership,
            view,
            view_count: 0,
            sent_bytes: 0,
            sent_count: 0,
            peak_second_bytes: 0,
            second: (0, 0),
            index,
            frozen_until_ms: 0,
            inbox: Vec::new(),
        };
        self.nodes.insert(index, node);
    }

    pub fn send_list_to_all(&mut self, indices: impl Iterator<Item = usize> + Clone) {
        for index in indices.clone() {
            self.send_list(index, indices.clone());
        }
    }

    pub fn send_list(&mut self, index: usize, listed: impl Iterator<Item = usize>) {
        let list = listed.map(|other| ListedInstance {
            name: name(other),
            kind: InstanceKind::Entry,
            serves: String::new(),
            address: address(other),
            zone: "ljubljana-0".into(),
            state: ListedState::Live,
        });
        let list = list.collect();
        self.input(index, MembershipInput::InstanceList(list));
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes.remove(&index);
    }

    pub fn freeze(&mut self, index: usize, for_ms: u64) {
        self.nodes.get_mut(&index).unwrap().frozen_until_ms = self.now_ms + for_ms;
    }

    /// blocks all links between two groups, in both directions.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for a in left {
            for b in right {
                self.blocked_links.insert((*a, *b));
                self.blocked_links.insert((*b, *a));
            }
        }
    }

    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.step();
        }
    }

    /// runs until `done` holds and returns the time that it took, or `None` after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + limit_ms {
            if done(self) {
                return Some(self.now_ms - start_ms);
            }
            self.step();
        }
        None
    }

    pub fn input(&mut self, index: usize, input: MembershipInput) {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(&index).unwrap();
        let before = Instant::now();
        let actions = node.membership.handle(now_ms, input);
        self.handle_time += before.elapsed();
        self.act(index, actions);
    }

    /// health of `subject` in the view of `observer`.
    pub fn health(&self, observer: usize, subject: usize) -> Option<MemberHealth> {
        let subject = name(subject);
        let members = &self.nodes[&observer].view.members;
        members.iter().find(|member| member.name == subject).map(|member| member.health)
    }

    /// whether all `observers` see `subject` in this health.
    pub fn all_see(&self, observers: &[usize], subject: usize, health: MemberHealth) -> bool {
        observers.iter().all(|observer| self.health(*observer, subject) == Some(health))
    }

    /// resets the counters of bytes, datagrams and time.
    pub fn reset_counters(&mut self) {
        self.handle_time = Duration::ZERO;
        for node in self.nodes.values_mut() {
            node.sent_bytes = 0;
            node.sent_count = 0;
            node.peak_second_bytes = 0;
        }
    }

    /// whether each running instance sees exactly the running instances, all of them alive.
    pub fn converged(&self) -> bool {
        let running: Vec<String> = self.nodes.keys().map(|index| name(*index)).collect();
        self.nodes.values().all(|node| {
            let members = node.view.members.iter().filter(|member| !member.is_gone());
            let alive = members.clone().all(|member| member.health == MemberHealth::Alive);
            alive && members.map(|member| &member.name).eq(&running)
        })
    }

    fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (from, to, datagram) = entry.remove();
            self.deliver(from, to, datagram);
        }
        let phase = self.now_ms % TICK_MS;
        let ticking: Vec<usize> =
            self.nodes.keys().copied().filter(|index| *index as u64 % TICK_MS == phase).collect();
        for index in ticking {
            self.tick(index);
        }
    }

    fn tick(&mut self, index: usize) {
        let node = self.nodes.get_mut(&index).unwrap();
        if self.now_ms < node.frozen_until_ms {
            return;
        }
        for (from, datagram) in std::mem::take(&mut node.inbox) {
            self.input(index, MembershipInput::Datagram { from, datagram });
        }
        self.input(index, MembershipInput::Tick);
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: Box<Datagram>) {
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        let from = address(from);
        if self.now_ms < node.frozen_until_ms {
            // A full socket buffer drops the datagrams that arrive later.
            if node.inbox.len() < 200 {
                node.inbox.push((from, datagram));
            }
            return;
        }
        self.input(to, MembershipInput::Datagram { from, datagram });
    }

    fn act(&mut self, index: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, datagram } => self.send(index, to, datagram),
                MembershipAction::PublishView(view) => self.on_view(index, view),
            }
        }
    }

    fn on_view(&mut self, index: usize, view: Arc<MemberView>) {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(&index).unwrap();
        for member in &view.members {
            let was = node.view.members.iter().find(|old| old.name == member.name).map(|old| old.health);
            if member.health == MemberHealth::Dead && was != Some(MemberHealth::Dead) {
                self.deaths.push((now_ms, index, member.name.clone()));
            }
        }
        node.view = view;
        node.view_count += 1;
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Box<Datagram>) {
        let bytes = wire_bytes(&datagram) as u64;
        self.largest_bytes = self.largest_bytes.max(bytes);
        let second = self.now_ms / 1000;
        let node = self.nodes.get_mut(&from).unwrap();
        node.sent_bytes += bytes;
        node.sent_count += 1;
        if node.second.0 != second {
            node.second = (second, 0);
        }
        node.second.1 += bytes;
        node.peak_second_bytes = node.peak_second_bytes.max(node.second.1);
        let SocketAddr::V4(to) = to else {
            return;
        };
        let octets = to.ip().octets();
        let to = usize::from(octets[2]) * 200 + usize::from(octets[3]) - 1;
        let lost = self.random.random_range(0..100) < self.loss_percent;
        if lost || self.blocked_links.contains(&(from, to)) {
            return;
        }
        self.sent_count += 1;
        let arrives_ms = self.now_ms + self.random.random_range(1..=3);
        self.in_flight.insert((arrives_ms, self.sent_count), (from, to, datagram));
    }
}
