//! the events of a run in virtual time.

use std::cmp::Ordering;

use flamingostand::schema::JobEvent;
use flamingostand::schema::ReplicaLoad;
use flamingostand::schema::TurnJob;

use crate::engine::EngineRequest;

/// what happens at one moment.
#[derive(Debug)]
pub enum Event {
    /// a program starts.
    Arrive(usize),
    /// the next turn of a thread starts.
    NextTurn(usize),
    /// a turn that was refused comes back.
    Resubmit(u64),
    /// a turn reaches a dispatcher.
    Submit {
        /// instance.
        instance: usize,
        /// turn.
        ticket: u64,
        /// turn.
        job: Box<TurnJob>,
    },
    /// a request reaches an engine.
    Request {
        /// replica.
        replica: usize,
        /// request.
        request: EngineRequest,
    },
    /// an engine ends a step.
    Step {
        /// replica.
        replica: usize,
        /// start of the process that began the step.
        start_number: u64,
    },
    /// progress reaches a dispatcher.
    Progress {
        /// turn.
        ticket: u64,
        /// progress.
        event: JobEvent,
    },
    /// the end of a turn reaches its owner.
    Owner {
        /// turn.
        ticket: u64,
        /// progress.
        event: JobEvent,
    },
    /// loads reach the routers.
    Loads(Vec<ReplicaLoad>),
    /// a reading of an engine's load reaches its dispatcher.
    Reading {
        /// replica.
        replica: usize,
        /// requests in the batch.
        running: u32,
        /// requests that wait inside.
        waiting: u32,
    },
    /// dispatchers get their tick.
    Tick,
    /// engines publish load and cache events.
    Publish,
    /// the fault begins.
    FaultBegins,
    /// the fault ends.
    FaultEnds,
    /// the platform's list shows what is so now.
    List,
    /// other instances take over the replicas of a dead one.
    Takeover,
    /// counts what waits.
    Sample,
}

/// an event with its time; earlier ones first, then in the order of insertion.
#[derive(Debug)]
pub struct Timed {
    /// when.
    pub at_us: u64,
    /// order of insertion.
    pub number: u64,
    /// what.
    pub event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at_us, other.number).cmp(&(self.at_us, self.number))
    }
}
