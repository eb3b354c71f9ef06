use rand::RngExt;

use super::world::Event;
use super::world::World;

/// longest time that a machine stays down, or a cut lasts.
const LONGEST_FAULT_MS: u64 = 4_000;

impl World {
    /// draws one fault.
    pub fn draw_fault(&mut self) {
        let names: Vec<String> = self
            .machines
            .values()
            .filter(|machine| !machine.is_removed)
            .map(|machine| machine.name.clone())
            .collect();
        let name = names[self.rng.random_range(0..names.len())].clone();
        let lasts_ms = self.rng.random_range(50..LONGEST_FAULT_MS);
        match self.rng.random_range(0..10) {
            0..=2 => self.stop(&name, lasts_ms),
            3 => {
                for name in &names {
                    self.stop(name, lasts_ms);
                }
            }
            4 if self.may_wipe(&name) => {
                self.note(&format!("{name} loses its disk"));
                self.stop(&name, lasts_ms);
                self.disk_count += 1;
                let disk_id = self.disk_count;
                let machine = self.machines.get_mut(&name).expect("a machine");
                machine.disk_id = disk_id;
                machine.synced.clear();
            }
            5 => {
                let other = names[self.rng.random_range(0..names.len())].clone();
                self.note(&format!("cut {name} from {other} for {lasts_ms}"));
                let cut = (name, other);
                self.cuts.insert(cut.clone());
                self.schedule(lasts_ms, Event::Heal(cut));
            }
            6 => {
                let door = self.rng.random_range(0..self.door_views.len());
                self.note(&format!("cut door-{door} from {name} for {lasts_ms}"));
                let cut = (format!("door-{door}"), name);
                self.cuts.insert(cut.clone());
                self.schedule(lasts_ms, Event::Heal(cut));
            }
            7 => {
                self.note("store down");
                self.store_up = false;
                self.schedule(lasts_ms, Event::StoreBack);
            }
            8 if names.len() < 6 => self.add_machine(),
            9 if self.retiring.is_empty() && names.len() > 3 => {
                self.note(&format!("{name} is to be emptied"));
                self.retiring.insert(name);
                self.tell_retiring();
            }
            _ => {}
        }
    }

    fn stop(&mut self, name: &str, lasts_ms: u64) {
        let kept = self.rng.random_range(0..4);
        let machine = self.machines.get_mut(name).expect("a machine");
        if machine.core.is_none() {
            return;
        }
        machine.stop(kept);
        self.note(&format!("{name} stops for {lasts_ms}"));
        self.schedule(lasts_ms, Event::Boot(name.to_owned()));
    }

    /// whether the disk of a machine may be lost: no other member's disk is missing anything at the moment.
    pub fn may_wipe(&self, name: &str) -> bool {
        let view = &self.view;
        let others_complete = view.members.iter().filter(|member| member.name != name).all(|member| {
            self.machines.get(&member.name).is_some_and(|machine| {
                !machine.is_removed && machine.member() == *member && machine.has_complete_disk()
            })
        });
        // A node that is being emptied hands over what others may lack.
        others_complete && view.members.len() >= 3 && self.retiring.is_empty()
    }
}
