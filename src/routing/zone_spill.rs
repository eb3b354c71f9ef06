use std::collections::HashMap;

/// time between two changes of a spill share: loads of other doors are reported that often.
const STEP_MS: u64 = 250;
/// occupancy of a zone from which on some of its replicas are full although others are not.
const WAIT_SHARE: f64 = 0.85;
/// distance between the occupancy above which a share rises and that below which it falls; wider than a step
/// changes the occupancy, so that a share does not swing.
const BAND: f64 = 0.15;
/// steps within which a queue is to be gone: two seconds.
const DRAIN_STEPS: f64 = 8.0;
/// most of the band that a long queue elsewhere lets a zone take beyond its lower end.
const MAX_FILL: f64 = 2.0 / 3.0;
/// most by which a share rises in a step. A change shows in the loads two reports later, and by then every
/// door of the zone has made it.
const MAX_STEP: f64 = 0.1;
/// by how much a share falls in a step: slower than it rises, as a queue costs more than a way.
const FALL_STEP: f64 = 0.05;
/// weight of the latest loads in those that a share follows, so that about a second counts: single reports
/// vary by chance and by what doors did on the reports before.
const LOAD_WEIGHT: f64 = 0.3;
/// what each step keeps of the moves that loads do not show yet: two reports and the weight of the latest loads.
const PENDING_DECAY: f64 = 0.7;
/// most steps by which a share falls at once after a service was not used.
const MAX_IDLE_STEPS: u64 = 10;
/// most that the cost of leaving adds to the occupancy above which leaving pays: a queue as long as the slots.
const MAX_COST_SHARE: f64 = 1.0;
/// what each step keeps of the earlier measurements of hold time, so that about five seconds count.
const HOLD_DECAY: f64 = 0.95;

/// requests in flight at the usable replicas of a service in an availability zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLoad<'a> {
    /// the availability zone.
    pub zone: &'a str,
    /// requests that its replicas run concurrently.
    pub slots: u32,
    /// requests of all doors in flight there.
    pub running: u32,
}

/// a spill share that starts or ends.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillChange {
    /// the service.
    pub service: String,
    /// whether work leaves the zone from now on.
    pub is_started: bool,
    /// requests by slots in the zone.
    pub occupancy: f64,
    /// occupancy above which leaving pays.
    pub pays_above: f64,
}

/// which share of a service's new work leaves the availability zone of the door.
#[derive(Debug)]
pub struct ZoneSpill {
    /// wait that leaving the zone has to save a request.
    leave_cost_ms: f64,
    services: HashMap<String, ServiceSpill>,
    changes: Vec<SpillChange>,
}

impl ZoneSpill {
    /// nothing leaves yet; leaving costs a request as much as a wait of `leave_cost_ms`.
    pub fn new(leave_cost_ms: f64) -> Self {
        Self { leave_cost_ms, services: HashMap::new(), changes: Vec::new() }
    }

    /// whether loads are wanted for the next step of a service.
    pub fn is_due(&self, now_ms: u64, service: &str) -> bool {
        self.services.get(service).is_none_or(|spill| now_ms >= spill.stepped_at_ms + STEP_MS)
    }

    /// makes the step that is due by the loads of all zones; `local_running` are the door's own requests in
    /// flight.
    pub fn step(
        &mut self,
        now_ms: u64,
        service: &str,
        zone: &str,
        loads: &[ZoneLoad<'_>],
        local_running: u32,
    ) {
        let spill = self.services.entry(service.to_owned()).or_default();
        let elapsed_ms = now_ms.saturating_sub(spill.stepped_at_ms);
        spill.stepped_at_ms = now_ms;
        spill.hold.observe(elapsed_ms, local_running);
        spill.smooth(zone, loads);
        let Some(own) = spill.own.clone() else {
            return;
        };
        let pays_above = pays_above(self.leave_cost_ms, spill.hold.mean_ms());
        let room_below = pays_above - BAND;
        spill.room_below = room_below;
        spill.fill_below = room_below + (own.occupancy() - pays_above).clamp(0.0, MAX_FILL * BAND);
        let before = spill.share;
        let steps = (elapsed_ms / STEP_MS).clamp(1, MAX_IDLE_STEPS);
        spill.pending *= PENDING_DECAY;
        let share = match spill.trend(&own, pays_above) {
            Trend::Rise => {
                let most = (spill.spare_total() - spill.pending) / own.running.clamp(1.0, own.slots);
                let rise = most.clamp(0.0, MAX_STEP);
                spill.pending += rise * own.running;
                before + rise
            }
            Trend::Keep => before,
            Trend::Fall => before - FALL_STEP * steps as f64,
        };
        spill.share = share.clamp(0.0, 1.0);
        if (before > 0.0) == (spill.share > 0.0) {
            return;
        }
        let is_started = spill.share > 0.0;
        let occupancy = own.occupancy();
        self.changes.push(SpillChange { service: service.to_owned(), is_started, occupancy, pays_above });
    }

    /// counts a request that begins at a replica of a service.
    pub fn record_begin(&mut self, service: &str) {
        if let Some(spill) = self.services.get_mut(service) {
            spill.hold.begun += 1.0;
        }
    }

    /// the zone that a request without a home goes to; `None` for the door's own.
    pub fn leaves_for(&self, service: &str, random: u64) -> Option<&str> {
        let spill = self.services.get(service)?;
        let (leave, zone) = (unit(random), unit(random.rotate_left(32)));
        if leave >= spill.share {
            return None;
        }
        let weights: Vec<f64> = spill.others.iter().map(|other| spill.weight(other)).collect();
        let mut rest = zone * weights.iter().sum::<f64>();
        for (other, weight) in spill.others.iter().zip(weights) {
            if rest < weight {
                return Some(&other.zone);
            }
            rest -= weight;
        }
        None
    }

    /// share of each service's new work that leaves.
    pub fn shares(&self) -> Vec<(&str, f64)> {
        self.services.iter().map(|(service, spill)| (service.as_str(), spill.share)).collect()
    }

    /// shares that started or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<SpillChange> {
        std::mem::take(&mut self.changes)
    }
}

#[derive(Debug, Default)]
struct ServiceSpill {
    share: f64,
    stepped_at_ms: u64,
    hold: HoldTime,
    own: Option<SmoothLoad>,
    others: Vec<SmoothLoad>,
    /// occupancy of the own zone below which the share falls.
    room_below: f64,
    /// occupancy up to which another zone takes work: the longer the own queue, the fuller it may be, but not
    /// so full that it would send work away itself.
    fill_below: f64,
    /// requests that latest rises moved, and that loads do not show yet.
    pending: f64,
}

impl ServiceSpill {
    fn smooth(&mut self, zone: &str, loads: &[ZoneLoad<'_>]) {
        let known: Vec<SmoothLoad> = self.others.drain(..).chain(self.own.take()).collect();
        for load in loads {
            let before = known.iter().find(|before| before.zone == load.zone);
            let smooth = SmoothLoad::new(load, before);
            match load.zone == zone {
                true => self.own = Some(smooth),
                false => self.others.push(smooth),
            }
        }
    }

    /// whether more, as much or less work is to leave a zone.
    ///
    /// A queue that shrinks fast enough needs no higher share, though it is still long.
    fn trend(&self, own: &SmoothLoad, pays_above: f64) -> Trend {
        let full_at = pays_above.max(own.occupancy() - BAND);
        let is_paying = self.others.iter().any(|other| other.occupancy() < full_at);
        if !is_paying || own.occupancy() < self.room_below {
            return Trend::Fall;
        }
        let expected = own.occupancy() - self.pending / own.slots;
        let is_draining = own.slope <= -(own.occupancy() - pays_above) / DRAIN_STEPS;
        let is_short = expected > pays_above && !is_draining;
        if is_short && self.spare_total() > self.pending { Trend::Rise } else { Trend::Keep }
    }

    /// requests that other zones can take.
    fn spare_total(&self) -> f64 {
        self.others.iter().map(|other| other.spare(self.fill_below)).sum()
    }

    /// weight of another zone for what leaves: what it can spare, or its size if none can spare anything.
    fn weight(&self, other: &SmoothLoad) -> f64 {
        if self.spare_total() > 0.0 { other.spare(self.fill_below) } else { other.slots }
    }
}

/// load of a zone over the last steps.
#[derive(Clone, Debug)]
struct SmoothLoad {
    zone: String,
    slots: f64,
    running: f64,
    /// change of the occupancy in the last step.
    slope: f64,
}

impl SmoothLoad {
    fn new(load: &ZoneLoad<'_>, before: Option<&Self>) -> Self {
        let (slots, latest) = (f64::from(load.slots.max(1)), f64::from(load.running));
        let running =
            before.map_or(latest, |before| before.running + LOAD_WEIGHT * (latest - before.running));
        let slope = before.map_or(0.0, |before| running / slots - before.occupancy());
        Self { zone: load.zone.to_owned(), slots, running, slope }
    }

    /// requests by slots.
    fn occupancy(&self) -> f64 {
        self.running / self.slots
    }

    /// requests until the zone is at an occupancy.
    fn spare(&self, occupancy: f64) -> f64 {
        (occupancy * self.slots - self.running).max(0.0)
    }
}

/// how long requests of this door hold a replica: requests in flight by requests begun a millisecond.
#[derive(Debug, Default)]
struct HoldTime {
    running_ms: f64,
    begun: f64,
}

impl HoldTime {
    fn observe(&mut self, elapsed_ms: u64, running: u32) {
        self.running_ms = HOLD_DECAY * self.running_ms + elapsed_ms as f64 * f64::from(running);
        self.begun *= HOLD_DECAY;
    }

    /// `None` until requests have begun and been seen in flight.
    fn mean_ms(&self) -> Option<f64> {
        (self.begun >= 1.0 && self.running_ms > 0.0).then(|| self.running_ms / self.begun)
    }
}

enum Trend {
    Rise,
    Keep,
    Fall,
}

/// occupancy of a zone above which leaving it pays; the longest wait until the hold time is known.
fn pays_above(leave_cost_ms: f64, hold_ms: Option<f64>) -> f64 {
    let cost_share = hold_ms.map_or(MAX_COST_SHARE, |hold_ms| leave_cost_ms / hold_ms);
    WAIT_SHARE + cost_share.min(MAX_COST_SHARE)
}

/// a number in [0, 1) from the high bits of `random`.
fn unit(random: u64) -> f64 {
    (random >> 32) as f64 / (f64::from(u32::MAX) + 1.0)
}
