// Generated from schemas/wire.json by `cargo run -p flamingo-codegen`; do not edit.

///a release note in force from its version on
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AcceptedRelease {
    ///when it was accepted
    pub accepted_unix_ms: u64,
    ///digest of the note; a repeat is recognised by it
    pub mark: ::std::string::String,
    pub note: ReleaseNote,
    ///who accepted it
    pub operator: ::std::string::String,
    ///version that the note makes
    pub version: u64,
}
///a typed refusal of the administration API (RFC 9457)
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AdminProblem {
    ///stable code
    pub code: ::std::string::String,
    ///a sentence for people
    pub detail: ::std::string::String,
    ///faults with their places
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub findings: ::std::vec::Vec<FindingRow>,
    pub ran: Ran,
    ///when to come back
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
}
///this journal holds a slot from here on; what stands before of the slot in this journal does not count
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AdoptedRecord {
    ///epoch of the slot's object
    pub epoch: u64,
    ///slot
    pub slot: u32,
}
///an agent program that a workspace runs
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AgentProgramEntry {
    ///most tokens one run may spend, sub-agents included
    pub budget_tokens: u64,
    ///most time one run may take
    #[serde(default = "defaults::default_u64::<u64, 86400000>")]
    pub deadline_ms: u64,
    ///name of the agent program, unique in its workspace
    pub id: ::std::string::String,
    ///most turns of one run, sub-agents included
    #[serde(default = "defaults::default_u64::<u32, 430>")]
    pub max_turns: u32,
    ///model of its turns
    pub model: ::std::string::String,
    ///prompt that every run starts with
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub system_prompt: ::std::option::Option<::std::string::String>,
    ///workspace that runs it
    pub workspace: ::std::string::String,
}
///asks for tokens of a workspace's allotment, each good for one request, or gives some back
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AllotmentAsk {
    ///requests that are allowed besides in a window
    pub burst: f64,
    ///requests a second over all doors
    pub rate_per_s: f64,
    ///tokens of earlier grants of this node that were not used
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub returns: ::std::vec::Vec<AllotmentReturn>,
    ///tokens wanted for programs that begin
    pub starts: u32,
    ///tokens wanted for requests of programs under way
    pub turns: u32,
    ///version of the configuration that the allotment is from
    pub version: u64,
    ///name of the workspace
    pub workspace: ::std::string::String,
}
///tokens that a ledger node grants a door
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AllotmentGrant {
    ///time until the node may have tokens of a kind that was wanted and not granted; absent if all were granted
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    ///slot that they are counted in
    pub slot: u64,
    ///start of the node
    pub start: ::std::string::String,
    ///tokens for programs that begin
    pub starts: u32,
    ///tokens for requests of programs under way
    pub turns: u32,
}
///tokens of a grant that were not used
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AllotmentReturn {
    ///slot of the grant
    pub slot: u64,
    ///start of the node that granted them
    pub start: ::std::string::String,
    ///how many of them were for the beginning of a program; none if absent
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub starts: ::std::option::Option<u32>,
    ///how many
    pub tokens: u32,
}
///how far the requests of a workspace may exceed its allotment; allotments are not in force without
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AllotmentSettings {
    ///part by which they may exceed the allotment
    pub overshoot: f64,
    ///requests by which they may exceed it besides
    pub slack: u64,
    ///span in which requests are counted
    pub window_s: f64,
}
///records of one commit
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Batch {
    ///records in order
    pub records: ::std::vec::Vec<Record>,
}
///bounds that the deployment promises its callers
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BoundSettings {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub allotments: ::std::option::Option<AllotmentSettings>,
    ///longest time that callers may keep an answer of the directory
    pub directory_ttl_ms: u64,
    ///time from SIGTERM to SIGKILL
    pub grace_s: f64,
}
///outcome of a call
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CallAnswer {
    ///answer of the service
    pub body: ::serde_json::Value,
    ///identifier of the call
    pub call: ::std::string::String,
    ///whether the outcome was kept from an earlier request
    pub replayed: bool,
    pub state: CallState,
    ///HTTP status of the service, 0 without one
    pub status: u16,
}
///asks for a call to a plain service
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CallBody {
    ///JSON body for the service
    pub body: ::serde_json::Value,
    ///identifier of the call; the Idempotency-Key header may carry it instead
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub call: ::std::option::Option<::std::string::String>,
    ///how long the call may be retried
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub deadline_ms: ::std::option::Option<u64>,
    ///whether the call may run more than once
    #[serde(default)]
    pub idempotent: bool,
    ///path at the service
    pub path: ::std::string::String,
    ///service to call
    pub service: ::std::string::String,
    ///whether to wait for the outcome; otherwise the call is answered once it is recorded
    #[serde(default = "defaults::default_bool::<true>")]
    pub wait: bool,
}
///snapshot of a call
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CallImage {
    pub intended: IntendedRecord,
    ///its outcome, if there is one
    pub resolved: ::std::vec::Vec<ResolvedRecord>,
}
///how far a call has come
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum CallState {
    #[serde(rename = "recorded")]
    Recorded,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for CallState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Recorded => f.write_str("recorded"),
            Self::Running => f.write_str("running"),
            Self::Done => f.write_str("done"),
            Self::Failed => f.write_str("failed"),
            Self::NotRun => f.write_str("not_run"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for CallState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "recorded" => Ok(Self::Recorded),
            "running" => Ok(Self::Running),
            "done" => Ok(Self::Done),
            "failed" => Ok(Self::Failed),
            "not_run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for CallState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for CallState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///the turn is no longer wanted
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CancelJob {
    ///number of the job
    pub id: u64,
}
///the caller hung up
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CancelRequest {
    ///number of the request
    pub id: u64,
}
///what happens to an entry
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ChangeKind {
    #[serde(rename = "added")]
    Added,
    #[serde(rename = "changed")]
    Changed,
    #[serde(rename = "withdrawn")]
    Withdrawn,
}
impl ::std::fmt::Display for ChangeKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Added => f.write_str("added"),
            Self::Changed => f.write_str("changed"),
            Self::Withdrawn => f.write_str("withdrawn"),
        }
    }
}
impl ::std::str::FromStr for ChangeKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "added" => Ok(Self::Added),
            "changed" => Ok(Self::Changed),
            "withdrawn" => Ok(Self::Withdrawn),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ChangeKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ChangeKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///tokens were spent without an answer
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChargedRecord {
    ///reserved from now on
    pub allowance_tokens: u64,
    ///charged to the budget
    pub charged_tokens: u64,
    ///program
    pub program: ::std::string::String,
}
///one message of the usual chat-completion shape
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatMessage {
    ///text, or content parts
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<::serde_json::Value>,
    ///name of the speaker
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub name: ::std::option::Option<::std::string::String>,
    pub role: Role,
    ///tool call that this message answers
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub tool_call_id: ::std::option::Option<::std::string::String>,
    ///tool calls of an assistant message
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub tool_calls: ::std::vec::Vec<::serde_json::Value>,
}
///what all instances of one deployment share
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    ///secret that authenticates instances to each other, 32 bytes as 64 hexadecimal digits
    pub mesh_key: ::std::string::String,
    ///name of the deployment; instances of another name are refused
    pub name: ::std::string::String,
    ///slots that programs hash to; never changes during the life of a deployment
    #[serde(default = "defaults::default_u64::<u32, 64>")]
    pub slot_count: u32,
}
///one membership datagram
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Datagram {
    pub body: DatagramBody,
    ///deployment
    pub cluster: ::std::string::String,
    ///news of members
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub records: ::std::vec::Vec<MemberRecord>,
    pub sender: DatagramSender,
    ///digest of the members that the sender believes to run
    #[serde(default)]
    pub view_digest: u64,
}
///purpose of a datagram
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum DatagramBody {
    #[serde(rename = "probe")]
    Probe(Probe),
    #[serde(rename = "ack")]
    Ack(ProbeAck),
    #[serde(rename = "probe_request")]
    ProbeRequest(ProbeRequest),
    #[serde(rename = "news")]
    News(News),
    #[serde(rename = "sync_buckets")]
    SyncBuckets(SyncBuckets),
    #[serde(rename = "sync_names")]
    SyncNames(SyncNames),
    #[serde(rename = "sync_wanted")]
    SyncWanted(SyncWanted),
    #[serde(rename = "sync_page")]
    SyncPage(SyncPage),
    #[serde(rename = "sync_records")]
    SyncRecords(SyncRecords),
}
impl ::std::convert::From<Probe> for DatagramBody {
    fn from(value: Probe) -> Self {
        Self::Probe(value)
    }
}
impl ::std::convert::From<ProbeAck> for DatagramBody {
    fn from(value: ProbeAck) -> Self {
        Self::Ack(value)
    }
}
impl ::std::convert::From<ProbeRequest> for DatagramBody {
    fn from(value: ProbeRequest) -> Self {
        Self::ProbeRequest(value)
    }
}
impl ::std::convert::From<News> for DatagramBody {
    fn from(value: News) -> Self {
        Self::News(value)
    }
}
impl ::std::convert::From<SyncBuckets> for DatagramBody {
    fn from(value: SyncBuckets) -> Self {
        Self::SyncBuckets(value)
    }
}
impl ::std::convert::From<SyncNames> for DatagramBody {
    fn from(value: SyncNames) -> Self {
        Self::SyncNames(value)
    }
}
impl ::std::convert::From<SyncWanted> for DatagramBody {
    fn from(value: SyncWanted) -> Self {
        Self::SyncWanted(value)
    }
}
impl ::std::convert::From<SyncPage> for DatagramBody {
    fn from(value: SyncPage) -> Self {
        Self::SyncPage(value)
    }
}
impl ::std::convert::From<SyncRecords> for DatagramBody {
    fn from(value: SyncRecords) -> Self {
        Self::SyncRecords(value)
    }
}
///what a datagram says of its sender
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DatagramSender {
    ///incarnation
    pub incarnation: ::std::string::String,
    ///name
    pub name: ::std::string::String,
    ///refutation number
    pub refutation: u32,
    ///configuration in force
    pub release_version: u64,
}
///a turn for the dispatcher of a replica
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Dispatch {
    ///number of the job on this connection
    pub id: u64,
    pub job: TurnJob,
}
///progress of a turn
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DispatchEvent {
    pub event: JobEvent,
    ///number of the job
    pub id: u64,
}
///queues before the upstreams
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    ///target for the first token
    #[serde(default = "defaults::default_u64::<u64, 1400>")]
    pub first_token_target_ms: u64,
    ///requests inside one replica at the start
    #[serde(default = "defaults::default_u64::<u32, 16>")]
    pub initial_window: u32,
    ///time between two readings of a replica's load
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub load_poll_ms: u64,
    ///longest wait in a queue before a turn is refused
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub max_queue_ms: u64,
    ///most requests inside one replica
    #[serde(default = "defaults::default_u64::<u32, 256>")]
    pub max_window: u32,
    ///retries as a share of first attempts
    #[serde(default = "defaults::default_u64::<u32, 10>")]
    pub retry_share_percent: u32,
    ///target between tokens
    #[serde(default = "defaults::default_u64::<u64, 70>")]
    pub token_gap_target_ms: u64,
}
impl ::std::default::Default for DispatchSettings {
    fn default() -> Self {
        Self {
            first_token_target_ms: defaults::default_u64::<u64, 1400>(),
            initial_window: defaults::default_u64::<u32, 16>(),
            load_poll_ms: defaults::default_u64::<u64, 500>(),
            max_queue_ms: defaults::default_u64::<u64, 30000>(),
            max_window: defaults::default_u64::<u32, 256>(),
            retry_share_percent: defaults::default_u64::<u32, 10>(),
            token_gap_target_ms: defaults::default_u64::<u64, 70>(),
        }
    }
}
///where a front door takes requests of doors that are cut off from the replicas
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DoorHelper {
    ///IP and port
    pub address: ::std::string::String,
    ///start of the process
    pub started: ::std::string::String,
}
///addresses as IP and port
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DoorListen {
    ///address that callers send requests to
    pub callers: ::std::string::String,
    ///address that callers ask which doors to use
    pub directory: ::std::string::String,
    ///address at which other doors pass requests on; by default the port after that of the mesh
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub peers: ::std::option::Option<::std::string::String>,
    ///address of the platform's readiness check
    pub readiness: ::std::string::String,
}
///what a front door tells the ledger nodes, and through them the other doors
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DoorReport {
    ///address that callers send requests to
    pub callers: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub doors_mark: ::std::option::Option<DoorsMark>,
    ///where it takes requests of other doors; absent while it takes none
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub helper: ::std::option::Option<DoorHelper>,
    ///replicas that said that they leave, to this door
    pub leaving: ::std::vec::Vec<LeavingReplica>,
    ///limits that replicas named, and how much of them it would use
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub limits: ::std::vec::Vec<LimitUse>,
    ///requests that it has under way
    pub loads: ::std::vec::Vec<ReplicaUse>,
    ///how far it knows the mirrors of the node that it reports to
    pub marks: ::std::vec::Vec<MirrorMark>,
    ///name of the instance
    pub name: ::std::string::String,
    ///whether it takes requests
    pub ready: bool,
    ///start of the process
    pub started: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub strikes_mark: ::std::option::Option<StrikesMark>,
    ///runs in flight whose replicas are silent, which weigh if the door ends
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub unresolved: ::std::vec::Vec<SuspectedRun>,
    ///whether the answer should tell of the other doors; one ledger node is asked for that
    pub wants_fleet: bool,
    ///availability zone
    pub zone: ::std::string::String,
}
///a front door as a ledger node knows it
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DoorRow {
    ///address that callers send requests to
    pub callers: ::std::string::String,
    ///where it takes requests of other doors; absent while it takes none
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub helper: ::std::option::Option<DoorHelper>,
    ///whether it takes requests, as it said last
    pub ready: bool,
    ///whether its reports have stopped
    pub silent: bool,
    ///availability zone
    pub zone: ::std::string::String,
}
///how far a door knows the doors that a ledger node knows
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DoorsMark {
    ///last change that is known
    pub number: u64,
    ///start of the node that numbered the changes
    pub start: ::std::string::String,
}
///tells an instance to leave
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DrainBody {
    ///name of the instance
    pub instance: ::std::string::String,
}
///an operator wants the receiver to leave
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DrainOrder {
    ///who asked
    pub operator: ::std::string::String,
}
///ends a program
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndBody {
    ///why
    #[serde(default = "defaults::end_body_reason")]
    pub reason: ::std::string::String,
}
impl ::std::default::Default for EndBody {
    fn default() -> Self {
        Self {
            reason: defaults::end_body_reason(),
        }
    }
}
///a program ended
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndedRecord {
    ///program
    pub program: ::std::string::String,
    ///why
    pub reason: ::std::string::String,
    ///when
    pub unix_ms: u64,
}
///what a journal entry holds
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum EntryBody {
    #[serde(rename = "batch")]
    Batch(Batch),
    #[serde(rename = "seal")]
    Seal(Seal),
}
impl ::std::convert::From<Batch> for EntryBody {
    fn from(value: Batch) -> Self {
        Self::Batch(value)
    }
}
impl ::std::convert::From<Seal> for EntryBody {
    fn from(value: Seal) -> Self {
        Self::Seal(value)
    }
}
///what a note does to one entry
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EntryChange {
    pub change: ChangeKind,
    pub entry: EntryName,
    ///fields that differ, by name
    pub fields: ::std::vec::Vec<FieldChange>,
}
///kind of an entry
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum EntryKind {
    #[serde(rename = "workspace")]
    Workspace,
    #[serde(rename = "agent_program")]
    AgentProgram,
    #[serde(rename = "model")]
    Model,
    #[serde(rename = "service")]
    Service,
}
impl ::std::fmt::Display for EntryKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Workspace => f.write_str("workspace"),
            Self::AgentProgram => f.write_str("agent_program"),
            Self::Model => f.write_str("model"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for EntryKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "workspace" => Ok(Self::Workspace),
            "agent_program" => Ok(Self::AgentProgram),
            "model" => Ok(Self::Model),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EntryKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EntryKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///names one entry
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EntryName {
    ///name of the entry
    pub id: ::std::string::String,
    pub kind: EntryKind,
    ///workspace of an agent program
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub workspace: ::std::option::Option<::std::string::String>,
}
///one field that differs; a missing value is null
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FieldChange {
    ///value after
    pub after: ::serde_json::Value,
    ///value before
    pub before: ::serde_json::Value,
    ///name
    pub field: ::std::string::String,
}
///one fault of some input
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FindingRow {
    ///what is wrong
    pub detail: ::std::string::String,
    ///line in the file, from 1
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub line: ::std::option::Option<u64>,
    ///JSON pointer of the faulty value
    pub place: ::std::string::String,
}
///`FlamingostandWireAndSettingsTypes`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct FlamingostandWireAndSettingsTypes(pub ::serde_json::Value);
impl ::std::ops::Deref for FlamingostandWireAndSettingsTypes {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<FlamingostandWireAndSettingsTypes> for ::serde_json::Value {
    fn from(value: FlamingostandWireAndSettingsTypes) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for FlamingostandWireAndSettingsTypes {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///what a ledger node knows of all doors
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FleetNews {
    ///whether the node has all that its disk should hold
    pub complete: bool,
    ///doors that are new or have changed since the mark of the door that asks
    pub doors: ::std::vec::Vec<DoorRow>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub doors_mark: ::std::option::Option<DoorsMark>,
    ///replicas that said to other doors that they leave
    pub leaving: ::std::vec::Vec<LeavingReplica>,
    ///limits of replicas, with the part of the door that asks
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub limits: ::std::vec::Vec<LimitShare>,
    ///requests under way at each replica, through other doors than the one that asks
    pub loads: ::std::vec::Vec<ReplicaUse>,
    ///news of the platform
    pub mirrors: ::std::vec::Vec<MirrorNews>,
    ///whether these are all doors, and not only those that changed
    pub names_all_doors: bool,
    ///strikes after the door's mark
    pub strikes: ::std::vec::Vec<PoisonStrike>,
    pub strikes_mark: StrikesMark,
    ///whether doors and loads are told
    pub tells_fleet: bool,
    ///runs that weigh, of contents that may have ended several replicas
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub unresolved: ::std::vec::Vec<SuspectedRun>,
}
///a program's state is dropped
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForgottenRecord {
    ///program
    pub program: ::std::string::String,
}
///a request for the owner
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Forward {
    ///instances passed so far
    pub hops: u32,
    ///number of the request on this connection
    pub id: u64,
    pub request: OwnerRequest,
}
///an answer of the owner
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardEvent {
    pub event: OwnerEvent,
    ///number of the request
    pub id: u64,
}
///a call on its way to the owner
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardedCall {
    pub body: CallBody,
    ///identifier
    pub program: ::std::string::String,
    ///workspace of the caller
    pub workspace: ::std::string::String,
}
///an end on its way to the owner
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardedEnd {
    ///identifier
    pub program: ::std::string::String,
    ///why
    pub reason: ::std::string::String,
    ///workspace of the caller
    pub workspace: ::std::string::String,
}
///an open request on its way to the owner
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardedOpen {
    pub body: OpenBody,
    ///identifier
    pub program: ::std::string::String,
    ///workspace of the caller
    pub workspace: ::std::string::String,
}
///a look at a program
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardedState {
    ///identifier
    pub program: ::std::string::String,
    ///workspace of the caller
    pub workspace: ::std::string::String,
}
///a turn on its way to the owner
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardedTurn {
    pub body: TurnBody,
    ///identifier
    pub program: ::std::string::String,
    ///workspace of the caller
    pub workspace: ::std::string::String,
}
///how far the history of a program has come
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HistoryState {
    ///digest of the history
    pub digest: ::std::string::String,
    ///messages in the history
    pub messages: u32,
    ///last committed turn
    pub turn: u32,
}
///part of the calls of a snapshot
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ImagedCallsRecord {
    ///calls
    pub calls: ::std::vec::Vec<CallImage>,
    ///program
    pub program: ::std::string::String,
}
///part of the messages of a snapshot
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ImagedMessagesRecord {
    ///index of the first message
    pub first: u32,
    ///messages
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///program
    pub program: ::std::string::String,
}
///snapshot of a program without its messages
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ImagedRecord {
    ///reserved
    pub allowance_tokens: u64,
    ///calls that follow in parts
    #[serde(default)]
    pub call_count: u32,
    ///calls
    pub calls: ::std::vec::Vec<CallImage>,
    ///sub-agents
    pub children: ::std::vec::Vec<::std::string::String>,
    ///its end, if it ended
    pub ended: ::std::vec::Vec<EndedRecord>,
    ///end of the last turn
    pub last_finish_reason: ::std::string::String,
    ///messages that the last request added
    pub last_new_messages: u32,
    ///digest of the last request
    pub last_request_digest: ::std::string::String,
    pub last_usage: Usage,
    ///messages that follow in parts
    pub message_count: u32,
    pub opened: OpenedRecord,
    ///program
    pub program: ::std::string::String,
    ///settled
    pub spent_tokens: u64,
    ///last turn
    pub turn: u32,
}
///one instance as the administration API shows it
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct InstanceRow {
    pub health: MemberHealth,
    ///name
    pub name: ::std::string::String,
    ///its own report; none when it does not answer
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<InstanceStatus>,
    ///availability zone
    pub zone: ::std::string::String,
}
///who and where this instance is
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct InstanceSettings {
    ///name of the instance, unique in the deployment
    pub name: ::std::string::String,
    ///region of the instance
    pub region: ::std::string::String,
    ///availability zone of the instance
    pub zone: ::std::string::String,
}
///state of one instance
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct InstanceStatus {
    ///incarnation
    pub incarnation: ::std::string::String,
    ///entries written
    pub journal_entries: u64,
    ///whether it is leaving
    pub leaving: bool,
    ///name
    pub name: ::std::string::String,
    ///calls made to the platform
    pub platform_calls: u64,
    ///programs held
    pub programs: u32,
    ///configuration in force
    pub release_version: u64,
    ///slots owned
    pub slots: u32,
    ///availability zone
    pub zone: ::std::string::String,
}
///configuration in force on one instance
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct InstanceVersion {
    ///name
    pub name: ::std::string::String,
    ///version
    pub version: u64,
}
///a call is about to run
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct IntendedRecord {
    ///attempt
    pub attempt: u32,
    ///body
    pub body: ::serde_json::Value,
    ///call
    pub call: ::std::string::String,
    ///digest of the content
    pub content_digest: ::std::string::String,
    ///deadline
    pub deadline_unix_ms: u64,
    ///whether it may run more than once
    pub idempotent: bool,
    ///path
    pub path: ::std::string::String,
    ///program
    pub program: ::std::string::String,
    ///service
    pub service: ::std::string::String,
    ///whether a caller waits
    pub wait: bool,
}
///end of a turn at its replica
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobDone {
    ///why the engine stopped
    pub finish_reason: ::std::string::String,
    ///whole text
    pub text: ::std::string::String,
    ///tool calls of the answer
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub tool_calls: ::std::vec::Vec<::serde_json::Value>,
    pub usage: Usage,
}
///progress of a turn at its replica
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum JobEvent {
    #[serde(rename = "token")]
    Token(Token),
    #[serde(rename = "done")]
    Done(JobDone),
    #[serde(rename = "failed")]
    Failed(JobFailed),
}
impl ::std::convert::From<Token> for JobEvent {
    fn from(value: Token) -> Self {
        Self::Token(value)
    }
}
impl ::std::convert::From<JobDone> for JobEvent {
    fn from(value: JobDone) -> Self {
        Self::Done(value)
    }
}
impl ::std::convert::From<JobFailed> for JobEvent {
    fn from(value: JobFailed) -> Self {
        Self::Failed(value)
    }
}
///failure of a turn at its replica
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobFailed {
    ///a sentence
    pub detail: ::std::string::String,
    pub fault: JobFault,
    ///when to come back
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    ///tokens that the engine may have spent
    pub spent_tokens: u64,
}
///how a turn failed
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum JobFault {
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "not_sent")]
    NotSent,
    #[serde(rename = "broken")]
    Broken,
    #[serde(rename = "died")]
    Died,
    #[serde(rename = "poison")]
    Poison,
    #[serde(rename = "cancelled")]
    Cancelled,
    #[serde(rename = "overloaded")]
    Overloaded,
    #[serde(rename = "too_late")]
    TooLate,
}
impl ::std::fmt::Display for JobFault {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Refused => f.write_str("refused"),
            Self::Leaving => f.write_str("leaving"),
            Self::NotSent => f.write_str("not_sent"),
            Self::Broken => f.write_str("broken"),
            Self::Died => f.write_str("died"),
            Self::Poison => f.write_str("poison"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::Overloaded => f.write_str("overloaded"),
            Self::TooLate => f.write_str("too_late"),
        }
    }
}
impl ::std::str::FromStr for JobFault {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "refused" => Ok(Self::Refused),
            "leaving" => Ok(Self::Leaving),
            "not_sent" => Ok(Self::NotSent),
            "broken" => Ok(Self::Broken),
            "died" => Ok(Self::Died),
            "poison" => Ok(Self::Poison),
            "cancelled" => Ok(Self::Cancelled),
            "overloaded" => Ok(Self::Overloaded),
            "too_late" => Ok(Self::TooLate),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for JobFault {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for JobFault {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///the node belongs to a view
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JoinedView {
    ///whether the node has all that its disk should hold
    pub complete: bool,
    pub view: LedgerView,
}
///one object of a journal
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JournalEntry {
    pub body: EntryBody,
    ///incarnation whose journal it is
    pub incarnation: ::std::string::String,
    ///unique mark of the write, which settles a lost reply
    pub mark: ::std::string::String,
}
///where state of a slot comes from
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JournalSource {
    ///epoch at which the owner of the journal took the slot; only what follows its adoption at this epoch counts
    #[serde(default)]
    pub epoch: u64,
    ///journal
    pub incarnation: ::std::string::String,
    ///last entry that counts; all without it
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub through: ::std::option::Option<u64>,
}
///a turn as a node keeps it
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KeptTurn {
    ///turn that it goes on from
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub previous: ::std::option::Option<::std::string::String>,
    ///its input, then each of its events with a line feed
    pub said: crate::schema::Octets,
    ///id of the turn
    pub turn: ::std::string::String,
}
///a replica that said in an answer that it leaves
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeavingReplica {
    ///time since it said so
    pub age_ms: u64,
    ///id of the replica
    pub replica: ::std::string::String,
    ///start of its process; absent if it is not known
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub started_unix_ms: ::std::option::Option<u64>,
}
///what a node knows of a program, and of the history that was asked for
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerAccount {
    ///whether the node has all that its disk should hold
    pub complete: bool,
    ///the turn and those before it, the newest first, as far as the node has them without a gap; empty unless asked for
    pub history: ::std::vec::Vec<KeptTurn>,
    ///replica that ran the last turn of the line, or else of the program, as far as the node knows
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub home: ::std::option::Option<::std::string::String>,
    ///whether the turn that was named is known; true if none was named
    pub knows_turn: bool,
    ///tokens held by each turn of the program
    pub spends: ::std::vec::Vec<LedgerSpend>,
    ///software that began the stream that was asked for, as far as the node knows
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub stream: ::std::option::Option<StreamVersion>,
}
///an answer of a ledger node; a question may have several
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerAnswer {
    ///names the question
    pub id: u64,
    pub reply: LedgerReply,
}
///a question to a ledger node
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerAsk {
    ///view that the sender knows
    pub epoch: u64,
    ///names the question on its connection
    pub id: u64,
    pub request: LedgerRequest,
}
///a turn asks for tokens of its program and for what was said before
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerBegin {
    ///whether other members than the first ones of the program were asked, because one of those is out of reach
    pub away: bool,
    ///line of turns of the program that it belongs to
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub line: ::std::option::Option<::std::string::String>,
    ///the most that the turn may generate
    pub most_tokens: u64,
    ///turn that this one goes on from
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub previous: ::std::option::Option<::std::string::String>,
    ///program
    pub program: ::std::string::String,
    ///id of the turn
    pub request: ::std::string::String,
    ///attempt whose stream the turn goes on with
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub resumes: ::std::option::Option<::std::string::String>,
    ///software that the turn's stream will begin at, if that is certain before
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub stream: ::std::option::Option<StreamVersion>,
    ///whether the node that answers sends the history and not only whether it has it
    pub wants_history: bool,
}
///a turn has ended
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerFinish {
    ///line of turns of the program that it belongs to
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub line: ::std::option::Option<::std::string::String>,
    ///program
    pub program: ::std::string::String,
    ///replica that ran it; absent if none did, and in records that were copied
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub replica: ::std::option::Option<::std::string::String>,
    ///id of the turn
    pub request: ::std::string::String,
    ///what is kept of it
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub turn: ::std::option::Option<LedgerTurn>,
    ///tokens handed to the caller
    pub used_tokens: u64,
}
///asks for all that was said up to a turn
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerHistory {
    ///id of the last turn
    pub turn: ::std::string::String,
}
///a node that holds a copy of the ledger
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerMember {
    ///identity of its disk; a new one after the disk was lost
    pub disk: ::std::string::String,
    ///mesh address
    pub mesh: ::std::string::String,
    ///name of the instance
    pub name: ::std::string::String,
}
///asks a node for its records on behalf of a node that catches up
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerPull {
    ///number of the last record received; 0 for all
    pub after: u64,
    ///turns to keep longer, with those before them; those that the node lacks are ignored
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub extends: ::std::vec::Vec<TurnExtension>,
    pub view: LedgerView,
}
///hands records of a node that leaves to one that stays
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerPush {
    ///records
    pub records: ::std::vec::Vec<LedgerRecord>,
    pub view: LedgerView,
}
///what a ledger node writes to its disk
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum LedgerRecord {
    #[serde(rename = "reserved")]
    Reserved(ReservedTokens),
    #[serde(rename = "finished")]
    Finished(LedgerFinish),
    #[serde(rename = "joined")]
    Joined(JoinedView),
    #[serde(rename = "observed")]
    Observed(ObservedObjects),
    #[serde(rename = "struck")]
    Struck(PoisonStrike),
    #[serde(rename = "stream_began")]
    StreamBegan(StreamVersion),
    #[serde(rename = "suspected")]
    Suspected(SuspectedRun),
}
impl ::std::convert::From<ReservedTokens> for LedgerRecord {
    fn from(value: ReservedTokens) -> Self {
        Self::Reserved(value)
    }
}
impl ::std::convert::From<LedgerFinish> for LedgerRecord {
    fn from(value: LedgerFinish) -> Self {
        Self::Finished(value)
    }
}
impl ::std::convert::From<JoinedView> for LedgerRecord {
    fn from(value: JoinedView) -> Self {
        Self::Joined(value)
    }
}
impl ::std::convert::From<ObservedObjects> for LedgerRecord {
    fn from(value: ObservedObjects) -> Self {
        Self::Observed(value)
    }
}
impl ::std::convert::From<PoisonStrike> for LedgerRecord {
    fn from(value: PoisonStrike) -> Self {
        Self::Struck(value)
    }
}
impl ::std::convert::From<StreamVersion> for LedgerRecord {
    fn from(value: StreamVersion) -> Self {
        Self::StreamBegan(value)
    }
}
impl ::std::convert::From<SuspectedRun> for LedgerRecord {
    fn from(value: SuspectedRun) -> Self {
        Self::Suspected(value)
    }
}
///records of a node
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerRecords {
    ///whether the node has all that its disk should hold
    pub complete: bool,
    ///number of the last one
    pub last: u64,
    ///whether there are more
    pub more: bool,
    ///records
    pub records: ::std::vec::Vec<LedgerRecord>,
}
///what a ledger node answers
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum LedgerReply {
    #[serde(rename = "account")]
    Account(LedgerAccount),
    #[serde(rename = "stored")]
    Stored(LedgerStored),
    #[serde(rename = "stale")]
    Stale(LedgerStale),
    #[serde(rename = "records")]
    Records(LedgerRecords),
    #[serde(rename = "news")]
    News(FleetNews),
    #[serde(rename = "granted")]
    Granted(AllotmentGrant),
}
impl ::std::convert::From<LedgerAccount> for LedgerReply {
    fn from(value: LedgerAccount) -> Self {
        Self::Account(value)
    }
}
impl ::std::convert::From<LedgerStored> for LedgerReply {
    fn from(value: LedgerStored) -> Self {
        Self::Stored(value)
    }
}
impl ::std::convert::From<LedgerStale> for LedgerReply {
    fn from(value: LedgerStale) -> Self {
        Self::Stale(value)
    }
}
impl ::std::convert::From<LedgerRecords> for LedgerReply {
    fn from(value: LedgerRecords) -> Self {
        Self::Records(value)
    }
}
impl ::std::convert::From<FleetNews> for LedgerReply {
    fn from(value: FleetNews) -> Self {
        Self::News(value)
    }
}
impl ::std::convert::From<AllotmentGrant> for LedgerReply {
    fn from(value: AllotmentGrant) -> Self {
        Self::Granted(value)
    }
}
///what a ledger node is asked
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum LedgerRequest {
    #[serde(rename = "begin")]
    Begin(LedgerBegin),
    #[serde(rename = "spent")]
    Spent(LedgerSpent),
    #[serde(rename = "finish")]
    Finish(LedgerFinish),
    #[serde(rename = "history")]
    History(LedgerHistory),
    #[serde(rename = "pull")]
    Pull(LedgerPull),
    #[serde(rename = "push")]
    Push(LedgerPush),
    #[serde(rename = "report")]
    Report(DoorReport),
    #[serde(rename = "strikes")]
    Strikes(LedgerStrikes),
    #[serde(rename = "stream")]
    Stream(LedgerStream),
    #[serde(rename = "stream_began")]
    StreamBegan(StreamVersion),
    #[serde(rename = "allotment")]
    Allotment(AllotmentAsk),
}
impl ::std::convert::From<LedgerBegin> for LedgerRequest {
    fn from(value: LedgerBegin) -> Self {
        Self::Begin(value)
    }
}
impl ::std::convert::From<LedgerSpent> for LedgerRequest {
    fn from(value: LedgerSpent) -> Self {
        Self::Spent(value)
    }
}
impl ::std::convert::From<LedgerFinish> for LedgerRequest {
    fn from(value: LedgerFinish) -> Self {
        Self::Finish(value)
    }
}
impl ::std::convert::From<LedgerHistory> for LedgerRequest {
    fn from(value: LedgerHistory) -> Self {
        Self::History(value)
    }
}
impl ::std::convert::From<LedgerPull> for LedgerRequest {
    fn from(value: LedgerPull) -> Self {
        Self::Pull(value)
    }
}
impl ::std::convert::From<LedgerPush> for LedgerRequest {
    fn from(value: LedgerPush) -> Self {
        Self::Push(value)
    }
}
impl ::std::convert::From<DoorReport> for LedgerRequest {
    fn from(value: DoorReport) -> Self {
        Self::Report(value)
    }
}
impl ::std::convert::From<LedgerStrikes> for LedgerRequest {
    fn from(value: LedgerStrikes) -> Self {
        Self::Strikes(value)
    }
}
impl ::std::convert::From<LedgerStream> for LedgerRequest {
    fn from(value: LedgerStream) -> Self {
        Self::Stream(value)
    }
}
impl ::std::convert::From<StreamVersion> for LedgerRequest {
    fn from(value: StreamVersion) -> Self {
        Self::StreamBegan(value)
    }
}
impl ::std::convert::From<AllotmentAsk> for LedgerRequest {
    fn from(value: AllotmentAsk) -> Self {
        Self::Allotment(value)
    }
}
///disk of a ledger node
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    ///folder of the log; nothing else writes there
    pub data_dir: ::std::string::String,
}
///tokens that one turn holds of a budget
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerSpend {
    ///whether other members than the first ones of the program were asked, because one of those is out of reach
    pub away: bool,
    ///id of the turn
    pub request: ::std::string::String,
    ///whether the turn has ended and the number is final
    pub settled: bool,
    ///tokens held or spent
    pub tokens: u64,
}
///asks for the tokens that a program holds
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerSpent {
    ///program
    pub program: ::std::string::String,
}
///the sender or the node does not know the newest view; nothing was done
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerStale {
    pub view: LedgerView,
}
///the records of a question are on the disk of the node
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerStored {
    ///after a beginning: tokens held by turns of the program that changed since the account
    pub spends: ::std::vec::Vec<LedgerSpend>,
    ///number of the last record that is on disk
    pub through: u64,
}
///asks which software began a stream
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerStream {
    ///id of the attempt that brought its first event
    pub request: ::std::string::String,
}
///asks a ledger node to store strikes and unanswered runs
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerStrikes {
    ///runs that began or ceased to weigh
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub runs: ::std::vec::Vec<SuspectedRun>,
    ///strikes
    pub strikes: ::std::vec::Vec<PoisonStrike>,
}
///a turn that is kept
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerTurn {
    ///how long it is kept after its end
    pub keep_ms: u64,
    ///turn that it goes on from
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub previous: ::std::option::Option<::std::string::String>,
    ///its input, then each of its events with a line feed
    pub said: crate::schema::Octets,
}
///the nodes that hold the ledger, as agreed through the platform
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerView {
    ///number of the view; each change adds one
    pub epoch: u64,
    ///disks that may be lost at once
    pub lost_disks: u32,
    ///members in the order of their names
    pub members: ::std::vec::Vec<LedgerMember>,
}
///bounds of the doors
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LimitSettings {
    ///how long the body of a request may take
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub body_timeout_ms: u64,
    ///how long a leaving instance waits for requests in flight
    #[serde(default = "defaults::default_u64::<u64, 600000>")]
    pub drain_timeout_ms: u64,
    ///how long the head of a request may take, idle time included
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub head_timeout_ms: u64,
    ///largest body of a request
    #[serde(default = "defaults::default_u64::<u64, 6291456>")]
    pub max_body_bytes: u64,
    ///connections held at once for each door
    #[serde(default = "defaults::default_u64::<u32, 4096>")]
    pub max_connections: u32,
    ///messages in one request
    #[serde(default = "defaults::default_u64::<u32, 4096>")]
    pub max_messages: u32,
    ///largest new part of a turn or body of a call
    #[serde(default = "defaults::default_u64::<u64, 524288>")]
    pub max_turn_bytes: u64,
    ///how long a request may wait for its start before it is refused
    #[serde(default = "defaults::default_u64::<u64, 60000>")]
    pub request_timeout_ms: u64,
}
impl ::std::default::Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_timeout_ms: defaults::default_u64::<u64, 10000>(),
            drain_timeout_ms: defaults::default_u64::<u64, 600000>(),
            head_timeout_ms: defaults::default_u64::<u64, 30000>(),
            max_body_bytes: defaults::default_u64::<u64, 6291456>(),
            max_connections: defaults::default_u64::<u32, 4096>(),
            max_messages: defaults::default_u64::<u32, 4096>(),
            max_turn_bytes: defaults::default_u64::<u64, 524288>(),
            request_timeout_ms: defaults::default_u64::<u64, 60000>(),
        }
    }
}
///the limit of a replica, as all doors know it
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LimitShare {
    ///time since an answer last said so
    pub age_ms: u64,
    ///the same of all doors together
    pub all_demand_per_s: f64,
    ///requests a second that all doors together send to it
    pub all_sent_per_s: f64,
    ///requests a second that it takes from all doors together; absent once the limit is over
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limit_per_s: ::std::option::Option<f64>,
    ///requests a second that the door that asks would send to it
    pub own_demand_per_s: f64,
    ///id of the replica
    pub replica: ::std::string::String,
    ///start of its process
    pub started_unix_ms: u64,
}
///the limit of a replica, as a door knows it
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LimitUse {
    ///time since an answer last said so
    pub age_ms: u64,
    ///requests a second that the door would send to it
    pub demand_per_s: f64,
    ///requests a second that it takes from all doors together; absent once the limit is over
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limit_per_s: ::std::option::Option<f64>,
    ///id of the replica
    pub replica: ::std::string::String,
    ///requests a second that the door sends to it
    pub sent_per_s: f64,
    ///start of its process
    pub started_unix_ms: u64,
}
///addresses as IP and port
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ListenSettings {
    ///address of the callers' interface
    pub callers: ::std::string::String,
    ///address for the other instances; TCP and UDP
    pub mesh: ::std::string::String,
    ///address of the administration API and metrics
    pub operators: ::std::string::String,
}
///loads of the replicas that the sender serves
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LoadReport {
    ///loads
    pub loads: ::std::vec::Vec<ReplicaLoad>,
}
///form of log lines
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum LogFormat {
    #[serde(rename = "terminal")]
    Terminal,
    #[serde(rename = "json")]
    Json,
}
impl ::std::fmt::Display for LogFormat {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Terminal => f.write_str("terminal"),
            Self::Json => f.write_str("json"),
        }
    }
}
impl ::std::str::FromStr for LogFormat {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "terminal" => Ok(Self::Terminal),
            "json" => Ok(Self::Json),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogFormat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogFormat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for LogFormat {
    fn default() -> Self {
        LogFormat::Terminal
    }
}
///least level that is logged
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum LogLevel {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
}
impl ::std::fmt::Display for LogLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
        }
    }
}
impl ::std::str::FromStr for LogLevel {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for LogLevel {
    fn default() -> Self {
        LogLevel::Info
    }
}
///log lines
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LogSettings {
    ///form of the lines
    #[serde(default = "defaults::log_settings_format")]
    pub format: LogFormat,
    ///least level
    #[serde(default = "defaults::log_settings_level")]
    pub level: LogLevel,
}
impl ::std::default::Default for LogSettings {
    fn default() -> Self {
        Self {
            format: defaults::log_settings_format(),
            level: defaults::log_settings_level(),
        }
    }
}
///what is believed of a member
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum MemberHealth {
    #[serde(rename = "alive")]
    Alive,
    #[serde(rename = "suspect")]
    Suspect,
    #[serde(rename = "dead")]
    Dead,
    #[serde(rename = "left")]
    Left,
}
impl ::std::fmt::Display for MemberHealth {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Alive => f.write_str("alive"),
            Self::Suspect => f.write_str("suspect"),
            Self::Dead => f.write_str("dead"),
            Self::Left => f.write_str("left"),
        }
    }
}
impl ::std::str::FromStr for MemberHealth {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "alive" => Ok(Self::Alive),
            "suspect" => Ok(Self::Suspect),
            "dead" => Ok(Self::Dead),
            "left" => Ok(Self::Left),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for MemberHealth {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for MemberHealth {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///what is known of a member
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberRecord {
    ///callers' address
    pub callers: ::std::string::String,
    pub health: MemberHealth,
    ///incarnation; a newer one replaces an older
    pub incarnation: ::std::string::String,
    ///whether it is leaving
    pub leaving: bool,
    ///mesh address
    pub mesh: ::std::string::String,
    ///name
    pub name: ::std::string::String,
    ///grows when the member refutes a suspicion
    pub refutation: u32,
    ///region
    pub region: ::std::string::String,
    ///configuration in force
    pub release_version: u64,
    ///availability zone
    pub zone: ::std::string::String,
}
///probing between instances
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    ///most bytes a second that membership sends
    #[serde(default = "defaults::default_u64::<u64, 4096>")]
    pub max_bytes_per_second: u64,
    ///time between two probes
    #[serde(default = "defaults::default_u64::<u64, 400>")]
    pub probe_ms: u64,
    ///how long a direct probe waits for its answer
    #[serde(default = "defaults::default_u64::<u64, 150>")]
    pub probe_timeout_ms: u64,
    ///how long a suspected instance has to refute
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub suspicion_ms: u64,
}
impl ::std::default::Default for MembershipSettings {
    fn default() -> Self {
        Self {
            max_bytes_per_second: defaults::default_u64::<u64, 4096>(),
            probe_ms: defaults::default_u64::<u64, 400>(),
            probe_timeout_ms: defaults::default_u64::<u64, 150>(),
            suspicion_ms: defaults::default_u64::<u64, 1000>(),
        }
    }
}
///a frame with the sender's hybrid time
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MeshFrame {
    ///hybrid time of the sender
    pub at: u64,
    pub message: MeshMessage,
}
///first message on a connection
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MeshHello {
    ///deployment
    pub cluster: ::std::string::String,
    ///incarnation of the sender
    pub incarnation: ::std::string::String,
    ///mesh address of the sender
    #[serde(default)]
    pub mesh: ::std::string::String,
    ///name of the sender
    pub name: ::std::string::String,
    ///challenge, 32 hexadecimal digits
    pub nonce: ::std::string::String,
    ///newest version spoken
    pub protocol_version: u32,
}
///one frame between instances
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum MeshMessage {
    #[serde(rename = "forward")]
    Forward(Forward),
    #[serde(rename = "forward_event")]
    ForwardEvent(ForwardEvent),
    #[serde(rename = "cancel_request")]
    CancelRequest(CancelRequest),
    #[serde(rename = "dispatch")]
    Dispatch(Dispatch),
    #[serde(rename = "dispatch_event")]
    DispatchEvent(DispatchEvent),
    #[serde(rename = "cancel_job")]
    CancelJob(CancelJob),
    #[serde(rename = "release_pull")]
    ReleasePull(ReleasePull),
    #[serde(rename = "release_push")]
    ReleasePush(ReleasePush),
    #[serde(rename = "load")]
    Load(LoadReport),
    #[serde(rename = "status_pull")]
    StatusPull(StatusPull),
    #[serde(rename = "status_push")]
    StatusPush(StatusPush),
    #[serde(rename = "timeline_pull")]
    TimelinePull(TimelinePull),
    #[serde(rename = "timeline_push")]
    TimelinePush(TimelinePush),
    #[serde(rename = "poison")]
    Poison(PoisonHeld),
    #[serde(rename = "slot_moved")]
    SlotMoved(SlotMoved),
    #[serde(rename = "programs_pull")]
    ProgramsPull(ProgramsPull),
    #[serde(rename = "programs_push")]
    ProgramsPush(ProgramsPush),
    #[serde(rename = "drain")]
    Drain(DrainOrder),
    #[serde(rename = "ledger_ask")]
    LedgerAsk(LedgerAsk),
    #[serde(rename = "ledger_answer")]
    LedgerAnswer(LedgerAnswer),
}
impl ::std::convert::From<Forward> for MeshMessage {
    fn from(value: Forward) -> Self {
        Self::Forward(value)
    }
}
impl ::std::convert::From<ForwardEvent> for MeshMessage {
    fn from(value: ForwardEvent) -> Self {
        Self::ForwardEvent(value)
    }
}
impl ::std::convert::From<CancelRequest> for MeshMessage {
    fn from(value: CancelRequest) -> Self {
        Self::CancelRequest(value)
    }
}
impl ::std::convert::From<Dispatch> for MeshMessage {
    fn from(value: Dispatch) -> Self {
        Self::Dispatch(value)
    }
}
impl ::std::convert::From<DispatchEvent> for MeshMessage {
    fn from(value: DispatchEvent) -> Self {
        Self::DispatchEvent(value)
    }
}
impl ::std::convert::From<CancelJob> for MeshMessage {
    fn from(value: CancelJob) -> Self {
        Self::CancelJob(value)
    }
}
impl ::std::convert::From<ReleasePull> for MeshMessage {
    fn from(value: ReleasePull) -> Self {
        Self::ReleasePull(value)
    }
}
impl ::std::convert::From<ReleasePush> for MeshMessage {
    fn from(value: ReleasePush) -> Self {
        Self::ReleasePush(value)
    }
}
impl ::std::convert::From<LoadReport> for MeshMessage {
    fn from(value: LoadReport) -> Self {
        Self::Load(value)
    }
}
impl ::std::convert::From<StatusPull> for MeshMessage {
    fn from(value: StatusPull) -> Self {
        Self::StatusPull(value)
    }
}
impl ::std::convert::From<StatusPush> for MeshMessage {
    fn from(value: StatusPush) -> Self {
        Self::StatusPush(value)
    }
}
impl ::std::convert::From<TimelinePull> for MeshMessage {
    fn from(value: TimelinePull) -> Self {
        Self::TimelinePull(value)
    }
}
impl ::std::convert::From<TimelinePush> for MeshMessage {
    fn from(value: TimelinePush) -> Self {
        Self::TimelinePush(value)
    }
}
impl ::std::convert::From<PoisonHeld> for MeshMessage {
    fn from(value: PoisonHeld) -> Self {
        Self::Poison(value)
    }
}
impl ::std::convert::From<SlotMoved> for MeshMessage {
    fn from(value: SlotMoved) -> Self {
        Self::SlotMoved(value)
    }
}
impl ::std::convert::From<ProgramsPull> for MeshMessage {
    fn from(value: ProgramsPull) -> Self {
        Self::ProgramsPull(value)
    }
}
impl ::std::convert::From<ProgramsPush> for MeshMessage {
    fn from(value: ProgramsPush) -> Self {
        Self::ProgramsPush(value)
    }
}
impl ::std::convert::From<DrainOrder> for MeshMessage {
    fn from(value: DrainOrder) -> Self {
        Self::Drain(value)
    }
}
impl ::std::convert::From<LedgerAsk> for MeshMessage {
    fn from(value: LedgerAsk) -> Self {
        Self::LedgerAsk(value)
    }
}
impl ::std::convert::From<LedgerAnswer> for MeshMessage {
    fn from(value: LedgerAnswer) -> Self {
        Self::LedgerAnswer(value)
    }
}
///answer to a challenge
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MeshProof {
    ///keyed BLAKE3 of both challenges, as hexadecimal digits
    pub proof: ::std::string::String,
}
///how far a door knows the mirror of a node
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MirrorMark {
    ///last change that is known
    pub number: u64,
    ///prefix of the keys
    pub prefix: ::std::string::String,
    ///revision of the platform up to which the door knows all objects, through whatever node; 0 for none
    pub revision: u64,
    ///start of the node that numbered its changes; empty if the door knows nothing of the node
    pub start: ::std::string::String,
}
///what a door does not know yet of the mirror of a node
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MirrorNews {
    ///time since the platform answered the node; absent if it has not since its start
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub age_ms: ::std::option::Option<u64>,
    ///whether these, with the pages that follow, are all objects, and not only those that changed
    pub is_whole: bool,
    ///whether more is known than fits into one answer; the mark of these leads to the next
    pub more: bool,
    ///last change of the mirror
    pub number: u64,
    ///objects
    pub objects: ::std::vec::Vec<MirroredObject>,
    ///prefix of the keys
    pub prefix: ::std::string::String,
    ///revision of the platform up to which all changes were seen
    pub revision: u64,
    ///start of the node that numbered the changes; empty if the door should ask another node
    pub start: ::std::string::String,
}
///an object of the platform, or that it is gone
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MirroredObject {
    ///key of the object
    pub key: ::std::string::String,
    ///whether it vanished around an outage of the platform, and may be back soon
    pub may_have_lapsed: bool,
    ///its value; absent if it is gone
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub value: ::std::option::Option<crate::schema::Octets>,
    ///revision of its last change
    pub version: u64,
}
///a model that engines serve
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ModelEntry {
    ///whether its engines refuse orders with an old fencing number
    #[serde(default)]
    pub checks_fencing: bool,
    ///longest prompt and answer together
    #[serde(default = "defaults::default_u64::<u64, 400000>")]
    pub context_tokens: u64,
    ///name of the model
    pub id: ::std::string::String,
}
///news that asks for no answer
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct News {
    ///whether the receiver passes new records on at once
    #[serde(default)]
    pub urgent: bool,
}
///settings of a front door or a ledger node
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct NodeSettings {
    ///bounds that the deployment promises its callers
    pub bounds: BoundSettings,
    pub cluster: ClusterSettings,
    ///where a front door listens; absent on a ledger node
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub door: ::std::option::Option<DoorListen>,
    pub instance: InstanceSettings,
    ///disk of a ledger node; absent on a front door
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ledger: ::std::option::Option<LedgerSettings>,
    ///mesh addresses at which a front door first looks for ledger nodes; some may be gone
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub ledger_seeds: ::std::vec::Vec<::std::string::String>,
    ///log lines
    #[serde(default = "defaults::node_settings_log")]
    pub log: LogSettings,
    ///IP and port for the other processes of the deployment, TCP
    pub mesh: ::std::string::String,
    ///IP and port at which counters and histograms are served as text; absent for none
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub metrics: ::std::option::Option<::std::string::String>,
    pub platform: PlatformSettings,
    ///losses that nothing acknowledged may suffer from
    pub tolerance: ToleranceSettings,
    ///when requests leave the availability zone of their front door; absent to choose over all zones
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub zones: ::std::option::Option<ZoneSettings>,
}
///form of the object API: values under keys, or named objects of kinds
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ObjectForm {
    #[serde(rename = "keyed")]
    Keyed,
    #[serde(rename = "named")]
    Named,
}
impl ::std::fmt::Display for ObjectForm {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Keyed => f.write_str("keyed"),
            Self::Named => f.write_str("named"),
        }
    }
}
impl ::std::str::FromStr for ObjectForm {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "keyed" => Ok(Self::Keyed),
            "named" => Ok(Self::Named),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ObjectForm {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ObjectForm {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///objects of the platform that a node has seen change
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ObservedObjects {
    ///objects that changed
    pub objects: ::std::vec::Vec<MirroredObject>,
    ///prefix of their keys
    pub prefix: ::std::string::String,
    ///revision of the platform up to which all changes were seen
    pub revision: u64,
}
///opens a program
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OpenBody {
    ///agent program to run
    pub agent_program: ::std::string::String,
    ///budget of this run, at most that of the agent program
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub budget_tokens: ::std::option::Option<u64>,
    ///program that this one is a sub-agent of
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub parent: ::std::option::Option<::std::string::String>,
    ///identifier chosen by the caller; a repeat opens nothing new
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub program: ::std::option::Option<::std::string::String>,
}
///answer to an open request
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Opened {
    ///budget of the run
    pub budget_tokens: u64,
    pub history: HistoryState,
    ///identifier
    pub program: ::std::string::String,
    ///spent so far
    pub spent_tokens: u64,
}
///a program was opened
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OpenedRecord {
    ///agent program
    pub agent_program: ::std::string::String,
    ///reserved for the first turn
    pub allowance_tokens: u64,
    ///budget that the caller asked for; a repeat must ask for the same
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub asked_budget_tokens: ::std::option::Option<u64>,
    ///budget
    pub budget_tokens: u64,
    ///deadline
    pub deadline_unix_ms: u64,
    ///most turns
    pub max_turns: u32,
    ///model
    pub model: ::std::string::String,
    ///when it was opened
    #[serde(default)]
    pub opened_unix_ms: u64,
    ///parent
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub parent: ::std::option::Option<::std::string::String>,
    ///program
    pub program: ::std::string::String,
    ///prompt that starts the history
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub system_prompt: ::std::option::Option<::std::string::String>,
    ///workspace
    pub workspace: ::std::string::String,
}
///a key of an operator, hashed
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OperatorKey {
    ///BLAKE3 of the key, as 64 hexadecimal digits
    pub key_hash: ::std::string::String,
    ///name that appears in the history of releases
    pub operator: ::std::string::String,
}
///an answer, or a piece of one, from the owner
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    #[serde(rename = "token")]
    Token(Token),
    #[serde(rename = "opened")]
    Opened(Opened),
    #[serde(rename = "turned")]
    Turned(TurnAnswer),
    #[serde(rename = "called")]
    Called(CallAnswer),
    #[serde(rename = "ended")]
    Ended(ProgramState),
    #[serde(rename = "state")]
    State(ProgramState),
    #[serde(rename = "problem")]
    Problem(Problem),
}
impl ::std::convert::From<Token> for OwnerEvent {
    fn from(value: Token) -> Self {
        Self::Token(value)
    }
}
impl ::std::convert::From<Opened> for OwnerEvent {
    fn from(value: Opened) -> Self {
        Self::Opened(value)
    }
}
impl ::std::convert::From<TurnAnswer> for OwnerEvent {
    fn from(value: TurnAnswer) -> Self {
        Self::Turned(value)
    }
}
impl ::std::convert::From<CallAnswer> for OwnerEvent {
    fn from(value: CallAnswer) -> Self {
        Self::Called(value)
    }
}
impl ::std::convert::From<Problem> for OwnerEvent {
    fn from(value: Problem) -> Self {
        Self::Problem(value)
    }
}
///a request for the owner of a program
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum OwnerRequest {
    #[serde(rename = "open")]
    Open(ForwardedOpen),
    #[serde(rename = "turn")]
    Turn(ForwardedTurn),
    #[serde(rename = "call")]
    Call(ForwardedCall),
    #[serde(rename = "end")]
    End(ForwardedEnd),
    #[serde(rename = "state")]
    State(ForwardedState),
}
impl ::std::convert::From<ForwardedOpen> for OwnerRequest {
    fn from(value: ForwardedOpen) -> Self {
        Self::Open(value)
    }
}
impl ::std::convert::From<ForwardedTurn> for OwnerRequest {
    fn from(value: ForwardedTurn) -> Self {
        Self::Turn(value)
    }
}
impl ::std::convert::From<ForwardedCall> for OwnerRequest {
    fn from(value: ForwardedCall) -> Self {
        Self::Call(value)
    }
}
impl ::std::convert::From<ForwardedEnd> for OwnerRequest {
    fn from(value: ForwardedEnd) -> Self {
        Self::End(value)
    }
}
impl ::std::convert::From<ForwardedState> for OwnerRequest {
    fn from(value: ForwardedState) -> Self {
        Self::State(value)
    }
}
///a datagram as it is sent, with short names to save bytes; its tag covers the deployment
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PackedDatagram {
    pub b: DatagramBody,
    ///digest of the members that the sender believes to run
    #[serde(default)]
    pub d: u64,
    ///incarnation of the sender
    pub i: ::std::string::String,
    ///news of members
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub k: ::std::vec::Vec<PackedRecord>,
    ///name of the sender
    pub n: ::std::string::String,
    ///refutation number of the sender
    pub r: u32,
    ///configuration in force at the sender
    #[serde(default)]
    pub v: u64,
}
///a member record as datagrams carry it, with short names to save bytes
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PackedRecord {
    ///callers' address
    pub c: ::std::string::String,
    ///region
    pub g: ::std::string::String,
    ///health: 0 alive, 1 suspect, 2 dead, 3 left
    pub h: u8,
    ///incarnation
    pub i: ::std::string::String,
    ///whether it is leaving
    #[serde(default)]
    pub l: bool,
    ///mesh address
    pub m: ::std::string::String,
    ///name
    pub n: ::std::string::String,
    ///refutation number
    pub r: u32,
    ///configuration in force
    #[serde(default)]
    pub v: u64,
    ///zone
    pub z: ::std::string::String,
}
///the object API of the platform
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    ///IP and port of the object API
    pub address: ::std::string::String,
    ///most calls a second this instance makes
    #[serde(default = "defaults::default_u64::<u32, 200>")]
    pub calls_per_second: u32,
    ///form of the object API
    #[serde(default = "defaults::platform_settings_form")]
    pub form: ObjectForm,
    ///how long one call may take, watches excluded
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub timeout_ms: u64,
    ///how long one watch waits
    #[serde(default = "defaults::default_u64::<u64, 20000>")]
    pub watch_ms: u64,
}
///a content that killed upstreams
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PoisonHeld {
    ///last change
    pub changed_unix_ms: u64,
    ///upstreams that died
    pub deaths: u32,
    ///digest of the content
    pub digest: ::std::string::String,
    ///whether an operator lifted it
    pub lifted: bool,
}
///lets a content run again
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PoisonLiftBody {
    ///digest of the content
    pub digest: ::std::string::String,
}
///a replica ended under a request
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PoisonStrike {
    ///whether a replica has since run the content to a successful end, so that the victim no longer counts
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub acquitted: ::std::option::Option<bool>,
    ///digest of the content of the request
    pub content: ::std::string::String,
    ///start of the replica, and the request; the same victim told twice counts once
    pub victim: ::std::string::String,
}
///asks for a sign of life
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Probe {
    ///number of the probe
    pub sequence: u64,
}
///a sign of life
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProbeAck {
    ///number of the probe
    pub sequence: u64,
    ///whether the record of the prober is unknown to the sender
    #[serde(default)]
    pub wants_record: bool,
}
///asks another member to probe
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProbeRequest {
    ///number of the probe
    pub sequence: u64,
    ///mesh address of the target
    pub target: ::std::string::String,
}
///a typed refusal (RFC 9457)
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Problem {
    ///stable code
    pub code: ::std::string::String,
    ///a sentence for people
    pub detail: ::std::string::String,
    ///what is known of the history
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub known: ::std::option::Option<HistoryState>,
    ///JSON pointer of the fault
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub place: ::std::option::Option<::std::string::String>,
    pub ran: Ran,
    ///when to come back
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    ///HTTP status
    pub status: u16,
}
///how far a program has come
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ProgramPhase {
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "ended")]
    Ended,
}
impl ::std::fmt::Display for ProgramPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Running => f.write_str("running"),
            Self::Ended => f.write_str("ended"),
        }
    }
}
impl ::std::str::FromStr for ProgramPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "running" => Ok(Self::Running),
            "ended" => Ok(Self::Ended),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ProgramPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProgramPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///state of a program
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProgramState {
    ///agent program
    pub agent_program: ::std::string::String,
    ///budget
    pub budget_tokens: u64,
    ///calls of the program
    pub calls: ::std::vec::Vec<CallAnswer>,
    ///sub-agents
    pub children: ::std::vec::Vec<::std::string::String>,
    ///why it ended
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ended_reason: ::std::option::Option<::std::string::String>,
    pub history: HistoryState,
    ///name of the owning instance
    pub owner: ::std::string::String,
    ///parent
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub parent: ::std::option::Option<::std::string::String>,
    pub phase: ProgramPhase,
    ///identifier
    pub program: ::std::string::String,
    ///reserved and not settled
    pub reserved_tokens: u64,
    ///settled
    pub spent_tokens: u64,
    ///workspace
    pub workspace: ::std::string::String,
}
///asks for the programs that an instance owns
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProgramsPull {
    ///number of the question
    pub id: u64,
    ///most programs
    pub limit: u32,
    ///only of this workspace
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub workspace: ::std::option::Option<::std::string::String>,
}
///programs of one instance
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProgramsPush {
    ///number of the question
    pub id: u64,
    ///programs
    pub programs: ::std::vec::Vec<ProgramState>,
}
///whether a refused request ran
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Ran {
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "ran")]
    Ran,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Ran {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::Ran => f.write_str("ran"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Ran {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///one record of the journal
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum Record {
    #[serde(rename = "opened")]
    Opened(OpenedRecord),
    #[serde(rename = "reserved")]
    Reserved(ReservedRecord),
    #[serde(rename = "turned")]
    Turned(TurnedRecord),
    #[serde(rename = "charged")]
    Charged(ChargedRecord),
    #[serde(rename = "intended")]
    Intended(IntendedRecord),
    #[serde(rename = "resolved")]
    Resolved(ResolvedRecord),
    #[serde(rename = "ended")]
    Ended(EndedRecord),
    #[serde(rename = "forgotten")]
    Forgotten(ForgottenRecord),
    #[serde(rename = "imaged")]
    Imaged(ImagedRecord),
    #[serde(rename = "imaged_messages")]
    ImagedMessages(ImagedMessagesRecord),
    #[serde(rename = "adopted")]
    Adopted(AdoptedRecord),
    #[serde(rename = "imaged_calls")]
    ImagedCalls(ImagedCallsRecord),
}
impl ::std::convert::From<OpenedRecord> for Record {
    fn from(value: OpenedRecord) -> Self {
        Self::Opened(value)
    }
}
impl ::std::convert::From<ReservedRecord> for Record {
    fn from(value: ReservedRecord) -> Self {
        Self::Reserved(value)
    }
}
impl ::std::convert::From<TurnedRecord> for Record {
    fn from(value: TurnedRecord) -> Self {
        Self::Turned(value)
    }
}
impl ::std::convert::From<ChargedRecord> for Record {
    fn from(value: ChargedRecord) -> Self {
        Self::Charged(value)
    }
}
impl ::std::convert::From<IntendedRecord> for Record {
    fn from(value: IntendedRecord) -> Self {
        Self::Intended(value)
    }
}
impl ::std::convert::From<ResolvedRecord> for Record {
    fn from(value: ResolvedRecord) -> Self {
        Self::Resolved(value)
    }
}
impl ::std::convert::From<EndedRecord> for Record {
    fn from(value: EndedRecord) -> Self {
        Self::Ended(value)
    }
}
impl ::std::convert::From<ForgottenRecord> for Record {
    fn from(value: ForgottenRecord) -> Self {
        Self::Forgotten(value)
    }
}
impl ::std::convert::From<ImagedRecord> for Record {
    fn from(value: ImagedRecord) -> Self {
        Self::Imaged(value)
    }
}
impl ::std::convert::From<ImagedMessagesRecord> for Record {
    fn from(value: ImagedMessagesRecord) -> Self {
        Self::ImagedMessages(value)
    }
}
impl ::std::convert::From<AdoptedRecord> for Record {
    fn from(value: AdoptedRecord) -> Self {
        Self::Adopted(value)
    }
}
impl ::std::convert::From<ImagedCallsRecord> for Record {
    fn from(value: ImagedCallsRecord) -> Self {
        Self::ImagedCalls(value)
    }
}
///a note is in force from a version on
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReleaseAccepted {
    ///whether the note was accepted before
    pub repeated: bool,
    ///version
    pub version: u64,
}
///findings of a note
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReleaseCheck {
    ///whether releases accepted since the note was written are among the reasons
    #[serde(default)]
    pub conflict: bool,
    ///faults with their places; none when the note can be accepted
    pub findings: ::std::vec::Vec<FindingRow>,
    ///version that the note was checked against
    pub version: u64,
}
///what a note would change
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReleaseDiff {
    ///entries in the order of the note
    pub changes: ::std::vec::Vec<EntryChange>,
    ///version that the note was compared with
    pub version: u64,
}
///one thing that a release note adds or changes
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ReleaseEntry {
    #[serde(rename = "workspace")]
    Workspace(WorkspaceEntry),
    #[serde(rename = "agent_program")]
    AgentProgram(AgentProgramEntry),
    #[serde(rename = "model")]
    Model(ModelEntry),
    #[serde(rename = "service")]
    Service(ServiceEntry),
}
impl ::std::convert::From<WorkspaceEntry> for ReleaseEntry {
    fn from(value: WorkspaceEntry) -> Self {
        Self::Workspace(value)
    }
}
impl ::std::convert::From<AgentProgramEntry> for ReleaseEntry {
    fn from(value: AgentProgramEntry) -> Self {
        Self::AgentProgram(value)
    }
}
impl ::std::convert::From<ModelEntry> for ReleaseEntry {
    fn from(value: ModelEntry) -> Self {
        Self::Model(value)
    }
}
impl ::std::convert::From<ServiceEntry> for ReleaseEntry {
    fn from(value: ServiceEntry) -> Self {
        Self::Service(value)
    }
}
///recognises a repeated note
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReleaseMark {
    ///digest of the note
    pub mark: ::std::string::String,
    ///version that the note made
    pub version: u64,
}
///what an operator adds, changes and withdraws
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReleaseNote {
    ///entries that must not exist yet
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub added: ::std::vec::Vec<ReleaseEntry>,
    ///version of the configuration that the note was written against
    pub against_version: u64,
    ///entries that must exist; each replaces the old one
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub changed: ::std::vec::Vec<ReleaseEntry>,
    ///one line for the history
    #[serde(default)]
    pub summary: ::std::string::String,
    ///entries that must exist and go
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub withdrawn: ::std::vec::Vec<EntryName>,
}
///asks for the releases after a version
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReleasePull {
    ///newest version known
    pub after_version: u64,
    ///number of the question
    pub id: u64,
    ///part that is wanted
    #[serde(default)]
    pub part: u32,
    ///snapshot whose next part is wanted, 0 without one
    #[serde(default)]
    pub snapshot_version: u64,
}
///releases in order
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReleasePush {
    ///whether the sender has no configuration in force yet
    #[serde(default)]
    pub fresh: bool,
    ///number of the question, 0 without one
    pub id: u64,
    ///newest version that the sender knows
    pub latest_version: u64,
    ///releases
    pub releases: ::std::vec::Vec<AcceptedRelease>,
    ///a part of a snapshot, for a peer that is too far behind
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub snapshot: ::std::vec::Vec<SnapshotPart>,
}
///where the newest release is in force
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReleaseStatus {
    ///live instances
    pub instances: ::std::vec::Vec<InstanceVersion>,
    ///newest version
    pub version: u64,
}
///what a dispatcher knows of its replica
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReplicaLoad {
    ///age of the reading
    pub age_ms: u64,
    ///requests waiting
    pub queued: u32,
    ///uncached prompt tokens waiting
    pub queued_tokens: u64,
    ///replica
    pub replica: ::std::string::String,
    ///requests inside
    pub running: u32,
    ///measured time between tokens
    #[serde(default)]
    pub token_gap_ms: u64,
    ///measured speed of reading uncached prompt tokens, zero when unknown
    #[serde(default)]
    pub uncached_per_second: u64,
    ///expected wait of a turn that joins the queue now
    #[serde(default)]
    pub wait_ms: u64,
    ///limit in force
    pub window: u32,
}
///one replica of a model as the administration API shows it
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReplicaRow {
    ///HTTP address
    pub address: ::std::string::String,
    ///instance that holds its queue
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub dispatcher: ::std::option::Option<::std::string::String>,
    ///whether it takes no new work
    pub leaving: bool,
    ///what its dispatcher last reported
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub load: ::std::option::Option<ReplicaLoad>,
    ///model that it serves
    pub model: ::std::string::String,
    ///name from the platform's list
    pub name: ::std::string::String,
    ///availability zone
    pub zone: ::std::string::String,
}
///requests under way at a replica
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReplicaUse {
    ///id of the replica
    pub replica: ::std::string::String,
    ///requests under way
    pub running: u32,
}
///tokens are reserved for a turn
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReservedRecord {
    ///reserved from now on, instead of what was reserved before
    pub allowance_tokens: u64,
    ///program
    pub program: ::std::string::String,
    ///turn
    pub turn: u32,
}
///a turn holds tokens
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReservedTokens {
    ///whether other members than the first ones of the program were asked, because one of those is out of reach
    pub away: bool,
    ///program
    pub program: ::std::string::String,
    ///id of the turn
    pub request: ::std::string::String,
    ///tokens held
    pub tokens: u64,
}
///a call has an outcome
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ResolvedRecord {
    ///answer
    pub body: ::serde_json::Value,
    ///call
    pub call: ::std::string::String,
    ///program
    pub program: ::std::string::String,
    pub state: CallState,
    ///HTTP status
    pub status: u16,
}
///who speaks
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Role {
    #[serde(rename = "system")]
    System,
    #[serde(rename = "developer")]
    Developer,
    #[serde(rename = "user")]
    User,
    #[serde(rename = "assistant")]
    Assistant,
    #[serde(rename = "tool")]
    Tool,
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::System => f.write_str("system"),
            Self::Developer => f.write_str("developer"),
            Self::User => f.write_str("user"),
            Self::Assistant => f.write_str("assistant"),
            Self::Tool => f.write_str("tool"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "system" => Ok(Self::System),
            "developer" => Ok(Self::Developer),
            "user" => Ok(Self::User),
            "assistant" => Ok(Self::Assistant),
            "tool" => Ok(Self::Tool),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///ends a journal
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Seal {
    ///incarnation that sealed it
    pub by: ::std::string::String,
}
///a plain service
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    ///whether it refuses orders with an old fencing number
    #[serde(default)]
    pub checks_fencing: bool,
    ///whether it answers look-ups by request id
    #[serde(default)]
    pub finds_by_key: bool,
    ///name of the service
    pub id: ::std::string::String,
    ///how long one call may take
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub timeout_ms: u64,
}
///settings of one instance
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Settings {
    pub cluster: ClusterSettings,
    ///queues before the upstreams
    #[serde(default = "defaults::settings_dispatch")]
    pub dispatch: DispatchSettings,
    pub instance: InstanceSettings,
    ///bounds of the callers' and operators' doors
    #[serde(default = "defaults::settings_limits")]
    pub limits: LimitSettings,
    pub listen: ListenSettings,
    ///log lines
    #[serde(default = "defaults::settings_log")]
    pub log: LogSettings,
    ///probing between instances
    #[serde(default = "defaults::settings_membership")]
    pub membership: MembershipSettings,
    ///keys that open the administration API
    pub operator_keys: ::std::vec::Vec<OperatorKey>,
    pub platform: PlatformSettings,
    ///journal and ownership
    #[serde(default = "defaults::settings_state")]
    pub state: StateSettings,
    ///worker threads
    #[serde(default = "defaults::default_u64::<u32, 2>")]
    pub thread_count: u32,
}
///a slot has a new owner
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SlotMoved {
    ///epoch
    pub epoch: u64,
    ///incarnation of the owner
    pub owner: ::std::string::String,
    ///slot
    pub slot: u32,
}
///who owns a slot
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SlotObject {
    ///grows with each change
    pub epoch: u64,
    ///incarnation of the owner
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub owner: ::std::option::Option<::std::string::String>,
    ///name of the owning instance; a newer incarnation of the same name proves the owner gone
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub owner_name: ::std::option::Option<::std::string::String>,
    ///journals that the owner has not yet copied into its own, oldest first
    pub sources: ::std::vec::Vec<JournalSource>,
}
///one entry of a configuration, or what is left of a withdrawn one
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SnapshotEntry {
    ///release that added it
    pub created_version: u64,
    ///the entry; none after a withdrawal
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub entry: ::std::option::Option<ReleaseEntry>,
    pub name: EntryName,
    ///who touched it last
    pub operator: ::std::string::String,
    ///when it was touched last
    pub unix_ms: u64,
    ///release that touched it last
    pub version: u64,
}
///makes a snapshot valid; written after its parts
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SnapshotManifest {
    ///digest of all parts in order
    pub digest: ::std::string::String,
    ///parts of the snapshot
    pub part_count: u32,
    ///version of the configuration
    pub version: u64,
}
///part of a whole configuration with its history
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SnapshotPart {
    ///entries in order
    pub entries: ::std::vec::Vec<SnapshotEntry>,
    ///notes written against an older version cannot be checked
    pub floor_version: u64,
    ///notes accepted lately
    pub marks: ::std::vec::Vec<ReleaseMark>,
    ///number of this part, from 0
    pub part: u32,
    ///parts of the snapshot
    pub part_count: u32,
    ///version of the configuration
    pub version: u64,
}
///journal and ownership
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StateSettings {
    ///tokens reserved for the next turn together with the record of the last
    #[serde(default = "defaults::default_u64::<u64, 4096>")]
    pub allowance_tokens: u64,
    ///journal size since the last snapshot that starts a new one
    #[serde(default = "defaults::default_u64::<u64, 67108864>")]
    pub compact_bytes: u64,
    ///journal entries since the last snapshot that start a new one
    #[serde(default = "defaults::default_u64::<u32, 2000>")]
    pub compact_entries: u32,
    ///how long the state of an ended program can be read
    #[serde(default = "defaults::default_u64::<u64, 600000>")]
    pub ended_keep_ms: u64,
    ///least time between two commits to the journal
    #[serde(default = "defaults::default_u64::<u64, 5>")]
    pub gather_ms: u64,
    ///how long the view of members stays unchanged before slots move
    #[serde(default = "defaults::default_u64::<u64, 1500>")]
    pub handover_delay_ms: u64,
    ///largest journal entry; the platform holds values up to a megabyte
    #[serde(default = "defaults::default_u64::<u64, 786432>")]
    pub max_entry_bytes: u64,
    ///time between two searches for journals that nobody needs
    #[serde(default = "defaults::default_u64::<u64, 60000>")]
    pub sweep_ms: u64,
    ///how long an owner stays dead before a takeover is tried
    #[serde(default = "defaults::default_u64::<u64, 300>")]
    pub takeover_delay_ms: u64,
    ///writes a second that the journals of all instances together may make, half of them deletions
    #[serde(default = "defaults::default_u64::<u64, 300>")]
    pub writes_per_second: u64,
}
impl ::std::default::Default for StateSettings {
    fn default() -> Self {
        Self {
            allowance_tokens: defaults::default_u64::<u64, 4096>(),
            compact_bytes: defaults::default_u64::<u64, 67108864>(),
            compact_entries: defaults::default_u64::<u32, 2000>(),
            ended_keep_ms: defaults::default_u64::<u64, 600000>(),
            gather_ms: defaults::default_u64::<u64, 5>(),
            handover_delay_ms: defaults::default_u64::<u64, 1500>(),
            max_entry_bytes: defaults::default_u64::<u64, 786432>(),
            sweep_ms: defaults::default_u64::<u64, 60000>(),
            takeover_delay_ms: defaults::default_u64::<u64, 300>(),
            writes_per_second: defaults::default_u64::<u64, 300>(),
        }
    }
}
///asks for the state of an instance
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StatusPull {
    ///number of the question
    pub id: u64,
}
///state of an instance
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StatusPush {
    ///number of the question
    pub id: u64,
    pub status: InstanceStatus,
}
///the software that began a stream
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StreamVersion {
    ///how long a caller may still take the stream up
    pub keep_ms: u64,
    ///id of the attempt that brought its first event
    pub request: ::std::string::String,
    ///service of the replica
    pub service: ::std::string::String,
    ///version of the replica's software; absent if several were told for the attempt
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub version: ::std::option::Option<::std::string::String>,
}
///how far a door knows the strikes of a ledger node
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StrikesMark {
    ///last record that is known
    pub number: u64,
    ///start of the node that numbered its records
    pub start: ::std::string::String,
}
///a run without an answer, whose replica may have ended under it
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SuspectedRun {
    ///times that it began or ceased to weigh; it weighs while this is odd
    pub changes: u64,
    ///digest of the content of the request
    pub content: ::std::string::String,
    ///replica that had the run
    pub replica: ::std::string::String,
    ///start of the replica's process in Unix milliseconds
    pub replica_started: u64,
    ///id of the request
    pub request: ::std::string::String,
}
///digests of the members known, by bucket of their names
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SyncBuckets {
    ///digest of each bucket; the number of buckets is a power of two
    pub digests: ::std::vec::Vec<u32>,
}
///members known in one bucket
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SyncNames {
    ///number of this bucket
    pub bucket: u32,
    ///number of buckets
    pub bucket_count: u32,
    ///hash of each name
    pub names: ::std::vec::Vec<u32>,
    ///hash of what is known of each, in the order of the names
    pub versions: ::std::vec::Vec<u32>,
}
///asks for the records of running members in the order of their names
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SyncPage {
    ///name after which to begin
    pub after: ::std::string::String,
}
///answers a page; the records stand in the datagram
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SyncRecords {
    ///name after which the page begins
    pub after: ::std::string::String,
    ///last name of the page; empty when no record follows
    pub last: ::std::string::String,
}
///asks for records
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SyncWanted {
    ///hash of each name
    pub names: ::std::vec::Vec<u32>,
}
///one event of the time line
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TimelineEvent {
    ///hybrid time: milliseconds in the upper 48 bits, a counter in the lower 16
    pub at: u64,
    ///a sentence
    pub detail: ::std::string::String,
    ///instance
    pub instance: ::std::string::String,
    ///program
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub program: ::std::option::Option<::std::string::String>,
    ///what it happened to
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub subject: ::std::option::Option<::std::string::String>,
    ///what happened
    pub what: ::std::string::String,
}
///asks for events
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TimelinePull {
    ///number of the question
    pub id: u64,
    ///most events
    pub limit: u32,
    ///only of this program
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub program: ::std::option::Option<::std::string::String>,
    ///only of this subject
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub subject: ::std::option::Option<::std::string::String>,
}
///events
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TimelinePush {
    ///events
    pub events: ::std::vec::Vec<TimelineEvent>,
    ///number of the question
    pub id: u64,
}
///a piece of a streamed answer
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Token {
    ///text
    pub text: ::std::string::String,
}
///losses that nothing acknowledged may suffer from
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ToleranceSettings {
    ///ledger nodes that may lose their disks at once
    pub lost_disks: u32,
}
///whole answer of a turn
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TurnAnswer {
    ///budget of the run
    pub budget_tokens: u64,
    ///why the engine stopped
    pub finish_reason: ::std::string::String,
    pub history: HistoryState,
    pub message: ChatMessage,
    ///identifier
    pub program: ::std::string::String,
    ///whether the answer was kept from an earlier request
    pub replayed: bool,
    ///spent so far, sub-agents included
    pub spent_tokens: u64,
    ///number of the turn
    pub turn: u32,
    pub usage: Usage,
}
///asks for the next turn
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TurnBody {
    ///digest of the history that the new messages extend; without it `messages` is the whole list
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub extends: ::std::option::Option<::std::string::String>,
    ///most tokens to generate
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u64>,
    ///new messages, or the whole list
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///whether to send tokens as they come
    #[serde(default)]
    pub stream: bool,
    ///sampling temperature
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub temperature: ::std::option::Option<f64>,
    ///number of the turn, from 1
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub turn: ::std::option::Option<u32>,
}
///a newer turn that goes on from this one is kept
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TurnExtension {
    ///how much longer it is kept at least
    pub keep_ms: u64,
    ///id of the turn
    pub turn: ::std::string::String,
}
///one turn for a replica
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TurnJob {
    ///attempt number
    pub attempt: u32,
    ///estimated tokens in the replica's cache
    pub cached_tokens: u64,
    ///digest of the content
    pub content_digest: ::std::string::String,
    ///how long the turn may still take
    pub deadline_ms: u64,
    ///most tokens to generate
    pub max_tokens: u64,
    ///whole prompt
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///model
    pub model: ::std::string::String,
    ///program
    pub program: ::std::string::String,
    ///what the program has used so far
    pub program_service_tokens: u64,
    ///estimated tokens of the prompt
    pub prompt_tokens: u64,
    ///replica that the owner chose
    pub replica: ::std::string::String,
    ///turn
    pub turn: u32,
    ///how long the turn has waited before
    pub waited_ms: u64,
    ///workspace
    pub workspace: ::std::string::String,
}
///a turn was answered
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TurnedRecord {
    ///reserved for the next turn
    pub allowance_tokens: u64,
    pub answer: ChatMessage,
    ///charged to the budget
    pub charged_tokens: u64,
    ///why the engine stopped
    pub finish_reason: ::std::string::String,
    ///new messages
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///program
    pub program: ::std::string::String,
    ///digest of the request
    pub request_digest: ::std::string::String,
    ///turn
    pub turn: u32,
    pub usage: Usage,
}
///tokens of one turn
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Usage {
    ///prompt tokens found in the replica's cache
    pub cached_tokens: u64,
    ///generated tokens
    pub completion_tokens: u64,
    ///tokens of the prompt
    pub prompt_tokens: u64,
}
///a workspace: one customer's programs and their standing
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    ///name of the workspace
    pub id: ::std::string::String,
    ///BLAKE3 of each key in force, as hexadecimal digits; two overlap during a rotation
    pub key_hashes: ::std::vec::Vec<::std::string::String>,
    ///programs that may run at once; kept and shown, not enforced yet
    #[serde(default = "defaults::default_u64::<u32, 100000>")]
    pub max_running: u32,
    ///share of the engines relative to other workspaces
    #[serde(default = "defaults::default_u64::<u32, 100>")]
    pub weight: u32,
}
///when requests leave the availability zone of their front door
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ZoneSettings {
    ///wait that leaving the zone has to save a request: the longer way and the price of its bytes
    pub leave_cost_ms: f64,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_bool<const V: bool>() -> bool {
        V
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn end_body_reason() -> ::std::string::String {
        "finished".to_string()
    }
    pub(super) fn log_settings_format() -> super::LogFormat {
        super::LogFormat::Terminal
    }
    pub(super) fn log_settings_level() -> super::LogLevel {
        super::LogLevel::Info
    }
    pub(super) fn node_settings_log() -> super::LogSettings {
        super::LogSettings {
            format: super::LogFormat::Terminal,
            level: super::LogLevel::Info,
        }
    }
    pub(super) fn platform_settings_form() -> super::ObjectForm {
        super::ObjectForm::Keyed
    }
    pub(super) fn settings_dispatch() -> super::DispatchSettings {
        super::DispatchSettings {
            first_token_target_ms: 1400_u64,
            initial_window: 16_u32,
            load_poll_ms: 500_u64,
            max_queue_ms: 30000_u64,
            max_window: 256_u32,
            retry_share_percent: 10_u32,
            token_gap_target_ms: 70_u64,
        }
    }
    pub(super) fn settings_limits() -> super::LimitSettings {
        super::LimitSettings {
            body_timeout_ms: 10000_u64,
            drain_timeout_ms: 600000_u64,
            head_timeout_ms: 30000_u64,
            max_body_bytes: 6291456_u64,
            max_connections: 4096_u32,
            max_messages: 4096_u32,
            max_turn_bytes: 524288_u64,
            request_timeout_ms: 60000_u64,
        }
    }
    pub(super) fn settings_log() -> super::LogSettings {
        super::LogSettings {
            format: super::LogFormat::Terminal,
            level: super::LogLevel::Info,
        }
    }
    pub(super) fn settings_membership() -> super::MembershipSettings {
        super::MembershipSettings {
            max_bytes_per_second: 4096_u64,
            probe_ms: 400_u64,
            probe_timeout_ms: 150_u64,
            suspicion_ms: 1000_u64,
        }
    }
    pub(super) fn settings_state() -> super::StateSettings {
        super::StateSettings {
            allowance_tokens: 4096_u64,
            compact_bytes: 67108864_u64,
            compact_entries: 2000_u32,
            ended_keep_ms: 600000_u64,
            gather_ms: 5_u64,
            handover_delay_ms: 1500_u64,
            max_entry_bytes: 786432_u64,
            sweep_ms: 60000_u64,
            takeover_delay_ms: 300_u64,
            writes_per_second: 300_u64,
        }
    }
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
