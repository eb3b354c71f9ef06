//! doors, ledger nodes and replicas in virtual time, around one content that ends each replica that runs it.

mod door;
mod node;
mod replica;

use bytes::Bytes;
use flamingostand::poison::Content;
use flamingostand::poison::LifeSign;
use flamingostand::schema::LedgerRecord;
use hyper::Method;
use hyper::Uri;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use door::Door;
use door::Waiting;
use node::Node;
use replica::Replica;

const STEP_MS: u64 = 50;
const DURATION_MS: u64 = 60_000;
const REPORT_INTERVAL_MS: u64 = 250;
/// time after the third end from which on runs count as late.
const CONTACT_MS: u64 = 3_000;
const DOORS: usize = 9;
const NODES: usize = 3;
const REPLICAS: usize = 12;
/// time within which a door passes on what it knows, even if reports are lost; in a calm history it is not restarted
/// earlier.
const SETTLE_MS: u64 = 2_000;
/// time that a process is down after a loss of power.
const DOWN_MS: u64 = 1_000;
/// silence of all replicas after which a door takes itself for cut off.
const CUT_NOTICED_MS: u64 = 600;

/// what happens to doors and ledger nodes in a history.
#[derive(Clone, Copy, Debug, Default)]
pub struct Troubles {
    /// share of the messages that are lost, in thousandths.
    pub lost_permille: u64,
    /// mean interval between restarts of doors that have told all they know; 0 for none.
    pub restart_interval_ms: u64,
    /// mean interval between losses of power of any doors and ledger nodes, at any moment; 0 for none.
    pub power_interval_ms: u64,
    /// mean interval between cuts of a door from all replicas; 0 for none.
    pub cut_interval_ms: u64,
    /// runs of other contents, each of which stays unresolved, that each door has.
    pub crowd: usize,
    /// whether replicas end without any evidence, and also under runs that their callers have given up.
    pub are_ends_hidden: bool,
}

/// time after which a caller gives up a run that its replica goes on with.
const ABANDONED_AFTER_MS: u64 = 300;
/// ways in which replicas end, each as likely.
const ENDS: [End; 4] = [End::Refused, End::Back, End::Silent, End::SilentAfterHead];
/// ways in which replicas end and leave no evidence.
const HIDDEN_ENDS: [End; 4] = [End::Later, End::Back, End::Silent, End::SilentAfterHead];

/// how a replica ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// its connection is reset, and its address refuses.
    Refused,
    /// its connection is reset, and the next process listens at once.
    Back,
    /// nothing more comes from it.
    Silent,
    /// nothing more comes after the head of the answer.
    SilentAfterHead,
    /// the caller gives up, the replica goes on with the run, answers others, and ends later.
    Later,
}

/// one history.
pub struct World {
    random: SmallRng,
    now_ms: u64,
    troubles: Troubles,
    attempt_interval_ms: u64,
    timeout_ms: u64,
    keeps_entries: bool,
    doors: Vec<Door>,
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    attempts: u64,
    ends_ms: Vec<u64>,
    runs_ms: Vec<u64>,
    was_held: bool,
}

impl World {
    pub fn new(seed: u64, troubles: Troubles) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut doors: Vec<Door> =
            (0..DOORS).map(|number| Door::new(format!("door-{number}"), number as u64 * 27)).collect();
        for door in &mut doors {
            door.add_crowd(0, troubles.crowd);
        }
        let replicas = (0..REPLICAS).map(|number| Replica::new(format!("replica-{number}"))).collect();
        Self {
            now_ms: 0,
            troubles,
            attempt_interval_ms: [300, 1_000, 1_400, 5_000][random.random_range(0..4)],
            timeout_ms: [400, 3_000, 6_000][random.random_range(0..3)],
            keeps_entries: random.random_bool(0.3),
            random,
            doors,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            replicas,
            attempts: 0,
            ends_ms: Vec::new(),
            runs_ms: Vec::new(),
            was_held: false,
        }
    }

    /// plays the whole history.
    pub fn play(&mut self) {
        while self.now_ms < DURATION_MS {
            self.now_ms += STEP_MS;
            self.move_replicas();
            self.answer_others();
            self.end_waiting();
            self.end_abandoned();
            self.cut_doors();
            if self.random.random_range(0..self.attempt_interval_ms) < STEP_MS {
                self.attempt();
            }
            if self.is_due(self.troubles.restart_interval_ms) {
                self.restart_door();
            }
            if self.is_due(self.troubles.power_interval_ms) {
                self.lose_power();
            }
            for door in 0..DOORS {
                self.report(door);
            }
        }
    }

    /// runs that began later than the contact time after the third end.
    pub fn late_runs(&self) -> usize {
        let third_ms = self.ends_ms.get(2).copied().unwrap_or(u64::MAX - CONTACT_MS);
        self.runs_ms.iter().filter(|began_ms| **began_ms > third_ms + CONTACT_MS).count()
    }

    pub fn was_held(&self) -> bool {
        self.was_held
    }

    pub fn summary(&self) -> String {
        format!(
            "{} late; attempts every {} ms, timeout {} ms, entries stay: {}, ends at {:?}, runs at {:?}",
            self.late_runs(),
            self.attempt_interval_ms,
            self.timeout_ms,
            self.keeps_entries,
            self.ends_ms,
            self.runs_ms
        )
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_range(0..1_000) < self.troubles.lost_permille
    }

    /// whether something that comes every `interval_ms` on average comes now; never if that is 0.
    fn is_due(&mut self, interval_ms: u64) -> bool {
        interval_ms > 0 && self.random.random_range(0..interval_ms) < STEP_MS
    }

    /// whether time bounds hold for a door: nothing has happened to it or to a ledger node of late.
    fn is_in_touch(&self, door: &Door) -> bool {
        let is_calm = |since_ms: u64| since_ms == 0 || self.now_ms >= since_ms + CONTACT_MS;
        is_calm(door.up_since_ms) && self.nodes.iter().all(|node| is_calm(node.up_since_ms))
    }

    fn attempt(&mut self) {
        let number = self.random.random_range(0..DOORS);
        let content = content();
        let door = &self.doors[number];
        if door.cut_until_ms.is_some() || self.now_ms < door.up_since_ms {
            return;
        }
        if door.poison.hold(&content.digest()).is_some() {
            self.was_held = true;
            return;
        }
        let listed: Vec<usize> =
            (0..REPLICAS).filter(|index| self.replicas[*index].listed.is_some()).collect();
        if listed.is_empty() {
            return;
        }
        let index = listed[self.random.random_range(0..listed.len())];
        let replica = &self.replicas[index];
        let (id, started) = replica.listed.clone().expect("it is listed");
        // A dead replica refuses, and a later process under another id says that it is not meant.
        if replica.id != id && replica.back_at_ms.is_none() {
            self.doors[number].replica_gone(self.now_ms, &id);
            return;
        }
        if replica.back_at_ms.is_some() || replica.ends_at_ms.is_some() {
            return;
        }
        self.attempts += 1;
        if self.is_in_touch(&self.doors[number]) {
            self.runs_ms.push(self.now_ms);
        }
        let request = format!("attempt-{}", self.attempts);
        let poison = &mut self.doors[number].poison;
        let run = poison.active.begin(self.now_ms, content, request, id, started);
        let ends = if self.troubles.are_ends_hidden { HIDDEN_ENDS } else { ENDS };
        let end = ends[self.random.random_range(0..ends.len())];
        if matches!(end, End::Later) {
            let works_ms = self.random.random_range(500..4_000);
            self.replicas[index].ends_at_ms = Some(self.now_ms + ABANDONED_AFTER_MS + works_ms);
        } else {
            self.ends_ms.push(self.now_ms);
            self.end_replica(index, end);
        }
        let door = &mut self.doors[number];
        door.busy_until_ms = self.now_ms + self.timeout_ms + SETTLE_MS;
        match end {
            End::Refused => {
                let ended = door.poison.active.remove(run).expect("it runs").to_replica_run();
                door.strike(self.now_ms, &ended);
            }
            End::Back => door.suspect(self.now_ms, run),
            End::Silent => door.waiting.push(Waiting { run, until_ms: self.now_ms + self.timeout_ms }),
            End::SilentAfterHead => {
                door.poison.active.record_progress(self.now_ms, run);
                door.waiting.push(Waiting { run, until_ms: self.now_ms + self.timeout_ms });
            }
            End::Later => door.waiting.push(Waiting { run, until_ms: self.now_ms + ABANDONED_AFTER_MS }),
        }
    }

    /// replicas end under runs that their callers have given up.
    fn end_abandoned(&mut self) {
        for index in 0..REPLICAS {
            if self.replicas[index].ends_at_ms.take_if(|at_ms| self.now_ms >= *at_ms).is_some() {
                self.ends_ms.push(self.now_ms);
                self.end_replica(index, End::Later);
            }
        }
    }

    fn end_replica(&mut self, index: usize, end: End) {
        let down_ms = match end {
            End::Back => 0,
            End::Refused | End::Silent | End::SilentAfterHead | End::Later => {
                self.random.random_range(500..6_000)
            }
        };
        let back_at_ms = self.now_ms + down_ms;
        let keeps_id = self.random.random_bool(0.3) && !self.troubles.are_ends_hidden;
        let replica = &mut self.replicas[index];
        replica.back_at_ms = Some(back_at_ms);
        if !keeps_id {
            replica.id = format!("{}-{}", replica.id, self.now_ms);
        }
        let lapse_ms = self.random.random_range(1_000..4_500);
        replica.unlisted_at_ms = (!keeps_id && !self.keeps_entries).then_some(self.now_ms + lapse_ms);
        replica.listed_at_ms = Some(back_at_ms + self.random.random_range(0..1_500));
        if matches!(end, End::Back) {
            self.move_replicas();
        }
    }

    fn move_replicas(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..REPLICAS {
            let replica = &mut self.replicas[index];
            if replica.back_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                replica.back_at_ms = None;
                replica.process_since_ms = now_ms;
                replica.started += 1;
            }
            if replica.unlisted_at_ms.take_if(|at_ms| now_ms >= *at_ms).is_some()
                && let Some((id, _)) = replica.listed.take()
            {
                for door in &mut self.doors {
                    door.replica_gone(now_ms, &id);
                }
            }
            let replica = &mut self.replicas[index];
            if replica.listed_at_ms.take_if(|at_ms| now_ms >= *at_ms).is_some() {
                let previous = replica.listed.replace((replica.id.clone(), replica.started));
                let replaced = previous.filter(|(id, _)| *id != replica.id);
                for door in &mut self.doors {
                    if let Some((id, _)) = &replaced {
                        door.replica_gone(now_ms, id);
                    }
                    let ended = door.poison.suspects.replica_started(&replica.id, replica.started);
                    door.strike_all(now_ms, &ended);
                }
            }
        }
    }

    /// replicas answer other requests, over connections of any age that their processes have seen.
    fn answer_others(&mut self) {
        for door in self.doors.iter_mut().filter(|door| door.cut_until_ms.is_none()) {
            let index = self.random.random_range(0..REPLICAS);
            let replica = &self.replicas[index];
            let Some((id, started)) = &replica.listed else {
                continue;
            };
            if replica.back_at_ms.is_some() || replica.id != *id {
                continue;
            }
            let connected_ms = self.random.random_range(replica.process_since_ms..=self.now_ms);
            let sign = LifeSign { replica: id, started_unix_ms: *started, connected_ms };
            door.heard_ms = self.now_ms;
            door.poison.replica_answered(self.now_ms, &sign);
        }
    }

    /// doors are cut off from all replicas, notice it, and reach them again.
    fn cut_doors(&mut self) {
        if self.is_due(self.troubles.cut_interval_ms) {
            let number = self.random.random_range(0..DOORS);
            let until_ms = self.now_ms + self.random.random_range(2_000..8_000);
            let door = &mut self.doors[number];
            if door.cut_until_ms.is_none() {
                door.cut_until_ms = Some(until_ms);
            }
        }
        for door in &mut self.doors {
            let Some(until_ms) = door.cut_until_ms else {
                continue;
            };
            if self.now_ms >= until_ms {
                door.cut_until_ms = None;
                door.poison.set_cut_off(self.now_ms, false, door.heard_ms);
            } else if self.now_ms >= door.heard_ms + CUT_NOTICED_MS {
                door.poison.set_cut_off(self.now_ms, true, door.heard_ms);
            }
        }
    }

    fn end_waiting(&mut self) {
        for door in &mut self.doors {
            let timed_out = door.waiting.extract_if(.., |waiting| self.now_ms >= waiting.until_ms);
            for waiting in Vec::from_iter(timed_out) {
                door.suspect(self.now_ms, waiting.run);
            }
        }
    }

    fn restart_door(&mut self) {
        let number = self.random.random_range(0..DOORS);
        let door = &self.doors[number];
        if self.now_ms < door.busy_until_ms {
            return;
        }
        let mut restarted = Door::new(door.name.clone(), self.now_ms);
        restarted.started = door.started + 1;
        restarted.add_crowd(self.now_ms, self.troubles.crowd);
        self.doors[number] = restarted;
    }

    /// any doors and ledger nodes lose power, often all; what is not on disk is lost.
    fn lose_power(&mut self) {
        let share = [0.3, 0.6, 1.0][self.random.random_range(0..3)];
        let up_since_ms = self.now_ms + DOWN_MS;
        for number in 0..DOORS {
            if !self.random.random_bool(share) {
                continue;
            }
            let door = &self.doors[number];
            let mut restarted = Door::new(door.name.clone(), up_since_ms);
            restarted.started = door.started + 1;
            restarted.up_since_ms = up_since_ms;
            restarted.add_crowd(self.now_ms, self.troubles.crowd);
            self.doors[number] = restarted;
        }
        for number in 0..NODES {
            if self.random.random_bool(share) {
                self.nodes[number].restart(up_since_ms);
            }
        }
    }

    /// a door reports to all nodes, and one of them answers.
    fn report(&mut self, number: usize) {
        if self.now_ms < self.doors[number].report_at_ms {
            return;
        }
        self.doors[number].report_at_ms = self.now_ms + REPORT_INTERVAL_MS;
        self.doors[number].poison.expire(self.now_ms, true);
        let report = self.doors[number].report(self.now_ms);
        for index in 0..NODES {
            if self.is_lost() || self.now_ms < self.nodes[index].up_since_ms {
                continue;
            }
            self.nodes[index].take_report(self.now_ms, &report);
            let is_answer_lost = self.is_lost();
            let (node, poison) = (&mut self.nodes[index], &mut self.doors[number].poison);
            let name = index.to_string();
            if let Some(batch) = poison.pending.next_batch(1, &name) {
                node.store(self.now_ms, batch.strikes.iter().cloned().map(LedgerRecord::Struck));
                node.store(self.now_ms, batch.runs.iter().cloned().map(LedgerRecord::Suspected));
                if is_answer_lost {
                    poison.pending.request_failed(1, &name);
                } else {
                    poison.pending.acknowledge(1, &name, &batch, NODES);
                }
            }
            if is_answer_lost {
                continue;
            }
            let mark = poison.marks.entry(name).or_insert_with(|| node.mark(0));
            let news = node.store.poison_after(if mark.start == node.start() { mark.number } else { 0 });
            *mark = node.mark(news.last_number);
            for strike in &news.strikes {
                poison.strikes.add(self.now_ms, strike);
            }
            poison.add_remote(self.now_ms, &news.runs);
        }
    }
}

fn content() -> Content {
    let body = Bytes::from_static(b"deadly");
    Content::new(&Method::POST, Some("host"), &Uri::from_static("/path"), &body, None)
}
