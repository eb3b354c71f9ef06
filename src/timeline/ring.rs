use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::SystemTime;

use strum::Display;

use crate::schema::TimelineEvent;
use crate::schema::TimelinePull;
use crate::timeline::HybridClock;

/// events kept in memory.
const RING_EVENTS: usize = 16_384;

/// what happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// an instance started.
    Started,
    /// an instance began to leave.
    Leaving,
    /// a member's health changed.
    MemberChanged,
    /// a slot is served here from now on.
    SlotTaken,
    /// a slot was given away.
    SlotGiven,
    /// a journal was sealed.
    JournalSealed,
    /// this incarnation found its journal sealed and stopped.
    Deposed,
    /// a program was opened.
    ProgramOpened,
    /// a turn was accepted by its owner.
    TurnAccepted,
    /// a replica was chosen for a turn.
    ReplicaChosen,
    /// a turn waits in the queue of a replica.
    TurnQueued,
    /// a turn went to its engine.
    TurnStarted,
    /// the first token of a turn came.
    FirstToken,
    /// an engine finished a turn.
    TurnFinished,
    /// an attempt at a turn failed.
    TurnFailed,
    /// a turn was committed and answered.
    TurnCommitted,
    /// a call's intent was committed.
    CallIntended,
    /// a call was resolved.
    CallResolved,
    /// a program ended.
    ProgramEnded,
    /// a request was refused.
    Refused,
    /// a release was accepted.
    ReleaseAccepted,
    /// a release is in force here.
    ReleaseInForce,
    /// the platform stopped or began to answer.
    PlatformChanged,
    /// a replica was ejected or taken back.
    ReplicaChanged,
    /// a content was held back or lifted.
    PoisonChanged,
    /// an order went to an upstream.
    OrderSent,
}

/// the time line of this process.
#[derive(Debug)]
pub struct Timeline {
    instance: String,
    /// clock that the mesh keeps in step.
    pub clock: HybridClock,
    ring: Mutex<VecDeque<TimelineEvent>>,
}

impl Timeline {
    /// an empty time line of the named instance.
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

    /// records an event of something else: an instance, slot, replica, release or journal.
    pub fn record_subject(&self, what: EventKind, subject: &str, detail: String) {
        self.push(what, None, Some(subject.to_owned()), detail);
    }

    /// records an event of a program, of something else, or of both.
    pub fn record(&self, what: EventKind, program: Option<String>, subject: Option<String>, detail: String) {
        self.push(what, program, subject, detail);
    }

    /// the latest events that the question asks for, oldest first.
    pub fn select(&self, pull: &TimelinePull) -> Vec<TimelineEvent> {
        let ring = self.ring.lock().expect("ring lock poisoned");
        let mut events = Vec::new();
        for event in ring.iter().rev() {
            if events.len() >= pull.limit as usize {
                break;
            }
            let of_program = match &pull.program {
                Some(root) => event.program.as_deref().is_some_and(|program| belongs(program, root)),
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
        if ring.len() == RING_EVENTS {
            ring.pop_front();
        }
        ring.push_back(event);
    }
}

/// a sub-agent's events belong to its root's time line too.
fn belongs(program: &str, root: &str) -> bool {
    program == root || program.strip_prefix(root).is_some_and(|rest| rest.starts_with('.'))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
