use std::net::SocketAddr;

use crate::schema::JobFault;
use crate::schema::ReplicaLoad;

/// one replica of a model, from the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// name from the list.
    pub name: String,
    /// model that it serves.
    pub model: String,
    /// HTTP address of the engine.
    pub address: SocketAddr,
    /// its availability zone.
    pub zone: String,
    /// whether it takes no new work.
    pub leaving: bool,
}

/// what a router is told.
#[derive(Clone, Debug)]
pub enum RouterInput {
    /// the replicas in the platform's list.
    Replicas(Vec<Replica>),
    /// a dispatcher reports its replicas.
    Loads(Vec<ReplicaLoad>),
    /// a replica says, late and with gaps, which prefixes it holds.
    PrefixCached {
        /// replica.
        replica: String,
        /// digest of a prefix.
        prefix: u64,
        /// its length.
        tokens: u64,
    },
    /// a replica dropped a prefix.
    PrefixEvicted {
        /// replica.
        replica: String,
        /// digest of a prefix.
        prefix: u64,
    },
    /// cache events of a replica were lost; what is believed of it is doubtful.
    CacheEventsLost {
        /// replica.
        replica: String,
    },
    /// a turn ended on a replica.
    TurnFinished {
        /// replica.
        replica: String,
        /// program of the turn.
        program: String,
        /// prompt tokens of the turn.
        prompt_tokens: u64,
        /// prompt tokens that the engine found in its cache.
        cached_tokens: u64,
        /// generated tokens.
        completion_tokens: u64,
        /// time to the first token, queue included.
        first_token_ms: u64,
    },
    /// an attempt failed on a replica.
    AttemptFailed {
        /// replica.
        replica: String,
        /// how.
        fault: JobFault,
    },
    /// a program ended; nothing of it needs to stay cached.
    ProgramEnded {
        /// program.
        program: String,
    },
}

/// where a turn should run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// replica.
    pub replica: String,
    /// prompt tokens believed to be cached there.
    pub cached_tokens: u64,
}
