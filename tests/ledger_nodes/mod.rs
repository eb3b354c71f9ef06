//! ledger nodes over real connections, real except for their disks and processors, whose speed is set by the
//! test.
#![allow(dead_code, reason = "each test file uses its own part of the nodes")]

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use flamingo_edge::Spawner;
use flamingostand::ids::Incarnation;
use flamingostand::ledger::LedgerNode;
use flamingostand::ledger::NodeAction;
use flamingostand::ledger::NodeIdentity;
use flamingostand::ledger::empty_view;
use flamingostand::ledger::with_member;
use flamingostand::ledger_client::LedgerClient;
use flamingostand::ledger_client::TurnStart;
use flamingostand::mesh::ConnectionId;
use flamingostand::mesh::Mesh;
use flamingostand::mesh::MeshHandler;
use flamingostand::mesh::MeshKey;
use flamingostand::mesh::MeshLimits;
use flamingostand::mesh::MeshSettings;
use flamingostand::mesh::PeerIdentity;
use flamingostand::schema::LedgerAsk;
use flamingostand::schema::LedgerMember;
use flamingostand::schema::LedgerView;
use flamingostand::schema::MeshMessage;
use flamingostand::timeline::Timeline;

/// speed of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// delay before each ask is handled, independent of how many there are.
    pub delay: Duration,
    /// processor time for each ask; asks are handled one after the other.
    pub work: Duration,
    /// time that a sync takes.
    pub sync: Duration,
}

/// a ledger node with simulated processor and disk times.
struct SlowNode {
    node: Mutex<LedgerNode>,
    mesh: OnceLock<Arc<Mesh>>,
    spawner: Spawner,
    pace: Pace,
    asks: Sender<(ConnectionId, Box<LedgerAsk>)>,
}

/// passes asks from the mesh to the node.
struct Inbox(Arc<SlowNode>);

impl SlowNode {
    async fn run(self: Arc<Self>, asks: Receiver<(ConnectionId, Box<LedgerAsk>)>) {
        while let Ok((from, ask)) = asks.recv().await {
            if !self.pace.work.is_zero() {
                async_io::Timer::after(self.pace.work).await;
            }
            if self.pace.delay.is_zero() {
                self.answer(from, &ask);
                continue;
            }
            let own = Arc::clone(&self);
            self.spawner.detach(async move {
                async_io::Timer::after(own.pace.delay).await;
                own.answer(from, &ask);
            });
        }
    }

    fn answer(self: &Arc<Self>, from: ConnectionId, ask: &LedgerAsk) {
        let actions = self.node.lock().expect("the node lock is not poisoned").handle_ask(0, from, ask);
        self.perform(actions);
    }

    fn perform(self: &Arc<Self>, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Answer { to, answer } => {
                    let mesh = self.mesh.get().expect("the mesh is set before anyone connects");
                    // If the connection is gone, so is the caller.
                    let _ = mesh.reply_on(to, MeshMessage::LedgerAnswer(answer));
                }
                NodeAction::Append { number, .. } => {
                    let own = Arc::clone(self);
                    self.spawner.detach(async move {
                        async_io::Timer::after(own.pace.sync).await;
                        let actions =
                            own.node.lock().expect("the node lock is not poisoned").on_synced(number);
                        own.perform(actions);
                    });
                }
                NodeAction::ViewChanged | NodeAction::StrikeAdded { .. } | NodeAction::TurnsExtended(_) => {}
            }
        }
    }
}

impl MeshHandler for Inbox {
    fn on_message(&self, from: &PeerIdentity, message: MeshMessage) {
        if let MeshMessage::LedgerAsk(ask) = message {
            // The node lives as long as the test.
            let _ = self.0.asks.try_send((from.connection, Box::new(ask)));
        }
    }

    fn on_closed(&self, _: &PeerIdentity) {}
}

/// passes replies to the client of a door.
struct Answers(Arc<LedgerClient>);

impl MeshHandler for Answers {
    fn on_message(&self, _: &PeerIdentity, message: MeshMessage) {
        if let MeshMessage::LedgerAnswer(answer) = message {
            self.0.on_answer(answer);
        }
    }

    fn on_closed(&self, peer: &PeerIdentity) {
        self.0.on_closed(peer.connection);
    }
}

fn start_mesh(spawner: &Spawner, name: &str, handler: Arc<dyn MeshHandler>) -> Arc<Mesh> {
    let settings = MeshSettings {
        listen: "127.0.0.1:0".parse().expect("an address"),
        cluster: "test".to_owned(),
        key: "01".repeat(32).parse::<MeshKey>().expect("a key"),
        incarnation: Incarnation::generate(),
        name: name.to_owned(),
        limits: MeshLimits::for_fleet(),
    };
    Mesh::start(spawner.clone(), settings, Arc::new(Timeline::new(name)), handler).expect("the mesh listens")
}

fn member(name: &str, mesh: &Mesh) -> LedgerMember {
    LedgerMember {
        name: name.to_owned(),
        disk: format!("disk-{name}"),
        mesh: mesh.local_address().to_string(),
    }
}

/// starts a node for each pace, in a ledger that tolerates the loss of one disk, and returns their view.
pub fn start_nodes(spawner: &Spawner, paces: &[Pace]) -> LedgerView {
    let mut view = empty_view(1);
    let mut nodes = Vec::new();
    for (number, pace) in paces.iter().enumerate() {
        let name = format!("n{number}");
        let own = NodeIdentity { name: name.clone(), disk: format!("disk-{name}") };
        let (asks, incoming) = async_channel::unbounded();
        let node = Arc::new(SlowNode {
            node: Mutex::new(LedgerNode::new(own, empty_view(1))),
            mesh: OnceLock::new(),
            spawner: spawner.clone(),
            pace: *pace,
            asks,
        });
        spawner.detach(Arc::clone(&node).run(incoming));
        let mesh = start_mesh(spawner, &name, Arc::new(Inbox(Arc::clone(&node))));
        view = with_member(&view, &member(&name, &mesh));
        node.mesh.set(mesh).unwrap_or_else(|_| unreachable!("the node has one mesh"));
        nodes.push(node);
    }
    for node in nodes {
        let mut state = node.node.lock().expect("the node lock is not poisoned");
        let mut actions = state.adopt(&view);
        actions.extend(state.mark_complete());
        drop(state);
        node.perform(actions);
    }
    view
}

/// starts the ledger client of a door that follows `view`.
pub fn start_client(spawner: &Spawner, view: &LedgerView) -> Arc<LedgerClient> {
    let client = Arc::new(LedgerClient::new(1, slog::Logger::root(slog::Discard, slog::o!())));
    client.set_mesh(start_mesh(spawner, "door", Arc::new(Answers(Arc::clone(&client)))));
    client.adopt(view);
    client
}

/// the first turn of a program.
pub fn turn(program: &str) -> TurnStart {
    TurnStart {
        program: program.to_owned(),
        request: format!("{program}-a"),
        line: None,
        budget_tokens: 1_000,
        most_tokens: 100,
        previous: None,
        stream: None,
        resumes: None,
    }
}
