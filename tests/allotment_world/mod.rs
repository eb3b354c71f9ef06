use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::ops::Range;

use flamingostand::allotment::Admission;
use flamingostand::allotment::AllotmentBounds;
use flamingostand::allotment::AllotmentLedger;
use flamingostand::allotment::AllotmentTerms;
use flamingostand::allotment::DoorAllotments;
use flamingostand::allotment::ProgramStanding;
use flamingostand::allotment::Question;
use flamingostand::schema::AllotmentAsk;
use flamingostand::schema::AllotmentGrant;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const BOUNDS: AllotmentBounds = AllotmentBounds { window_ms: 5_000, overshoot: 0.1, slack: 20 };
const DURATION_MS: u64 = 25_000;
/// when doors take requests, after a start of everything: nodes grant their full part by then.
const TRAFFIC_MS: u64 = 6_000;
const REPORT_INTERVAL_MS: u64 = 250;
const TROUBLE_INTERVAL_MS: u64 = 400;
const ANSWER_TIMEOUT_MS: u64 = 150;
/// time after which all doors know a configuration.
const CONVERGE_MS: u64 = 3_000;
/// time after which a caller that no ledger node could be asked for comes back.
const UNANSWERED_RETRY_MS: u64 = 100;
/// how often a caller is refused before it gives up.
const MAX_REFUSALS: u32 = 3;
const NODES: usize = 5;
/// nodes with those that are no members at first.
const ALL_NODES: usize = 6;
const WORKSPACES: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
pub struct Troubles {
    pub doors_fail: bool,
    pub nodes_restart: bool,
    pub limits_change: bool,
    pub views_change: bool,
}

struct Door {
    allotments: DoorAllotments,
    process: u64,
    frozen_until_ms: u64,
    cut: BTreeSet<usize>,
    version: u64,
    view: usize,
}

struct Node {
    ledger: AllotmentLedger,
    process: u64,
    down_until_ms: u64,
    view: usize,
}

#[derive(Clone)]
struct Request {
    workspace: usize,
    door: usize,
    standing: ProgramStanding,
    /// requests of the program that follow.
    follow: u32,
    /// how often it was refused.
    refusals: u32,
    tried: Vec<String>,
}

enum Event {
    Arrive(Request),
    /// the door decides, if its process is still that one.
    Decide(u64, Request),
    Ask {
        node: usize,
        door: usize,
        epoch: usize,
        ask: AllotmentAsk,
        waiting: Option<u64>,
    },
    Answer {
        waiting: u64,
        grant: Option<AllotmentGrant>,
    },
    Report(usize),
    Trouble,
    LearnTerms {
        door: usize,
        version: u64,
    },
    LearnView {
        door: Option<usize>,
        node: Option<usize>,
        view: usize,
    },
}

struct Waiting {
    process: u64,
    request: Request,
    question: Question,
}

pub struct World {
    random: SmallRng,
    troubles: Troubles,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: BTreeMap<u64, Event>,
    number: u64,
    now_ms: u64,
    duration_ms: u64,
    doors: Vec<Door>,
    nodes: Vec<Node>,
    /// members of each view, by epoch.
    views: Vec<Vec<usize>>,
    waiting: BTreeMap<u64, Waiting>,
    /// terms by version, each with its time.
    versions: Vec<(u64, [AllotmentTerms; WORKSPACES])>,
    /// requests a second that programs ask for, by workspace, as a part of the rate.
    demand: [f64; WORKSPACES],
    follow: u32,
    passed: [Vec<u64>; WORKSPACES],
    /// time and requests to come of each program that began.
    begun: [Vec<(u64, u32)>; WORKSPACES],
    refused: [Vec<(u64, ProgramStanding)>; WORKSPACES],
}

fn name(node: usize) -> String {
    format!("node-{node}")
}

fn workspace(index: usize) -> String {
    format!("workspace-{index}")
}

impl World {
    pub fn new(seed: u64, troubles: Troubles) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let door_count = random.random_range(3..14);
        let demand = [(); WORKSPACES].map(|()| random.random_range(0.2..3.0));
        Self::with(random, troubles, door_count, demand, DURATION_MS)
    }

    /// a calm world in which each workspace asks for a multiple of its allotment, at as many doors as there are
    /// tokens.
    pub fn scarce(seed: u64, multiple: Range<f64>) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let door_count = random.random_range(20..68);
        let demand = [(); WORKSPACES].map(|()| random.random_range(multiple.clone()));
        Self::with(random, Troubles::default(), door_count, demand, DURATION_MS)
    }

    fn with(
        mut random: SmallRng,
        troubles: Troubles,
        door_count: usize,
        demand: [f64; WORKSPACES],
        duration_ms: u64,
    ) -> Self {
        let follow = random.random_range(0..7);
        let mut terms = [AllotmentTerms { version: 1, rate_per_s: 0.0, burst: 0.0 }; WORKSPACES];
        for terms in &mut terms {
            terms.rate_per_s = [1.0, 2.5, 8.0, 40.0][random.random_range(0..4)];
            terms.burst = terms.rate_per_s * random.random_range(0.0..3.0);
        }
        let mut world = Self {
            random,
            troubles,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            number: 0,
            now_ms: 0,
            duration_ms,
            doors: Vec::new(),
            nodes: Vec::new(),
            views: vec![(0..NODES).collect()],
            waiting: BTreeMap::new(),
            versions: vec![(0, terms)],
            demand,
            follow,
            passed: Default::default(),
            begun: Default::default(),
            refused: Default::default(),
        };
        for door in 0..door_count {
            let allotments = DoorAllotments::new(&format!("door-{door}"), BOUNDS);
            let cut = BTreeSet::new();
            world.doors.push(Door { allotments, process: 0, frozen_until_ms: 0, cut, version: 1, view: 0 });
            world.schedule(door as u64 * 7 % REPORT_INTERVAL_MS, Event::Report(door));
        }
        for node in 0..ALL_NODES {
            let ledger = AllotmentLedger::new(BOUNDS, &format!("{node}-0"));
            world.nodes.push(Node { ledger, process: 0, down_until_ms: 0, view: 0 });
            world.set_members(node);
        }
        world.schedule_programs();
        world.schedule(TRAFFIC_MS, Event::Trouble);
        world
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_ms, self.number)));
        self.payloads.insert(self.number, event);
    }

    /// programs come at random, and more at some doors than at others.
    fn schedule_programs(&mut self) {
        for index in 0..WORKSPACES {
            let rate = self.versions[0].1[index].rate_per_s * self.demand[index];
            let programs = rate / f64::from(self.follow + 1);
            let mut at_ms = TRAFFIC_MS as f64;
            loop {
                at_ms += -self.random.random_range(f64::EPSILON..1.0_f64).ln() * 1_000.0 / programs;
                if at_ms as u64 >= self.duration_ms {
                    break;
                }
                let door = self.any_door();
                let request = Request {
                    workspace: index,
                    door,
                    standing: ProgramStanding::New,
                    follow: self.follow,
                    refusals: 0,
                    tried: Vec::new(),
                };
                self.schedule(at_ms as u64, Event::Arrive(request));
            }
        }
    }

    fn any_door(&mut self) -> usize {
        let one = self.random.random_range(0..self.doors.len());
        one.min(self.random.random_range(0..self.doors.len()))
    }

    fn set_members(&mut self, node: usize) {
        let members = &self.views[self.nodes[node].view];
        let count = members.contains(&node).then_some(members.len());
        self.nodes[node].ledger.set_members(self.now_ms, count);
    }

    pub fn play(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.events.pop() {
            if at_ms > self.duration_ms {
                break;
            }
            self.now_ms = at_ms;
            let event = self.payloads.remove(&number).expect("an event has a payload");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                if request.standing == ProgramStanding::New && request.refusals == 0 {
                    self.begun[request.workspace].push((self.now_ms, 1 + request.follow));
                }
                self.schedule(self.now_ms, Event::Decide(self.doors[request.door].process, request));
            }
            Event::Decide(process, request) => self.decide(process, request),
            Event::Ask { node, door, epoch, ask, waiting } => self.ask(node, door, epoch, &ask, waiting),
            Event::Answer { waiting, grant } => self.answer(waiting, grant.as_ref()),
            Event::Report(door) => self.report(door),
            Event::Trouble => self.trouble(),
            Event::LearnTerms { door, version } => {
                let door = &mut self.doors[door];
                door.version = door.version.max(version);
            }
            Event::LearnView { door, node, view } => {
                if let Some(door) = door {
                    self.doors[door].view = self.doors[door].view.max(view);
                }
                if let Some(node) = node {
                    self.nodes[node].view = self.nodes[node].view.max(view);
                    self.set_members(node);
                }
            }
        }
    }

    fn decide(&mut self, process: u64, request: Request) {
        let door = &mut self.doors[request.door];
        if door.process != process {
            return;
        }
        if self.now_ms < door.frozen_until_ms {
            let at_ms = door.frozen_until_ms;
            return self.schedule(at_ms, Event::Decide(process, request));
        }
        let terms = self.versions[door.version as usize - 1].1[request.workspace];
        let members: Vec<String> = self.views[door.view].iter().map(|node| name(*node)).collect();
        let named = workspace(request.workspace);
        let admission =
            door.allotments.admit(self.now_ms, &named, terms, request.standing, &members, &request.tried);
        match admission {
            Admission::Granted(token) => {
                let is_unused = self.random.random_ratio(1, 20);
                match token.filter(|_| is_unused) {
                    Some(token) => {
                        self.doors[request.door].allotments.give_back(self.now_ms, &named, terms, token)
                    }
                    None => self.pass(&request),
                }
            }
            Admission::Ask(question) => {
                let node = question.member.trim_start_matches("node-").parse().expect("a number");
                let (door, epoch, ask) = (request.door, door.view, question.ask.clone());
                self.number += 1;
                let waiting = self.number;
                self.waiting.insert(waiting, Waiting { process, request, question });
                let at_ms = self.now_ms + self.random.random_range(1..8);
                self.schedule(at_ms, Event::Ask { node, door, epoch, ask, waiting: Some(waiting) });
                self.schedule(self.now_ms + ANSWER_TIMEOUT_MS, Event::Answer { waiting, grant: None });
            }
            Admission::Refused { retry_after_ms } => self.refuse(request, retry_after_ms),
            Admission::Unanswered => self.refuse(request, UNANSWERED_RETRY_MS),
        }
    }

    /// a caller comes back when it is told to, a few times.
    fn refuse(&mut self, request: Request, retry_after_ms: u64) {
        self.refused[request.workspace].push((self.now_ms, request.standing));
        if request.refusals < MAX_REFUSALS {
            let again = Request { refusals: request.refusals + 1, tried: Vec::new(), ..request };
            self.schedule(self.now_ms + retry_after_ms, Event::Arrive(again));
        }
    }

    fn pass(&mut self, request: &Request) {
        self.passed[request.workspace].push(self.now_ms);
        if request.follow == 0 {
            return;
        }
        let door = if self.random.random_ratio(3, 4) { request.door } else { self.any_door() };
        let next = Request {
            door,
            standing: ProgramStanding::UnderWay,
            follow: request.follow - 1,
            refusals: 0,
            tried: Vec::new(),
            ..request.clone()
        };
        let at_ms = self.now_ms + self.random.random_range(100..900);
        self.schedule(at_ms, Event::Arrive(next));
    }

    fn ask(&mut self, node: usize, door: usize, epoch: usize, ask: &AllotmentAsk, waiting: Option<u64>) {
        let is_cut = self.doors[door].cut.contains(&node);
        let answerer = &mut self.nodes[node];
        if is_cut || self.now_ms < answerer.down_until_ms || epoch != answerer.view {
            return;
        }
        let grant = answerer.ledger.grant(self.now_ms, ask);
        if let Some(waiting) = waiting {
            let at_ms = self.now_ms + self.random.random_range(1..8);
            self.schedule(at_ms, Event::Answer { waiting, grant: Some(grant) });
        }
    }

    fn answer(&mut self, number: u64, grant: Option<&AllotmentGrant>) {
        let Some(waiting) = self.waiting.get(&number) else {
            return;
        };
        let door = &mut self.doors[waiting.request.door];
        if door.process == waiting.process && self.now_ms < door.frozen_until_ms {
            let (at_ms, grant) = (door.frozen_until_ms, grant.cloned());
            return self.schedule(at_ms, Event::Answer { waiting: number, grant });
        }
        let Some(mut waiting) =
            self.waiting.remove(&number).filter(|waiting| waiting.process == door.process)
        else {
            return;
        };
        let Some(grant) = grant else {
            door.allotments.unanswered(self.now_ms, &waiting.question);
            waiting.request.tried.push(waiting.question.member);
            return self.decide(waiting.process, waiting.request);
        };
        match door.allotments.answered(self.now_ms, &waiting.question, grant) {
            Some(_) => self.pass(&waiting.request),
            None => {
                waiting.request.tried.push(waiting.question.member);
                self.decide(waiting.process, waiting.request);
            }
        }
    }

    fn report(&mut self, index: usize) {
        self.schedule(self.now_ms + REPORT_INTERVAL_MS, Event::Report(index));
        let door = &mut self.doors[index];
        if self.now_ms < door.frozen_until_ms {
            return;
        }
        let epoch = door.view;
        for (member, ask) in door.allotments.take_returns(self.now_ms) {
            let node = member.trim_start_matches("node-").parse().expect("a number");
            let at_ms = self.now_ms + self.random.random_range(1..8);
            self.schedule(at_ms, Event::Ask { node, door: index, epoch, ask, waiting: None });
        }
    }

    fn trouble(&mut self) {
        self.schedule(self.now_ms + TROUBLE_INTERVAL_MS, Event::Trouble);
        for node in &mut self.nodes {
            node.ledger.expire(self.now_ms);
        }
        if self.troubles.doors_fail {
            self.trouble_door();
        }
        if self.troubles.nodes_restart && self.random.random_ratio(1, 4) {
            let node = self.random.random_range(0..ALL_NODES);
            self.restart_node(node);
        }
        if self.troubles.limits_change && self.random.random_ratio(1, 6) {
            self.change_limits();
        }
        if self.troubles.views_change && self.random.random_ratio(1, 30) {
            self.change_view();
        }
    }

    fn trouble_door(&mut self) {
        let index = self.random.random_range(0..self.doors.len());
        let kind = self.random.random_range(0..4);
        let lasts_ms = self.random.random_range(100..1_500);
        let node = self.random.random_range(0..ALL_NODES);
        let version = self.versions.len() as u64;
        let door = &mut self.doors[index];
        match kind {
            0 => door.frozen_until_ms = self.now_ms + lasts_ms,
            1 => {
                door.process += 1;
                door.version = version;
                door.allotments = DoorAllotments::new(&format!("door-{index}"), BOUNDS);
            }
            2 if door.cut.len() < ALL_NODES => _ = door.cut.insert(node),
            _ => door.cut.clear(),
        }
    }

    fn restart_node(&mut self, index: usize) {
        let lasts_ms = self.random.random_range(0..1_500);
        let node = &mut self.nodes[index];
        node.process += 1;
        node.down_until_ms = self.now_ms + lasts_ms;
        node.ledger = AllotmentLedger::new(BOUNDS, &format!("{index}-{}", node.process));
        self.set_members(index);
    }

    fn change_limits(&mut self) {
        let version = self.versions.len() as u64 + 1;
        let mut terms = self.versions[self.versions.len() - 1].1;
        for terms in &mut terms {
            terms.version = version;
            terms.rate_per_s = (terms.rate_per_s * self.random.random_range(0.2..4.0)).clamp(0.5, 60.0);
        }
        self.versions.push((self.now_ms, terms));
        for door in 0..self.doors.len() {
            let at_ms = self.now_ms + self.random.random_range(0..CONVERGE_MS);
            self.schedule(at_ms, Event::LearnTerms { door, version });
        }
    }

    /// a member is replaced by the node that is none; those that stay learn of it first.
    fn change_view(&mut self) {
        let mut members = self.views[self.views.len() - 1].clone();
        let spare = (0..ALL_NODES).find(|node| !members.contains(node)).expect("a spare node");
        let gone = self.random.random_range(0..members.len());
        members[gone] = spare;
        self.views.push(members);
        let view = self.views.len() - 1;
        for node in 0..ALL_NODES {
            let at_ms = self.now_ms + self.random.random_range(0..2_000);
            self.schedule(at_ms, Event::LearnView { door: None, node: Some(node), view });
        }
        for door in 0..self.doors.len() {
            let at_ms = self.now_ms + self.random.random_range(0..2_000);
            self.schedule(at_ms, Event::LearnView { door: Some(door), node: None, view });
        }
    }

    pub fn passed_count(&self) -> usize {
        self.passed.iter().map(Vec::len).sum()
    }

    /// the largest limit, without overshoot, that counts for a window.
    fn limit(&self, index: usize, from_ms: u64, to_ms: u64) -> f64 {
        let window_s = BOUNDS.window_ms as f64 / 1_000.0;
        let mut largest: f64 = 0.0;
        for (at, (began_ms, terms)) in self.versions.iter().enumerate() {
            let ended_ms = self.versions.get(at + 1).map_or(u64::MAX, |(began_ms, _)| *began_ms);
            if *began_ms <= to_ms && from_ms < ended_ms.saturating_add(CONVERGE_MS) {
                largest = largest.max(terms[index].rate_per_s * window_s + terms[index].burst);
            }
        }
        largest
    }

    /// windows with more requests than are allowed, the first of each workspace.
    pub fn overused(&self) -> impl Iterator<Item = String> {
        let mut found = Vec::new();
        for (index, passed) in self.passed.iter().enumerate() {
            let mut first = 0;
            for (last, to_ms) in passed.iter().enumerate() {
                while passed[first] + BOUNDS.window_ms < *to_ms {
                    first += 1;
                }
                let count = last + 1 - first;
                let limit = self.limit(index, passed[first], *to_ms);
                let most = limit * (1.0 + BOUNDS.overshoot) + BOUNDS.slack as f64;
                if count as f64 > most {
                    found.push(format!("{count} of {most:.1} up to {to_ms} ms, workspace {index}"));
                    break;
                }
            }
        }
        found.into_iter()
    }

    /// refused requests while the programs that began within two windows need less than one allows.
    pub fn refused_below(&self) -> impl Iterator<Item = String> {
        let mut found = Vec::new();
        for (index, refused) in self.refused.iter().enumerate() {
            for (at_ms, standing) in refused {
                let from_ms = at_ms.saturating_sub(2 * BOUNDS.window_ms);
                let programs =
                    self.begun[index].iter().filter(|(began_ms, _)| (from_ms..=*at_ms).contains(began_ms));
                let needed: u32 = programs.map(|(_, requests)| requests).sum();
                if f64::from(needed) <= self.limit(index, *at_ms, *at_ms) {
                    found.push(format!("{standing:?} at {at_ms} ms, workspace {index}, {needed} needed"));
                    break;
                }
            }
        }
        found.into_iter()
    }

    /// part of the least used rate that is used, after the first window.
    pub fn used_share(&self) -> f64 {
        let from_ms = TRAFFIC_MS + BOUNDS.window_ms;
        let mut least = f64::INFINITY;
        for (index, passed) in self.passed.iter().enumerate() {
            let used = passed.iter().filter(|at_ms| **at_ms >= from_ms).count();
            let allowed =
                self.versions[0].1[index].rate_per_s * (self.duration_ms - from_ms) as f64 / 1_000.0;
            least = least.min(used as f64 / allowed);
        }
        least
    }

    /// rates, bursts, passed requests and needs of the workspaces.
    pub fn summary(&self) -> String {
        let mut parts = vec![format!("follow {}, doors {}", self.follow, self.doors.len())];
        for (index, terms) in self.versions[0].1.iter().enumerate() {
            let needed: u32 = self.begun[index].iter().map(|(_, requests)| requests).sum();
            let (passed, refused) = (self.passed[index].len(), self.refused[index].len());
            parts.push(format!(
                "rate {} burst {:.1}: {passed} passed, {refused} refused, {needed} needed",
                terms.rate_per_s, terms.burst
            ));
        }
        parts.join("; ")
    }
}
