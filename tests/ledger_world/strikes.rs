use std::collections::BTreeSet;

use flamingostand::poison::PendingStrikes;
use flamingostand::poison::Strikes;
use flamingostand::schema::LedgerAsk;
use flamingostand::schema::LedgerReply;
use flamingostand::schema::LedgerRequest;
use flamingostand::schema::LedgerStrikes;
use flamingostand::schema::PoisonStrike;
use rand::RngExt;

use super::world::Asker;
use super::world::Event;
use super::world::World;

/// time between two looks of a door at what it has not told.
const TELL_MS: u64 = 250;
/// wait of a door for the answer of a node.
const ANSWER_LIMIT_MS: u64 = 1_000;
/// contents that end replicas.
const CONTENTS: u64 = 3;

/// what one door has seen, and told.
#[derive(Default)]
pub struct StrikeDoor {
    pending: PendingStrikes,
    /// seen since all that was seen before was stored.
    seen: Vec<PoisonStrike>,
    /// seen and stored on enough disks.
    confirmed: BTreeSet<(String, String)>,
    round: u64,
}

/// strikes on their way to a node.
#[derive(Clone)]
pub struct Telling {
    door: usize,
    member: String,
    strikes: Vec<PoisonStrike>,
    epoch: u64,
    enough: usize,
    round: u64,
}

impl Telling {
    fn key(&self) -> (usize, u64) {
        (self.door, self.round)
    }
}

impl World {
    /// runs as `run` does, while replicas end under a few contents.
    pub fn run_with_strikes(&mut self, faults: usize, strikes: usize) {
        for _ in 0..strikes {
            let at_ms = self.rng.random_range(2_000..20_000);
            self.schedule(at_ms, Event::Strike);
        }
        for door in 0..self.strike_doors.len() {
            self.schedule(TELL_MS, Event::TellStrikes(door));
        }
        self.run(faults, 20);
        self.check_strikes();
    }

    pub fn new_strike(&mut self) {
        let door = self.rng.random_range(0..self.strike_doors.len());
        let content = format!("x{}", self.rng.random_range(0..CONTENTS));
        let strike = PoisonStrike { content, victim: format!("{}", self.now_ms) };
        self.note(&format!("door-{door} sees {strike:?}"));
        let row = &mut self.strike_doors[door];
        row.pending.add(strike.clone());
        row.seen.push(strike);
    }

    pub fn tell_strikes(&mut self, door: usize) {
        self.schedule(TELL_MS, Event::TellStrikes(door));
        // As a door does, it reads the view from the platform until that has enough members to store anything.
        let known = &self.door_views[door];
        if known.members.len() < known.quorum().write() && self.store_up {
            self.door_views[door] = self.view.clone();
        }
        let view = self.door_views[door].clone();
        for member in &view.members {
            let strikes = self.strike_doors[door].pending.next_batch(view.epoch, &member.name);
            if strikes.is_empty() {
                continue;
            }
            self.strike_doors[door].round += 1;
            let telling = Telling {
                door,
                member: member.name.clone(),
                strikes: strikes.clone(),
                epoch: view.epoch,
                enough: view.quorum().write(),
                round: self.strike_doors[door].round,
            };
            self.waiting_strikes.insert(telling.key());
            self.schedule(ANSWER_LIMIT_MS, Event::StrikesLate(telling.clone()));
            let request = LedgerRequest::Strikes(LedgerStrikes { strikes });
            let ask = LedgerAsk { id: 1, epoch: view.epoch, request };
            self.send(&format!("door-{door}"), &member.name, Asker::Strikes(telling), ask);
        }
    }

    pub fn strikes_late(&mut self, telling: &Telling) {
        let Telling { door, member, epoch, .. } = telling;
        if self.waiting_strikes.remove(&telling.key()) {
            self.strike_doors[*door].pending.request_failed(*epoch, member);
        }
    }

    pub fn strikes_heard(&mut self, telling: &Telling, reply: LedgerReply) {
        let Telling { door, member, strikes, epoch, enough, .. } = telling;
        if !self.waiting_strikes.remove(&telling.key()) {
            return;
        }
        self.note(&format!("door-{door} hears of {} strikes from {member}", strikes.len()));
        let row = &mut self.strike_doors[*door];
        match reply {
            LedgerReply::Stored(_) => row.pending.acknowledge(*epoch, member, strikes, *enough),
            LedgerReply::Stale(stale) => {
                row.pending.request_failed(*epoch, member);
                if stale.view.epoch > self.door_views[*door].epoch {
                    self.door_views[*door] = stale.view;
                }
            }
            LedgerReply::Account(_) | LedgerReply::Records(_) | LedgerReply::News(_) => {}
        }
        let row = &mut self.strike_doors[*door];
        if row.pending.is_empty() {
            row.confirmed.extend(row.seen.drain(..).map(|strike| (strike.content, strike.victim)));
        }
    }

    /// a door that starts now learns of each strike that was confirmed.
    fn check_strikes(&mut self) {
        let mut known = Strikes::default();
        for machine in self.machines.values() {
            let Some(core) = machine.core.as_ref().filter(|core| core.node().is_member()) else {
                continue;
            };
            let mut after = 0;
            loop {
                let (strikes, last) = core.node().store().strikes_after(after);
                if strikes.is_empty() {
                    break;
                }
                for strike in &strikes {
                    known.add(0, strike);
                }
                after = last;
            }
        }
        for door in &self.strike_doors {
            for (content, victim) in &door.confirmed {
                let strike = PoisonStrike { content: content.clone(), victim: victim.clone() };
                assert_eq!(known.add(0, &strike), None, "{strike:?} is lost");
            }
            assert!(door.pending.is_empty(), "{:?} not told: {}", door.pending, self.describe());
        }
    }
}
