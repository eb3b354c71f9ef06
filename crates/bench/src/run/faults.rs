use flamingostand::dispatch::RouterInput;
use flamingostand::schema::JobFault;

use crate::control::replica_name;
use crate::event::Event;
use crate::fault::CACHE_EVENTS_STOP_US;
use crate::fault::FAULT_US;
use crate::fault::Fault;
use crate::fault::LIST_LAG_US;
use crate::fault::TAKEOVER_US;
use crate::run::Run;

impl Run<'_> {
    pub(super) fn fault_begins(&mut self) {
        self.after(FAULT_US, Event::FaultEnds);
        match self.plan.fault {
            None => {}
            Some(Fault::ReplicaDies) => self.kill(0),
            Some(Fault::ReplicaSlow) => self.engines[0].slowness = 10.0,
            Some(Fault::ZoneGoes) => {
                for replica in self.zone_members() {
                    self.kill(replica);
                }
            }
            Some(Fault::CacheEventsStop) => self.events_lost_until_us = self.now_us + CACHE_EVENTS_STOP_US,
            Some(Fault::DispatcherDies) => self.kill_instance(0),
        }
        self.after(LIST_LAG_US, Event::List);
    }

    pub(super) fn fault_ends(&mut self) {
        for engine in &mut self.engines {
            engine.dead = false;
            engine.slowness = 1.0;
        }
        if self.plan.fault == Some(Fault::CacheEventsStop) {
            let now_ms = self.now_ms();
            for replica in 0..self.engines.len() {
                self.tell_routers(now_ms, &RouterInput::CacheEventsLost { replica: replica_name(replica) });
            }
        }
        self.after(LIST_LAG_US, Event::List);
    }

    pub(super) fn zone_members(&self) -> Vec<usize> {
        let zone = self.control.zone(0);
        (0..self.engines.len()).filter(|replica| self.control.zone(*replica) == zone).collect()
    }

    pub(super) fn kill(&mut self, replica: usize) {
        for ticket in self.engines[replica].die() {
            self.engine_failed(ticket, JobFault::Died);
        }
    }

    pub(super) fn kill_instance(&mut self, instance: usize) {
        self.control.dispatchers[instance] = None;
        let mut lost: Vec<u64> = Vec::new();
        for (ticket, turn) in &self.turns {
            if turn.replica.is_some_and(|replica| self.control.serves[replica] == instance) {
                lost.push(*ticket);
            }
        }
        lost.sort_unstable();
        for ticket in lost {
            self.fail(ticket, JobFault::Refused, "the instance died", 0);
        }
        self.after(TAKEOVER_US, Event::Takeover);
    }

    pub(super) fn takeover(&mut self) {
        let count = self.control.dispatchers.len();
        for replica in 0..self.control.serves.len() {
            if self.control.dispatchers[self.control.serves[replica]].is_none() {
                self.control.serves[replica] = (self.control.serves[replica] + 1 + replica) % count;
            }
        }
        self.list();
    }

    pub(super) fn list(&mut self) {
        for replica in 0..self.engines.len() {
            self.control.set_listed(replica, !self.engines[replica].dead);
        }
        let now_ms = self.now_ms();
        for (_, actions) in self.control.list(now_ms) {
            self.act(actions);
        }
    }
}
