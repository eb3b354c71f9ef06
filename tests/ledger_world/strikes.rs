use std::collections::BTreeSet;

use flamingostand::poison::PendingRecords;
use flamingostand::poison::Strikes;
use flamingostand::schema::LedgerAsk;
use flamingostand::schema::LedgerReply;
use flamingostand::schema::LedgerRequest;
use flamingostand::schema::LedgerStrikes;
use flamingostand::schema::PoisonStrike;
use rand::RngExt;

use super::world::Event;
use super::world::Requester;
use super::world::World;

/// interval at which a door sends its pending strikes.
const SEND_INTERVAL_MS: u64 = 250;
/// timeout of a door for the answer of a node.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// number of contents that crash replicas.
const CONTENTS: u64 = 3;

/// strikes of one door.
#[derive(Default)]
pub struct StrikeDoor {
    pending: PendingRecords,
    /// strikes seen since the last time that none was pending.
    seen: Vec<PoisonStrike>,
    /// strikes that a write quorum has stored.
    confirmed: BTreeSet<(String, String)>,
    last_batch: u64,
}

/// a request in flight with strikes for one node.
#[derive(Clone)]
pub struct StrikeBatch {
    door: usize,
    member: String,
    strikes: LedgerStrikes,
    epoch: u64,
    quorum: usize,
    number: u64,
}

impl StrikeBatch {
    fn key(&self) -> (usize, u64) {
        (self.door, self.number)
    }
}

impl World {
    /// like `run`, while doors see strikes against a few contents.
    pub fn run_with_strikes(&mut self, faults: usize, strikes: usize) {
        for _ in 0..strikes {
            let at_ms = self.rng.random_range(2_000..20_000);
            self.schedule(at_ms, Event::Strike);
        }
        for door in 0..self.strike_doors.len() {
            self.schedule(SEND_INTERVAL_MS, Event::SendStrikes(door));
        }
        self.run(faults, 20);
        self.check_strikes();
    }

    pub fn add_strike(&mut self) {
        let door = self.rng.random_range(0..self.strike_doors.len());
        let content = format!("x{}", self.rng.random_range(0..CONTENTS));
        let strike = PoisonStrike { content, victim: format!("{}", self.now_ms), acquitted: None };
        self.trace(&format!("door-{door} sees {strike:?}"));
        let row = &mut self.strike_doors[door];
        row.pending.add_strike(strike.clone());
        row.seen.push(strike);
    }

    pub fn send_strikes(&mut self, door: usize) {
        self.schedule(SEND_INTERVAL_MS, Event::SendStrikes(door));
        // Like a real door, it reads the view from the platform until that has a write quorum of members.
        let known = &self.door_views[door];
        if known.members.len() < known.quorum().write() && self.platform_up {
            self.door_views[door] = self.view.clone();
        }
        let view = self.door_views[door].clone();
        for member in &view.members {
            let Some(strikes) = self.strike_doors[door].pending.next_batch(view.epoch, &member.name) else {
                continue;
            };
            self.strike_doors[door].last_batch += 1;
            let batch = StrikeBatch {
                door,
                member: member.name.clone(),
                strikes: strikes.clone(),
                epoch: view.epoch,
                quorum: view.quorum().write(),
                number: self.strike_doors[door].last_batch,
            };
            self.batches_in_flight.insert(batch.key());
            self.schedule(ANSWER_TIMEOUT_MS, Event::StrikesTimeout(batch.clone()));
            let request = LedgerRequest::Strikes(strikes);
            let ask = LedgerAsk { id: 1, epoch: view.epoch, request };
            self.send(&format!("door-{door}"), &member.name, Requester::Strikes(batch), ask);
        }
    }

    pub fn on_strikes_timeout(&mut self, batch: &StrikeBatch) {
        let StrikeBatch { door, member, epoch, .. } = batch;
        if self.batches_in_flight.remove(&batch.key()) {
            self.strike_doors[*door].pending.request_failed(*epoch, member);
        }
    }

    pub fn on_strikes_answer(&mut self, batch: &StrikeBatch, reply: LedgerReply) {
        let StrikeBatch { door, member, strikes, epoch, quorum, .. } = batch;
        if !self.batches_in_flight.remove(&batch.key()) {
            return;
        }
        self.trace(&format!(
            "door-{door} has an answer about {} strikes from {member}",
            strikes.strikes.len()
        ));
        let row = &mut self.strike_doors[*door];
        match reply {
            LedgerReply::Stored(_) => row.pending.acknowledge(*epoch, member, strikes, *quorum),
            LedgerReply::Stale(stale) => {
                row.pending.request_failed(*epoch, member);
                if stale.view.epoch > self.door_views[*door].epoch {
                    self.door_views[*door] = stale.view;
                }
            }
            LedgerReply::Account(_)
            | LedgerReply::Records(_)
            | LedgerReply::News(_)
            | LedgerReply::Granted(_) => {}
        }
        let row = &mut self.strike_doors[*door];
        if row.pending.is_empty() {
            row.confirmed.extend(row.seen.drain(..).map(|strike| (strike.content, strike.victim)));
        }
    }

    /// checks that a door that starts now would get each confirmed strike.
    fn check_strikes(&mut self) {
        let mut known = Strikes::default();
        for machine in self.machines.values() {
            let Some(core) = machine.core.as_ref().filter(|core| core.node().is_member()) else {
                continue;
            };
            let mut after = 0;
            loop {
                let news = core.node().store().poison_after(after);
                if news.strikes.is_empty() {
                    break;
                }
                for strike in &news.strikes {
                    known.add(0, strike);
                }
                after = news.last_number;
            }
        }
        for door in &self.strike_doors {
            for (content, victim) in &door.confirmed {
                let strike =
                    PoisonStrike { content: content.clone(), victim: victim.clone(), acquitted: None };
                assert_eq!(known.add(0, &strike), None, "{strike:?} is lost");
            }
            assert!(
                door.pending.is_empty(),
                "strikes still pending: {:?}: {}",
                door.pending,
                self.describe()
            );
        }
    }
}
