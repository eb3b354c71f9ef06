use std::time::Duration;

use flamingostand::ledger::QuorumReplies;
use flamingostand::ledger::empty_view;
use flamingostand::routing::Affinity;
use flamingostand::routing::PickCriteria;
use flamingostand::routing::ReplicaEntry;
use flamingostand::routing::ReplicaTable;
use flamingostand::schema::LedgerAsk;
use flamingostand::schema::LedgerBegin;
use flamingostand::schema::LedgerPush;
use flamingostand::schema::LedgerReply;
use flamingostand::schema::LedgerRequest;
use flamingostand::schema::LedgerStream;
use flamingostand::schema::LedgerView;
use flamingostand::schema::StreamVersion;
use rand::RngExt;

use super::world::Event;
use super::world::Requester;
use super::world::World;

/// time after which a door asks the ledger again.
const ROUND_TIMEOUT_MS: u64 = 400;
/// rounds after which a door gives an attempt up.
const MOST_ROUNDS: u64 = 4;
/// the longest time that a door does not know of a change of the replicas.
const MAX_LIST_LAG_MS: u64 = 2_500;
/// replicas of each version.
const REPLICAS: u16 = 2;
/// retention of stream records, longer than a simulation.
const KEEP_MS: u64 = 10_000_000;

/// replicas of the versions that serve, and what each door knows of them.
pub struct Replicas {
    serving: Vec<u16>,
    newest: u16,
    tables: Vec<ReplicaTable>,
}

impl Replicas {
    pub fn new(doors: usize) -> Self {
        let tables = (0..doors).map(|seed| ReplicaTable::new(seed as u64)).collect();
        Self { serving: vec![1], newest: 1, tables }
    }

    fn entries(&self) -> Vec<ReplicaEntry> {
        let replicas = self.serving.iter().flat_map(|version| (0..REPLICAS).map(move |at| (*version, at)));
        let entry = |(version, at): (u16, u16)| ReplicaEntry {
            id: format!("r{version}-{at}"),
            service: "models".to_owned(),
            address: ([10, 0, 0, 1], 100 * version + at).into(),
            zone: "a".to_owned(),
            version: format!("v{version}"),
            slots: 6,
            leaving: false,
            started_unix_ms: 1,
        };
        replicas.map(entry).collect()
    }
}

/// what the current attempt of a stream waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// the record of its version to be on enough disks.
    Record,
    /// the version that began it.
    Lookup,
    /// nothing; the attempt has ended.
    Done,
}

/// a stream of a caller, over all its attempts.
pub struct CallerStream {
    /// id of the attempt that brings the first event.
    first: String,
    door: usize,
    step: Step,
    round: u64,
    attempts: u64,
    request: LedgerRequest,
    view: LedgerView,
    replies: QuorumReplies,
    /// version that the current attempt runs at, once it is chosen.
    runs_at: Option<String>,
    /// version of the events that the caller holds.
    held: Option<String>,
    /// take-ups that brought an event.
    gone_on: usize,
}

impl World {
    /// runs streams that break off and are taken up, while versions come and go.
    pub fn run_with_streams(&mut self, faults: usize, streams: usize) {
        for door in 0..self.door_views.len() {
            self.schedule(0, Event::List(door));
        }
        for _ in 0..streams {
            let at_ms = self.rng.random_range(2_000..20_000);
            self.schedule(at_ms, Event::NewStream);
        }
        for _ in 0..self.rng.random_range(1..8) {
            let at_ms = self.rng.random_range(1_000..20_000);
            self.schedule(at_ms, Event::Release);
        }
        self.run(faults, 20);
        self.check_streams();
    }

    /// a version comes, or the oldest one goes; some doors learn of it late.
    pub fn release(&mut self) {
        let replicas = &mut self.replicas;
        if replicas.serving.len() > 1 {
            replicas.serving.remove(0);
        } else {
            replicas.newest += 1;
            replicas.serving.push(replicas.newest);
        }
        self.trace(&format!("versions {:?} serve", self.replicas.serving));
        for door in 0..self.door_views.len() {
            let in_ms = self.rng.random_range(0..MAX_LIST_LAG_MS);
            self.schedule(in_ms, Event::List(door));
        }
    }

    pub fn list_replicas(&mut self, door: usize) {
        let entries = self.replicas.entries();
        self.replicas.tables[door].replace(self.now_ms, entries, false);
    }

    /// the version of the replica that a door chooses.
    fn pick_version(&mut self, door: usize, version: Option<&str>) -> Option<String> {
        let criteria = PickCriteria {
            service: "models",
            version,
            zone: "a",
            affinity: Affinity::None,
            max_wait: Duration::ZERO,
            has_waited: false,
        };
        let table = &mut self.replicas.tables[door];
        let pick = table.pick(self.now_ms, &criteria, &[]).ok()?;
        table.release(pick.key);
        Some(pick.software.version)
    }

    pub fn new_stream(&mut self) {
        let door = self.rng.random_range(0..self.door_views.len());
        let first = format!("s{}", self.streams.len());
        let view = empty_view(0);
        let Some(sole) = self.pick_version(door, None) else {
            return;
        };
        let began = StreamVersion {
            request: first.clone(),
            service: "models".to_owned(),
            version: Some(sole.clone()),
            keep_ms: KEEP_MS,
        };
        let is_sole = self.replicas.tables[door].sole_version(self.now_ms, "models").is_some();
        let request = match is_sole && self.rng.random() {
            true => self.begin_message(&first, Some(began), None),
            false => LedgerRequest::StreamBegan(began),
        };
        self.streams.push(CallerStream {
            first,
            door,
            step: Step::Record,
            round: 0,
            attempts: 1,
            request,
            replies: QuorumReplies::new(&view, None),
            view,
            runs_at: Some(sole),
            held: None,
            gone_on: 0,
        });
        self.restart_stream(self.streams.len() - 1);
    }

    fn begin_message(
        &self,
        id: &str,
        stream: Option<StreamVersion>,
        resumes: Option<String>,
    ) -> LedgerRequest {
        LedgerRequest::Begin(LedgerBegin {
            program: format!("program-{id}"),
            request: id.to_owned(),
            most_tokens: 1,
            line: None,
            previous: None,
            wants_history: false,
            away: false,
            stream,
            resumes,
        })
    }

    /// takes a stream up at any door.
    pub fn take_up(&mut self, index: usize) {
        let door = self.rng.random_range(0..self.door_views.len());
        let is_turn = self.rng.random();
        let CallerStream { first, attempts, .. } = &self.streams[index];
        let request = match is_turn {
            true => self.begin_message(&format!("{first}-{attempts}"), None, Some(first.clone())),
            false => LedgerRequest::Stream(LedgerStream { request: first.clone() }),
        };
        let stream = &mut self.streams[index];
        stream.attempts += 1;
        (stream.door, stream.step, stream.runs_at) = (door, Step::Lookup, None);
        (stream.request, stream.round) = (request, 0);
        self.restart_stream(index);
    }

    fn restart_stream(&mut self, index: usize) {
        let door = self.streams[index].door;
        if self.door_views[door].members.is_empty() && self.platform_up {
            self.door_views[door] = self.view.clone();
        }
        let view = self.door_views[door].clone();
        let stream = &mut self.streams[index];
        stream.round += 1;
        stream.replies = QuorumReplies::new(&view, None);
        stream.view = view.clone();
        let key = (stream.attempts, stream.round);
        for member in &view.members {
            self.ask_about_stream(index, &member.name);
        }
        self.schedule(ROUND_TIMEOUT_MS, Event::StreamTimeout(index, key));
    }

    fn ask_about_stream(&mut self, index: usize, member: &str) {
        let stream = &self.streams[index];
        let ask = LedgerAsk { id: 1, epoch: stream.view.epoch, request: stream.request.clone() };
        let key = (stream.attempts, stream.round);
        let from = format!("door-{}", stream.door);
        self.send(&from, member, Requester::Stream { index, member: member.to_owned(), key }, ask);
    }

    pub fn on_stream_timeout(&mut self, index: usize, key: (u64, u64)) {
        let stream = &mut self.streams[index];
        if stream.step == Step::Done || (stream.attempts, stream.round) != key {
            return;
        }
        if stream.round < MOST_ROUNDS {
            self.restart_stream(index);
            return;
        }
        self.end_attempt(index);
    }

    pub fn on_stream_answer(&mut self, index: usize, member: &str, key: (u64, u64), reply: LedgerReply) {
        let stream = &mut self.streams[index];
        if stream.step == Step::Done || (stream.attempts, stream.round) != key {
            return;
        }
        match reply {
            LedgerReply::Account(account) => stream.replies.add_account(member, None, account),
            LedgerReply::Stored(stored) => stream.replies.add_stored(member, stored),
            LedgerReply::Stale(stale) if stale.view.epoch > stream.view.epoch => {
                let door = stream.door;
                if stale.view.epoch > self.door_views[door].epoch {
                    self.door_views[door] = stale.view;
                }
                self.restart_stream(index);
                return;
            }
            LedgerReply::Stale(stale) if stale.view.epoch < stream.view.epoch => {
                let (from, view) = (format!("door-{}", stream.door), stream.view.clone());
                let push = LedgerPush { view: view.clone(), records: Vec::new() };
                let ask = LedgerAsk { id: 1, epoch: view.epoch, request: LedgerRequest::Push(push) };
                self.send(&from, member, Requester::Nobody, ask);
                self.ask_about_stream(index, member);
                return;
            }
            LedgerReply::Stale(_)
            | LedgerReply::Records(_)
            | LedgerReply::News(_)
            | LedgerReply::Granted(_) => {}
        }
        let stream = &self.streams[index];
        match stream.step {
            Step::Record if stream.replies.has_write_quorum() => self.deliver(index),
            Step::Lookup if stream.replies.has_read_quorum() => self.go_on(index),
            Step::Record | Step::Lookup | Step::Done => {}
        }
    }

    /// chooses a replica of the version that the ledger tells.
    fn go_on(&mut self, index: usize) {
        let stream = &self.streams[index];
        let version = stream.replies.stream().and_then(|began| began.version.clone());
        assert!(version.is_some(), "the origin of {} is lost: {}", stream.first, self.describe());
        let door = stream.door;
        let runs_at = self.pick_version(door, version.as_deref());
        match runs_at {
            Some(runs_at) => {
                self.streams[index].runs_at = Some(runs_at);
                self.streams[index].gone_on += 1;
                self.deliver(index);
            }
            None => self.end_attempt(index),
        }
    }

    /// brings the caller an event of the current attempt, which then breaks off.
    fn deliver(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        let version = stream.runs_at.clone().expect("the attempt runs");
        let held = stream.held.get_or_insert(version.clone());
        assert_eq!(*held, version, "{} holds events of two versions", stream.first);
        let what = format!("{} has an event of {version} through door-{}", stream.first, stream.door);
        self.trace(&what);
        self.end_attempt(index);
    }

    /// ends an attempt; the caller comes back if it holds events.
    fn end_attempt(&mut self, index: usize) {
        let in_ms = self.rng.random_range(1..3_000);
        let stream = &mut self.streams[index];
        stream.step = Step::Done;
        if stream.held.is_some() && !self.has_short_delays {
            self.schedule(in_ms, Event::TakeUp(index));
        }
    }

    /// checks that streams whose version serves go on, and that no other one does.
    fn check_streams(&mut self) {
        for door in 0..self.door_views.len() {
            self.list_replicas(door);
        }
        let serving: Vec<String> =
            self.replicas.serving.iter().map(|version| format!("v{version}")).collect();
        for index in 0..self.streams.len() {
            let Some(held) = self.streams[index].held.clone() else {
                continue;
            };
            let before = self.streams[index].gone_on;
            self.take_up(index);
            self.run_until(self.now_ms + 2 * ROUND_TIMEOUT_MS);
            let goes_on = self.streams[index].gone_on > before;
            let first = &self.streams[index].first;
            assert_eq!(goes_on, serving.contains(&held), "{first} at {held}, {serving:?} serve");
        }
    }
}
