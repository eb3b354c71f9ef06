use crate::dispatch::Replica;
use crate::schema::JobEvent;
use crate::schema::ReplicaLoad;
use crate::schema::TurnJob;

/// what a dispatcher is told.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// the replicas that this instance serves from now on; others are drained.
    Replicas(Vec<Replica>),
    /// standing of the workspaces.
    Weights(Vec<WorkspaceWeight>),
    /// a turn for one of the replicas.
    Submit {
        /// names the turn in events.
        ticket: u64,
        /// the turn.
        job: Box<TurnJob>,
    },
    /// the owner no longer wants a turn.
    Cancel {
        /// the turn.
        ticket: u64,
    },
    /// the engine made progress on a turn that was started.
    EngineEvent {
        /// the turn.
        ticket: u64,
        /// its progress.
        event: JobEvent,
    },
    /// a replica's load was read.
    EngineLoad {
        /// replica.
        replica: String,
        /// the reading.
        reading: LoadReading,
    },
    /// time passed; sent every 10 ms while inputs come, every 100 ms otherwise.
    Tick,
}

/// standing of one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceWeight {
    /// workspace.
    pub workspace: String,
    /// weight.
    pub weight: u32,
}

/// load that an engine reports, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReading {
    /// requests that generate.
    pub running: u32,
    /// requests that wait inside the engine.
    pub waiting: u32,
    /// age of the reading when it arrived.
    pub age_ms: u64,
}

/// what a dispatcher wants done.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// send a turn to its engine and report its progress.
    Start {
        /// the turn.
        ticket: u64,
        /// the turn.
        job: Box<TurnJob>,
    },
    /// cancel a turn at its engine; its end is still reported.
    Abort {
        /// the turn.
        ticket: u64,
    },
    /// pass progress to the owner.
    Event {
        /// the turn.
        ticket: u64,
        /// its progress.
        event: JobEvent,
    },
    /// tell the routers.
    Loads(Vec<ReplicaLoad>),
}
