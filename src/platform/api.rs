use std::fmt;
use std::net::SocketAddr;

use futures_lite::future::Boxed;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// one call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// reads one object.
    Get {
        /// key of the object.
        key: String,
    },
    /// reads the objects below a prefix, in the order of their keys.
    List {
        /// prefix of the keys.
        prefix: String,
        /// only keys greater than this one; empty for all.
        after: String,
        /// most objects in the reply.
        limit: usize,
        /// whether the reply carries values; otherwise they are empty.
        with_values: bool,
    },
    /// makes an object that must not exist.
    Create {
        /// key of the object.
        key: String,
        /// its value.
        value: Vec<u8>,
    },
    /// replaces an object that must have this version.
    Update {
        /// key of the object.
        key: String,
        /// its new value.
        value: Vec<u8>,
        /// version that it must have.
        version: u64,
    },
    /// replaces the status of an object, which is kept beside its value.
    SetStatus {
        /// key of the object.
        key: String,
        /// its new status.
        value: Vec<u8>,
    },
    /// removes an object, whatever its version.
    Delete {
        /// key of the object.
        key: String,
    },
    /// waits for changes below a prefix after a revision.
    Watch {
        /// prefix of the keys.
        prefix: String,
        /// revision of the last change seen.
        after_revision: u64,
        /// how long to wait.
        wait_ms: u64,
    },
    /// reads the lagging list of instances.
    Instances,
}

impl PlatformRequest {
    /// the name under which the call is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::List { .. } => "list",
            Self::Create { .. } => "create",
            Self::Update { .. } => "update",
            Self::SetStatus { .. } => "set_status",
            Self::Delete { .. } => "delete",
            Self::Watch { .. } => "watch",
            Self::Instances => "instances",
        }
    }
}

/// one object of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// key.
    pub key: String,
    /// revision of its last write.
    pub version: u64,
    /// value.
    pub value: Vec<u8>,
}

/// one change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// key.
    pub key: String,
    /// revision of the change.
    pub version: u64,
    /// new value; `None` after a removal.
    pub value: Option<Vec<u8>>,
}

/// what an instance of the platform's list runs.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceKind {
    /// an entry instance of this system.
    Entry,
    /// a replica of a model engine.
    Engine,
    /// a replica of a plain service.
    Service,
    /// the weight store.
    WeightStore,
}

/// whether an instance of the platform's list is staying.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListedState {
    /// it takes work.
    Live,
    /// it is leaving and takes no new work.
    Leaving,
}

/// one row of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// name, unique in the list.
    pub name: String,
    /// what it runs.
    pub kind: InstanceKind,
    /// model or service that it serves; empty for an entry instance.
    #[serde(default)]
    pub serves: String,
    /// address: HTTP for upstreams, mesh for entry instances.
    pub address: SocketAddr,
    /// availability zone.
    pub zone: String,
    /// whether it is staying.
    pub state: ListedState,
}

/// a successful reply of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// the object asked for.
    Object(Object),
    /// objects below a prefix.
    Page {
        /// objects in the order of their keys.
        objects: Vec<Object>,
        /// whether more follow after the last key.
        more: bool,
        /// revision of the platform at the time of the reply.
        revision: u64,
    },
    /// a create or an update took effect.
    Written {
        /// new version.
        version: u64,
    },
    /// the object is gone.
    Deleted,
    /// changes after the revision asked for; none when the wait ran out.
    Changes {
        /// changes in their order.
        changes: Vec<Change>,
        /// revision to ask from next.
        revision: u64,
    },
    /// the list of instances.
    Instances(Vec<ListedInstance>),
}

/// why a call had no effect, or may have had one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// no such object.
    NotFound,
    /// the object exists, or has another version.
    Conflict,
    /// the watch starts at a revision that the platform no longer has.
    Gap,
    /// the platform refuses for now; the call had no effect.
    RateLimited {
        /// when to come back.
        retry_after_ms: u64,
    },
    /// the platform is not reachable; the call had no effect.
    Unavailable,
    /// the reply was lost; the call may have taken effect.
    Unknown,
    /// the platform refused the call for good, or its reply makes no sense.
    Invalid(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => write!(out, "no such object"),
            Self::Conflict => write!(out, "the object exists or has another version"),
            Self::Gap => write!(out, "the watch has a gap"),
            Self::RateLimited { retry_after_ms } => {
                write!(out, "rate limited, retry after {retry_after_ms} ms")
            }
            Self::Unavailable => write!(out, "the platform is unavailable"),
            Self::Unknown => write!(out, "the reply was lost"),
            Self::Invalid(why) => write!(out, "invalid call or reply: {why}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// outcome of one call.
pub type PlatformResult = Result<PlatformReply, PlatformError>;

/// the edge to the platform; one implementation speaks HTTP, tests have their own.
pub trait Platform: Send + Sync {
    /// makes one call, within the rate budget of this process.
    fn call(&self, request: PlatformRequest) -> Boxed<PlatformResult>;
}
