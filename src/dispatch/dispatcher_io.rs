use crate::dispatch::Replica;
use crate::schema::JobEvent;
use crate::schema::ReplicaLoad;
use crate::schema::TurnJob;

/// events that drive a dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// the replicas that this instance serves from now on; the queues of all others are drained.
    Replicas(Vec<Replica>),
    /// weights of the workspaces in fair queueing; they replace all earlier ones.
    Weights(Vec<WorkspaceWeight>),
    /// a turn to queue for one of the replicas.
    Submit {
        /// identifies the turn in later inputs and actions.
        ticket: u64,
        /// the turn.
        job: Box<TurnJob>,
    },
    /// the owner cancelled a turn.
    Cancel {
        /// the turn.
        ticket: u64,
    },
    /// an event from the engine for a turn that was started.
    EngineEvent {
        /// the turn.
        ticket: u64,
        /// token, completion or failure.
        event: JobEvent,
    },
    /// a load reading from the engine of a replica.
    EngineLoad {
        /// replica.
        replica: String,
        /// the reading.
        reading: LoadReading,
    },
    /// timer; sent every 10 ms while inputs arrive, every 100 ms otherwise.
    Tick,
}

/// weight of one workspace in fair queueing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceWeight {
    /// workspace.
    pub workspace: String,
    /// share relative to the other workspaces.
    pub weight: u32,
}

/// load as reported by an engine, some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReading {
    /// requests that the engine is running.
    pub running: u32,
    /// requests queued inside the engine.
    pub waiting: u32,
    /// age of the reading on arrival.
    pub age_ms: u64,
}

/// actions that a dispatcher asks its driver to perform.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// send a turn to its engine and report its events.
    Start {
        /// the turn.
        ticket: u64,
        /// the turn.
        job: Box<TurnJob>,
    },
    /// cancel a turn at its engine; its final event is still reported.
    Abort {
        /// the turn.
        ticket: u64,
    },
    /// pass an event to the owner.
    Event {
        /// the turn.
        ticket: u64,
        /// token, completion or failure.
        event: JobEvent,
    },
    /// send the load reports to the routers.
    Loads(Vec<ReplicaLoad>),
}
