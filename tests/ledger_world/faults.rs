use rand::RngExt;

use super::world::Event;
use super::world::World;

/// upper limit of the duration of a crash, partition or platform outage.
const MAX_FAULT_MS: u64 = 4_000;

impl World {
    /// injects a random fault.
    pub fn inject_fault(&mut self) {
        let names: Vec<String> = self
            .machines
            .values()
            .filter(|machine| !machine.is_removed)
            .map(|machine| machine.name.clone())
            .collect();
        let name = names[self.rng.random_range(0..names.len())].clone();
        let duration_ms = self.rng.random_range(50..MAX_FAULT_MS);
        match self.rng.random_range(0..10) {
            0..=2 => self.stop(&name, duration_ms),
            3 => {
                for name in &names {
                    self.stop(name, duration_ms);
                }
            }
            4 if self.may_lose_disk(&name) => {
                self.trace(&format!("{name} loses its disk"));
                self.stop(&name, duration_ms);
                self.disk_count += 1;
                let disk_id = self.disk_count;
                let machine = self.machines.get_mut(&name).expect("a machine");
                machine.disk_id = disk_id;
                machine.synced.clear();
            }
            5 => {
                let other = names[self.rng.random_range(0..names.len())].clone();
                self.trace(&format!("partition {name} from {other} for {duration_ms}"));
                let partition = (name, other);
                self.partitions.insert(partition.clone());
                self.schedule(duration_ms, Event::Heal(partition));
            }
            6 => {
                let door = self.rng.random_range(0..self.door_views.len());
                self.trace(&format!("partition door-{door} from {name} for {duration_ms}"));
                let partition = (format!("door-{door}"), name);
                self.partitions.insert(partition.clone());
                self.schedule(duration_ms, Event::Heal(partition));
            }
            7 => {
                self.trace("platform down");
                self.platform_up = false;
                self.schedule(duration_ms, Event::PlatformBack);
            }
            8 if names.len() < 6 => self.add_machine(),
            9 if self.retiring.is_empty() && names.len() > 3 => {
                self.trace(&format!("{name} is to be retired"));
                self.retiring.insert(name);
                self.send_retiring();
            }
            _ => {}
        }
    }

    fn stop(&mut self, name: &str, duration_ms: u64) {
        let kept = self.rng.random_range(0..4);
        let machine = self.machines.get_mut(name).expect("a machine");
        if machine.core.is_none() {
            return;
        }
        machine.stop(kept);
        self.trace(&format!("{name} stops for {duration_ms}"));
        self.schedule(duration_ms, Event::Boot(name.to_owned()));
    }

    /// whether the disk of a machine may be lost: all other members' disks are complete at the moment.
    pub fn may_lose_disk(&self, name: &str) -> bool {
        let view = &self.view;
        let others_complete = view.members.iter().filter(|member| member.name != name).all(|member| {
            self.machines.get(&member.name).is_some_and(|machine| {
                !machine.is_removed && machine.member() == *member && machine.has_complete_disk()
            })
        });
        // A retiring node hands over records that others may lack.
        others_complete && view.members.len() >= 3 && self.retiring.is_empty()
    }
}
