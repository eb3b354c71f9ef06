use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_channel::Sender;
use flamingo_edge::Spawner;
use slog::Logger;
use slotmap::new_key_type;

use crate::clock::Now;
use crate::config::Configuration;
use crate::dispatch::DispatchInput;
use crate::dispatch::Replica;
use crate::dispatch::Router;
use crate::ids::SlotId;
use crate::instance::Registry;
use crate::instance::UpstreamView;
use crate::instance::queries::OwnerCounts;
use crate::instance::queries::OwnerQuery;
use crate::instance::queries::ReleaseQuery;
use crate::member::MemberView;
use crate::membership::MembershipInput;
use crate::mesh::ConnectionId;
use crate::mesh::Mesh;
use crate::mesh::PeerIdentity;
use crate::owner::OwnerInput;
use crate::platform::Platform;
use crate::release::ReleaseAnswer;
use crate::release::ReleaseInput;
use crate::schema::CancelRequest;
use crate::schema::InstanceStatus;
use crate::schema::MeshMessage;
use crate::schema::OwnerEvent;
use crate::schema::ProgramState;
use crate::schema::TimelineEvent;
use crate::settings::Settings;
use crate::slots::SlotTable;
use crate::telemetry::Recorder;
use crate::timeline::Timeline;
use crate::upstream::EngineClient;
use crate::upstream::ServiceClient;

new_key_type! {
    /// names a caller's request at the owner.
    pub struct AskerKey;
    /// names a request that went to another instance.
    pub struct ForwardKey;
    /// names a turn on its way to a dispatcher.
    pub struct JobKey;
    /// names a turn at the dispatcher of its replica.
    pub struct TurnKey;
    /// names an operator's question to other instances.
    pub struct QuestionKey;
}

/// who gets the answer of an owner.
#[derive(Clone, Debug)]
pub(crate) enum Asker {
    /// a caller of this instance.
    Door(Sender<OwnerEvent>),
    /// another instance, under its own number.
    Peer { peer: PeerIdentity, id: u64 },
}

/// a request that went to another instance.
#[derive(Clone, Debug)]
pub(crate) struct Forwarded {
    /// mesh address of the instance.
    pub(crate) peer: SocketAddr,
    /// connection that carries it, once known.
    pub(crate) connection: Option<ConnectionId>,
    /// takes the answer.
    pub(crate) sender: Sender<OwnerEvent>,
}

/// a turn on its way to the dispatcher of a replica.
#[derive(Clone, Debug)]
pub(crate) struct JobRoute {
    /// number that the owner gave.
    pub(crate) job: u64,
    /// the owner's inbox at that time.
    pub(crate) inbox: Sender<OwnerInput>,
    /// mesh address of the dispatcher, or none for this instance.
    pub(crate) peer: Option<SocketAddr>,
    /// connection that carries it, once known.
    pub(crate) connection: Option<ConnectionId>,
    pub(crate) replica: String,
    pub(crate) program: String,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) sent_ms: u64,
    pub(crate) first_token_ms: Option<u64>,
}

/// where a turn at a dispatcher came from.
#[derive(Clone, Debug)]
pub(crate) enum TurnOrigin {
    /// the owner of this instance, under the number of its route.
    Local { number: u64 },
    /// another instance, under its own number.
    Peer { peer: PeerIdentity, id: u64 },
}

/// what an operator's question waits for.
#[derive(Clone, Debug)]
pub(crate) enum Question {
    Status(Sender<InstanceStatus>),
    Timeline(Sender<Vec<TimelineEvent>>),
    Release(Sender<ReleaseAnswer>),
    Programs(Sender<Vec<ProgramState>>),
}

/// what all tasks of one instance share: snapshots, inboxes and edges.
pub struct Shared {
    /// settings of the instance.
    pub settings: Settings,
    /// slots that programs hash to.
    pub slot_count: u32,
    /// starts tasks.
    pub spawner: Spawner,
    /// log of state changes.
    pub log: Logger,
    /// counters and histograms of this process.
    pub metrics: Recorder,
    /// the time line of this instance.
    pub timeline: Arc<Timeline>,
    /// the edge to the platform.
    pub platform: Arc<dyn Platform>,
    /// members as last seen.
    pub view: ArcSwap<MemberView>,
    /// owners of the slots as last seen.
    pub slots: ArcSwap<SlotTable>,
    /// configuration in force.
    pub configuration: ArcSwap<Configuration>,
    /// upstreams as last listed.
    pub upstreams: ArcSwap<UpstreamView>,
    /// replicas whose queues this instance holds.
    pub served: ArcSwap<Vec<Replica>>,
    /// whether this instance is leaving.
    pub leaving: AtomicBool,
    /// counts service calls, so that each starts at another replica.
    pub service_turn: AtomicUsize,
    /// callers' requests under way.
    pub in_flight: AtomicUsize,
    /// chooses replicas; locked for one decision.
    pub router: Mutex<Router>,
    /// replica of the last turn of each program.
    pub(crate) last_replicas: Mutex<HashMap<String, String>>,
    pub(crate) engines: EngineClient,
    pub(crate) services: ServiceClient,
    pub(crate) owner_inbox: ArcSwap<Sender<OwnerInput>>,
    pub(crate) dispatch_inbox: Sender<DispatchInput>,
    pub(crate) membership_inbox: Sender<MembershipInput>,
    pub(crate) release_inbox: Sender<ReleaseInput>,
    pub(crate) owner_queries: Sender<OwnerQuery>,
    pub(crate) release_queries: Sender<ReleaseQuery>,
    pub(crate) owner_counts: ArcSwap<OwnerCounts>,
    pub(crate) mesh: OnceLock<Arc<Mesh>>,
    pub(crate) askers: Registry<AskerKey, Asker>,
    pub(crate) forwards: Registry<ForwardKey, Forwarded>,
    pub(crate) jobs: Registry<JobKey, JobRoute>,
    pub(crate) turns: Registry<TurnKey, TurnOrigin>,
    pub(crate) questions: Registry<QuestionKey, Question>,
    pub(crate) start: Instant,
}

impl Shared {
    /// reads both clocks.
    pub fn now(&self) -> Now {
        Now::read(self.start)
    }

    /// the mesh, which starts together with the instance.
    pub fn mesh(&self) -> &Mesh {
        self.mesh.get().expect("the mesh starts before any task")
    }

    /// tells whether requests for a slot go to the owner in this process.
    pub fn is_local(&self, slot: SlotId) -> bool {
        let slots = self.slots.load();
        let row = slots.row(slot);
        if row.serving {
            return true;
        }
        self.address_of_owner(slot).is_none_or(|peer| peer == self.settings.listen.mesh)
    }

    /// mesh address of the instance that answers for a slot, or will answer soon.
    pub fn address_of_owner(&self, slot: SlotId) -> Option<SocketAddr> {
        let slots = self.slots.load();
        let view = self.view.load();
        if let Some(owner) = &slots.row(slot).owner {
            let member = view.find(owner);
            if let Some(member) = member.filter(|member| !member.is_gone()) {
                return Some(member.mesh);
            }
        }
        view.preferred(&slot_key(slot)).map(|member| member.mesh)
    }

    /// passes an input to the owner.
    pub fn tell_owner(&self, input: OwnerInput) {
        // A closed inbox means that the instance is stopping.
        let _ = self.owner_inbox.load().try_send(input);
    }

    /// passes an input to the dispatcher.
    pub fn tell_dispatcher(&self, input: DispatchInput) {
        let _ = self.dispatch_inbox.try_send(input);
    }

    /// passes an input to membership.
    pub fn tell_membership(&self, input: MembershipInput) {
        let _ = self.membership_inbox.try_send(input);
    }

    /// passes an input to the releases.
    pub fn tell_releases(&self, input: ReleaseInput) {
        let _ = self.release_inbox.try_send(input);
    }

    /// tells a peer that the caller of a forwarded request hung up.
    pub(crate) fn cancel_forward(&self, peer: SocketAddr, id: u64) {
        let _ = self.mesh().send(peer, None, MeshMessage::CancelRequest(CancelRequest { id }));
    }

    /// the state of this instance for operators.
    pub fn status(&self) -> InstanceStatus {
        let slots = self.slots.load();
        let counts = self.owner_counts.load();
        InstanceStatus {
            name: self.settings.instance.name.clone(),
            incarnation: self.view.load().own_incarnation.as_str().to_owned(),
            zone: self.settings.instance.zone.clone(),
            release_version: self.configuration.load().version,
            slots: slots.rows.iter().filter(|row| row.serving).count() as u32,
            programs: counts.programs,
            leaving: self.leaving.load(Ordering::Relaxed),
            journal_entries: counts.journal_entries,
            platform_calls: counts.platform_calls,
        }
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Shared").field("name", &self.settings.instance.name).finish_non_exhaustive()
    }
}

/// key by which the members propose an owner for a slot.
fn slot_key(slot: SlotId) -> String {
    format!("slot/{:06}", slot.0)
}
