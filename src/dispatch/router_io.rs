use std::net::SocketAddr;

use crate::schema::JobFault;
use crate::schema::ReplicaLoad;

/// one replica of a model, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// name in the platform's list.
    pub name: String,
    /// model that it serves.
    pub model: String,
    /// HTTP address of the engine.
    pub address: SocketAddr,
    /// its availability zone.
    pub zone: String,
    /// whether it is draining and takes no new work.
    pub leaving: bool,
}

/// events that update a router.
#[derive(Clone, Debug)]
pub enum RouterInput {
    /// the complete list of replicas from the platform.
    Replicas(Vec<Replica>),
    /// load reports of a dispatcher for its replicas.
    Loads(Vec<ReplicaLoad>),
    /// a replica cached a prefix; such events arrive late, and some are lost.
    PrefixCached {
        /// replica.
        replica: String,
        /// digest of a prefix.
        prefix: u64,
        /// its length in tokens.
        tokens: u64,
    },
    /// a replica evicted a prefix from its cache.
    PrefixEvicted {
        /// replica.
        replica: String,
        /// digest of a prefix.
        prefix: u64,
    },
    /// cache events of a replica were lost; its index entries from before are unconfirmed.
    CacheEventsLost {
        /// replica.
        replica: String,
    },
    /// a turn completed on a replica.
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
        /// cause of the failure.
        fault: JobFault,
    },
    /// a program ended; its prefixes need not stay cached.
    ProgramEnded {
        /// program.
        program: String,
    },
}

/// the replica chosen for a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// replica.
    pub replica: String,
    /// prompt tokens cached there, by the cache index.
    pub cached_tokens: u64,
}
