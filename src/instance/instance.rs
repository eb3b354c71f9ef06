use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use flamingo_edge::ServerLimits;
use flamingo_edge::Spawner;
use flamingo_edge::serve;
use slog::Logger;
use slog::info;

use crate::config::Configuration;
use crate::dispatch::Router;
use crate::entry;
use crate::ids::Incarnation;
use crate::instance::Registry;
use crate::instance::Shared;
use crate::instance::UpstreamView;
use crate::instance::cache_watch::watch_caches;
use crate::instance::dispatch_driver::DispatchDriver;
use crate::instance::engine_watch::watch_list;
use crate::instance::engine_watch::watch_loads;
use crate::instance::membership_driver::MembershipDriver;
use crate::instance::mesh_inbox::MeshInbox;
use crate::instance::owner_driver::DriverEnd;
use crate::instance::owner_driver::OwnerDriver;
use crate::instance::queries::OwnerCounts;
use crate::instance::queries::OwnerQuery;
use crate::instance::release_driver::ReleaseDriver;
use crate::instance::sweep::sweep_caches;
use crate::member::Member;
use crate::member::MemberView;
use crate::membership::Membership;
use crate::membership::MembershipInput;
use crate::mesh::DatagramSocket;
use crate::mesh::Mesh;
use crate::mesh::MeshLimits;
use crate::mesh::MeshSettings;
use crate::operator;
use crate::owner::OwnerInput;
use crate::platform::Platform;
use crate::release::Releases;
use crate::schema::MemberHealth;
use crate::settings::Settings;
use crate::slots::SlotTable;
use crate::telemetry::Recorder;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use crate::upstream::EngineClient;
use crate::upstream::EngineClientSettings;
use crate::upstream::ServiceClient;

/// how long the last word of a leaving instance takes to get out.
const FAREWELL: Duration = Duration::from_millis(200);

/// how long to pause after the socket of membership reported an error.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// how long a connection to a plain service may take to open.
const SERVICE_CONNECT_TIMEOUT_MS: u64 = 1_000;

/// one running instance; dropping it ends its tasks.
pub struct Instance {
    /// snapshots, inboxes and edges of the instance.
    pub shared: Arc<Shared>,
    doors: Vec<Task<()>>,
    tasks: Vec<Task<()>>,
    left: Receiver<()>,
}

impl Instance {
    /// binds the addresses and starts the tasks.
    pub fn start(
        settings: Settings,
        spawner: Spawner,
        platform: Arc<dyn Platform>,
        log: Logger,
        metrics: Recorder,
    ) -> anyhow::Result<Self> {
        let callers = bind(settings.listen.callers).context("callers' address")?;
        let operators = bind(settings.listen.operators).context("operators' address")?;
        let incarnation = Incarnation::generate();
        let timeline = Arc::new(Timeline::new(&settings.instance.name));
        let (owner_sender, _) = async_channel::unbounded();
        let (dispatch_inbox, dispatch_receiver) = async_channel::unbounded();
        let (membership_inbox, membership_receiver) = async_channel::unbounded();
        let (release_inbox, release_receiver) = async_channel::unbounded();
        let (owner_queries, owner_questions) = async_channel::unbounded();
        let (release_queries, release_questions) = async_channel::unbounded();
        let slot_count = settings.slot_count;
        let shared = Arc::new(Shared {
            slot_count,
            spawner: spawner.clone(),
            log,
            metrics,
            timeline: Arc::clone(&timeline),
            platform,
            view: ArcSwap::from_pointee(MemberView {
                own_incarnation: incarnation.clone(),
                members: Vec::new(),
                changed_ms: 0,
            }),
            slots: ArcSwap::from_pointee(SlotTable::unknown(slot_count)),
            configuration: ArcSwap::from_pointee(Configuration::default()),
            upstreams: ArcSwap::from_pointee(UpstreamView::default()),
            served: ArcSwap::from_pointee(Vec::new()),
            leaving: AtomicBool::new(false),
            service_turn: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            router: Mutex::new(Router::new(&settings.dispatch, &settings.instance.zone)),
            last_replicas: Mutex::new(HashMap::new()),
            engines: EngineClient::new(EngineClientSettings::default()),
            services: ServiceClient::new(SERVICE_CONNECT_TIMEOUT_MS),
            owner_inbox: ArcSwap::from_pointee(owner_sender),
            dispatch_inbox,
            membership_inbox,
            release_inbox,
            owner_queries,
            release_queries,
            owner_counts: ArcSwap::from_pointee(OwnerCounts::default()),
            mesh: OnceLock::new(),
            askers: Registry::default(),
            forwards: Registry::default(),
            jobs: Registry::default(),
            turns: Registry::default(),
            questions: Registry::default(),
            start: Instant::now(),
            settings,
        });
        start_mesh(&shared, &incarnation)?;
        let socket = Arc::new(start_datagrams(&shared)?);
        let (left_sender, left) = async_channel::bounded(1);
        let own = own_member(&shared.settings, &incarnation);
        let seed = shared.now().unix_ms;
        let membership = Membership::new(&shared.settings.membership, &shared.settings.cluster, own, seed);
        let owner = OwnerDriver::new(&shared, incarnation.clone(), owner_questions.clone());
        let dispatch = DispatchDriver::new(&shared, dispatch_receiver);
        let members = MembershipDriver::new(&shared, membership, Arc::clone(&socket), membership_receiver);
        let releases = ReleaseDriver::new(
            &shared,
            Releases::new(incarnation.clone()),
            release_receiver,
            release_questions,
        );
        let tasks = vec![
            spawner.spawn(run_owner(Arc::clone(&shared), owner, owner_questions, left_sender)),
            spawner.spawn(dispatch.run()),
            spawner.spawn(members.run()),
            spawner.spawn(releases.run()),
            spawner.spawn(receive_datagrams(Arc::clone(&shared), socket)),
            spawner.spawn(watch_list(Arc::clone(&shared))),
            spawner.spawn(watch_loads(Arc::clone(&shared))),
            spawner.spawn(watch_caches(Arc::clone(&shared))),
            spawner.spawn(sweep_caches(Arc::clone(&shared))),
        ];
        let doors = open_doors(&shared, callers, operators);
        shared.timeline.record_subject(
            EventKind::Started,
            &shared.settings.instance.name,
            incarnation.to_string(),
        );
        info!(shared.log, "started"; "incarnation" => incarnation.as_str());
        Ok(Self { shared, doors, tasks, left })
    }

    /// leaves without cutting a request in flight, then stops.
    pub async fn leave(self) {
        self.shared.begin_leaving();
        self.finish_leaving().await;
    }

    /// waits until an operator asked this instance to leave and it has left.
    pub async fn left(self) {
        self.finish_leaving().await;
    }

    async fn finish_leaving(mut self) {
        // The owner answers even when it holds nothing; a closed channel means that it has ended.
        let _ = self.left.recv().await;
        self.shared.drained().await;
        self.doors.clear();
        self.shared.tell_membership(MembershipInput::Left);
        Timer::after(FAREWELL).await;
        self.tasks.clear();
        info!(self.shared.log, "left");
    }
}

async fn run_owner(
    shared: Arc<Shared>,
    first: OwnerDriver,
    queries: Receiver<OwnerQuery>,
    left: async_channel::Sender<()>,
) {
    let mut driver = first;
    loop {
        match driver.run().await {
            DriverEnd::Deposed => {
                let incarnation = Incarnation::generate();
                driver = OwnerDriver::new(&shared, incarnation.clone(), queries.clone());
                shared.restart_as(&incarnation);
            }
            DriverEnd::Left => {
                let _ = left.send(()).await;
                return;
            }
            DriverEnd::Closed => return,
        }
    }
}

async fn receive_datagrams(shared: Arc<Shared>, socket: Arc<DatagramSocket>) {
    loop {
        match socket.receive().await {
            Ok((from, datagram)) => shared.tell_membership(MembershipInput::Datagram { from, datagram }),
            // The system reports an unreachable receiver on the socket that sent to it.
            Err(_) => {
                Timer::after(RECEIVE_PAUSE).await;
            }
        }
    }
}

fn start_mesh(shared: &Arc<Shared>, incarnation: &Incarnation) -> anyhow::Result<()> {
    let settings = MeshSettings {
        listen: shared.settings.listen.mesh,
        cluster: shared.settings.cluster.clone(),
        key: shared.settings.mesh_key.clone(),
        incarnation: incarnation.clone(),
        name: shared.settings.instance.name.clone(),
        limits: MeshLimits::default(),
    };
    let handler = Arc::new(MeshInbox::new(shared));
    let mesh = Mesh::start(shared.spawner.clone(), settings, Arc::clone(&shared.timeline), handler)?;
    let _ = shared.mesh.set(mesh);
    Ok(())
}

fn start_datagrams(shared: &Shared) -> anyhow::Result<DatagramSocket> {
    let settings = &shared.settings;
    DatagramSocket::bind(settings.listen.mesh, &settings.cluster, settings.mesh_key.clone())
        .context("mesh address")
}

fn own_member(settings: &Settings, incarnation: &Incarnation) -> Member {
    Member {
        name: settings.instance.name.clone(),
        incarnation: incarnation.clone(),
        health: MemberHealth::Alive,
        leaving: false,
        region: settings.instance.region.clone(),
        zone: settings.instance.zone.clone(),
        mesh: settings.listen.mesh,
        callers: settings.listen.callers,
        release_version: 0,
    }
}

fn bind(address: std::net::SocketAddr) -> anyhow::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address).with_context(|| format!("cannot listen on {address}"))
}

fn open_doors(
    shared: &Arc<Shared>,
    callers: Async<TcpListener>,
    operators: Async<TcpListener>,
) -> Vec<Task<()>> {
    let limits = &shared.settings.limits;
    let limits = ServerLimits {
        head_timeout_ms: limits.head_timeout_ms,
        body_timeout_ms: limits.body_timeout_ms,
        max_body_bytes: limits.max_body_bytes as usize,
        max_connections: limits.max_connections as usize,
    };
    let for_callers = Arc::clone(shared);
    let for_operators = Arc::clone(shared);
    let callers = serve(callers, shared.spawner.clone(), limits, move |incoming| {
        entry::handle(Arc::clone(&for_callers), incoming)
    });
    let operators = serve(operators, shared.spawner.clone(), limits, move |incoming| {
        operator::handle(Arc::clone(&for_operators), incoming)
    });
    vec![shared.spawner.spawn(callers), shared.spawner.spawn(operators)]
}

impl Shared {
    /// goes on under a new incarnation after the old one was deposed.
    fn restart_as(&self, incarnation: &Incarnation) {
        self.timeline.record_subject(
            EventKind::Deposed,
            &self.settings.instance.name,
            format!("now {incarnation}"),
        );
        self.tell_membership(MembershipInput::Restart(incarnation.clone()));
        self.tell_owner(OwnerInput::Configuration(self.configuration.load_full()));
    }
}
