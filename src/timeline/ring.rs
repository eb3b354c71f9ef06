use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::SystemTime;

use strum::Display;

use crate::schema::TimelineEvent;
use crate::schema::TimelinePull;
use crate::timeline::HybridClock;

/// events kept; the oldest are dropped first.
const MAX_EVENTS: usize = 16_384;

/// kind of an event; its snake-case name is the `what` that clients see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// an instance started.
    Started,
    /// an instance began to leave.
    Leaving,
    /// a member's health changed.
    MemberChanged,
    /// this instance began to serve a slot.
    SlotTaken,
    /// a slot was handed over to another instance.
    SlotGiven,
    /// this instance sealed the journal of another incarnation.
    JournalSealed,
    /// this incarnation found its journal sealed and stopped.
    Deposed,
    /// a program was opened.
    ProgramOpened,
    /// a turn was accepted by its owner.
    TurnAccepted,
    /// a replica was chosen for a turn.
    ReplicaChosen,
    /// a turn was queued for a replica.
    TurnQueued,
    /// a turn was sent to its engine.
    TurnStarted,
    /// the first token of a turn arrived.
    FirstToken,
    /// an engine finished a turn.
    TurnFinished,
    /// an attempt at a turn failed.
    TurnFailed,
    /// a turn was committed and answered.
    TurnCommitted,
    /// the intent of a call was committed, so the call may run.
    CallIntended,
    /// the outcome of a call was committed.
    CallResolved,
    /// a program ended.
    ProgramEnded,
    /// a request was refused.
    Refused,
    /// a release was accepted.
    ReleaseAccepted,
    /// a release took effect on this instance.
    ReleaseInForce,
    /// the platform became unavailable or available, or stores something that cannot be decoded.
    PlatformChanged,
    /// a replica was ejected or readmitted.
    ReplicaChanged,
    /// a content was held back, or its hold was lifted.
    PoisonChanged,
    /// an order was sent to an upstream.
    OrderSent,
}

/// the timeline of this process.
#[derive(Debug)]
pub struct Timeline {
    instance: String,
    /// clock of the event stamps; the mesh observes the stamps of its peers.
    pub clock: HybridClock,
    ring: Mutex<VecDeque<TimelineEvent>>,
}

impl Timeline {
    /// creates an empty timeline for the named instance.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            clock: HybridClock::default(),
            ring: Mutex::new(VecDeque::new()),
        }
    }

    /// records an event of a program.
    pub fn record_program(&self, what: EventKind, program: &str, detail: String) {
        self.push(what, Some(program.to_owned()), None, detail);
    }

    /// records an event of another subject: an instance, slot, replica, release or journal.
    pub fn record_subject(&self, what: EventKind, subject: &str, detail: String) {
        self.push(what, None, Some(subject.to_owned()), detail);
    }

    /// records an event of a program, of another subject, or of both.
    pub fn record(&self, what: EventKind, program: Option<String>, subject: Option<String>, detail: String) {
        self.push(what, program, subject, detail);
    }

    /// the latest events that match the query, up to its limit, oldest first.
    pub fn select(&self, pull: &TimelinePull) -> Vec<TimelineEvent> {
        let ring = self.ring.lock().expect("ring lock poisoned");
        let mut events = Vec::new();
        for event in ring.iter().rev() {
            if events.len() >= pull.limit as usize {
                break;
            }
            let of_program = match &pull.program {
                Some(root) => event.program.as_deref().is_some_and(|program| is_in_subtree(program, root)),
                None => true,
            };
            let of_subject = pull.subject.is_none() || event.subject == pull.subject;
            if of_program && of_subject {
                events.push(event.clone());
            }
        }
        events.reverse();
        events
    }

    fn push(&self, what: EventKind, program: Option<String>, subject: Option<String>, detail: String) {
        let at = self.clock.stamp(unix_ms());
        let instance = self.instance.clone();
        let event = TimelineEvent { at, instance, what: what.to_string(), program, subject, detail };
        let mut ring = self.ring.lock().expect("ring lock poisoned");
        if ring.len() == MAX_EVENTS {
            ring.pop_front();
        }
        ring.push_back(event);
    }
}

/// whether a program is the root or a sub-agent below it.
fn is_in_subtree(program: &str, root: &str) -> bool {
    program == root || program.strip_prefix(root).is_some_and(|rest| rest.starts_with('.'))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
