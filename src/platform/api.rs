use std::fmt;
use std::net::SocketAddr;

use futures_lite::future::Boxed;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// a call to the platform's object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// reads one object.
    Get {
        /// key of the object.
        key: String,
    },
    /// reads a page of the objects whose keys start with a prefix, in key order.
    List {
        /// prefix of the keys.
        prefix: String,
        /// exclusive lower bound of the keys; empty for none.
        after: String,
        /// limit of objects in the reply.
        limit: usize,
        /// whether the reply includes the values; they are empty otherwise.
        with_values: bool,
    },
    /// creates an object; fails with `Conflict` if it exists.
    Create {
        /// key of the object.
        key: String,
        /// value.
        value: Vec<u8>,
    },
    /// replaces an object if it still has this version (compare-and-set).
    Update {
        /// key of the object.
        key: String,
        /// new value.
        value: Vec<u8>,
        /// expected version.
        version: u64,
    },
    /// replaces the status of an object, which is stored apart from its value.
    SetStatus {
        /// key of the object.
        key: String,
        /// new status.
        value: Vec<u8>,
    },
    /// deletes an object unconditionally.
    Delete {
        /// key of the object.
        key: String,
    },
    /// long poll for changes after a revision to objects whose keys start with a prefix.
    Watch {
        /// prefix of the keys.
        prefix: String,
        /// revision of the last change seen.
        after_revision: u64,
        /// how long the platform holds the call open if nothing changes.
        wait_ms: u64,
    },
    /// reads the list of instances, which may be out of date.
    Instances,
}

impl PlatformRequest {
    /// value of the metric label `kind`.
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

/// a stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// key.
    pub key: String,
    /// revision of the last write to it.
    pub version: u64,
    /// value.
    pub value: Vec<u8>,
}

/// a write or deletion reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// key.
    pub key: String,
    /// revision of the change.
    pub version: u64,
    /// new value; `None` after a deletion.
    pub value: Option<Vec<u8>>,
}

/// program that a listed instance runs.
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
    /// a store of model weights.
    WeightStore,
}

/// whether a listed instance accepts new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListedState {
    /// accepts new work.
    Live,
    /// is shutting down and accepts no new work.
    Leaving,
}

/// an entry in the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// name, unique in the list.
    pub name: String,
    /// program that it runs.
    pub kind: InstanceKind,
    /// model or service that it serves; empty for an entry instance.
    #[serde(default)]
    pub serves: String,
    /// address for HTTP of upstreams, for the mesh of entry instances.
    pub address: SocketAddr,
    /// availability zone.
    pub zone: String,
    /// whether it accepts new work.
    pub state: ListedState,
}

/// a successful reply of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// the requested object.
    Object(Object),
    /// a page of a list.
    Page {
        /// objects in key order.
        objects: Vec<Object>,
        /// whether more objects follow the last one.
        more: bool,
        /// revision of the whole store at the time of the reply.
        revision: u64,
    },
    /// a create, an update or a change of status took effect.
    Written {
        /// new version.
        version: u64,
    },
    /// the object was deleted.
    Deleted,
    /// changes after the requested revision; empty if the wait timed out.
    Changes {
        /// changes in order of revision.
        changes: Vec<Change>,
        /// revision to continue the watch after.
        revision: u64,
    },
    /// the list of instances.
    Instances(Vec<ListedInstance>),
}

/// why a call failed. It had no effect, unless the variant says that it may have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// the object does not exist.
    NotFound,
    /// the object to create exists, or the one to update has another version.
    Conflict,
    /// the platform no longer retains the changes after the requested revision; the objects must be listed
    /// again.
    Gap,
    /// a rate limit, the platform's or this process's own, rejected the call; it had no effect.
    RateLimited {
        /// delay before the next attempt.
        retry_after_ms: u64,
    },
    /// the platform is unreachable or unavailable; the call had no effect.
    Unavailable,
    /// the reply was lost; the call may have taken effect.
    Unknown,
    /// the call is malformed, the platform rejected it permanently, or the reply cannot be parsed; in the
    /// last case, the call may have taken effect.
    Invalid(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => write!(out, "no such object"),
            Self::Conflict => write!(out, "the object exists or has another version"),
            Self::Gap => write!(out, "the revision to watch from is no longer retained"),
            Self::RateLimited { retry_after_ms } => {
                write!(out, "rate limited, retry after {retry_after_ms} ms")
            }
            Self::Unavailable => write!(out, "the platform is unreachable or unavailable"),
            Self::Unknown => write!(out, "the reply was lost; the call may have taken effect"),
            Self::Invalid(why) => write!(out, "invalid call or reply: {why}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// outcome of a call.
pub type PlatformResult = Result<PlatformReply, PlatformError>;

/// client of the platform; `HttpPlatform` calls it over HTTP, tests have their own.
pub trait Platform: Send + Sync {
    /// makes one call, subject to the rate limit of this process.
    fn call(&self, request: PlatformRequest) -> Boxed<PlatformResult>;
}
