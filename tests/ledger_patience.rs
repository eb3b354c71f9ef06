//! how long a turn waits for slow disks of the ledger, over real connections. The nodes are real ones but for their
//! disks, whose syncs take as long as a test says.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::Spawner;
use flamingostand::ids::Incarnation;
use flamingostand::ledger::LedgerNode;
use flamingostand::ledger::NodeAction;
use flamingostand::ledger::OwnIdentity;
use flamingostand::ledger::empty_view;
use flamingostand::ledger::with_member;
use flamingostand::ledger_client::Begun;
use flamingostand::ledger_client::LedgerClient;
use flamingostand::ledger_client::NotConfirmed;
use flamingostand::ledger_client::TurnStart;
use flamingostand::mesh::Mesh;
use flamingostand::mesh::MeshHandler;
use flamingostand::mesh::MeshKey;
use flamingostand::mesh::MeshLimits;
use flamingostand::mesh::MeshSettings;
use flamingostand::mesh::PeerIdentity;
use flamingostand::schema::LedgerMember;
use flamingostand::schema::LedgerView;
use flamingostand::schema::MeshMessage;
use flamingostand::timeline::Timeline;
use futures_lite::future::block_on;
use test_case::test_case;

/// how long the caller of a turn waits.
const CALLER_WAITS: Duration = Duration::from_secs(3);

/// a ledger node whose syncs take a while.
struct SlowNode {
    node: Mutex<LedgerNode>,
    mesh: OnceLock<Arc<Mesh>>,
    spawner: Spawner,
    sync_time: Duration,
}

/// what a connection brings to the node.
struct Inbox(Arc<SlowNode>);

impl SlowNode {
    fn perform(self: &Arc<Self>, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Answer { to, answer } => {
                    let mesh = self.mesh.get().expect("the mesh is set before anyone connects");
                    // A caller that is gone took its question along.
                    let _ = mesh.reply_on(to, MeshMessage::LedgerAnswer(answer));
                }
                NodeAction::Append { number, .. } => {
                    let own = Arc::clone(self);
                    self.spawner.detach(async move {
                        async_io::Timer::after(own.sync_time).await;
                        let actions = own.node.lock().expect("the node answers").synced(number);
                        own.perform(actions);
                    });
                }
                NodeAction::ViewChanged | NodeAction::Struck { .. } => {}
            }
        }
    }
}

impl MeshHandler for Inbox {
    fn on_message(&self, from: &PeerIdentity, message: MeshMessage) {
        if let MeshMessage::LedgerAsk(ask) = message {
            let actions = self.0.node.lock().expect("the node answers").ask(0, from.connection, &ask);
            self.0.perform(actions);
        }
    }

    fn on_closed(&self, _: &PeerIdentity) {}
}

/// hands answers to the client of a door.
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
        incarnation: Incarnation::start_now(),
        name: name.to_owned(),
        limits: MeshLimits::of_fleet(),
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

/// starts three nodes and returns the view that they follow.
fn start_nodes(spawner: &Spawner, sync_time: Duration) -> LedgerView {
    let mut view = empty_view(1);
    let mut nodes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        let own = OwnIdentity { name: name.to_owned(), disk: format!("disk-{name}") };
        let node = Arc::new(SlowNode {
            node: Mutex::new(LedgerNode::new(own, empty_view(1))),
            mesh: OnceLock::new(),
            spawner: spawner.clone(),
            sync_time,
        });
        let mesh = start_mesh(spawner, name, Arc::new(Inbox(Arc::clone(&node))));
        view = with_member(&view, &member(name, &mesh));
        node.mesh.set(mesh).unwrap_or_else(|_| unreachable!("the node has one mesh"));
        nodes.push(node);
    }
    for node in nodes {
        let mut state = node.node.lock().expect("the node answers");
        let mut actions = state.adopt(&view);
        actions.extend(state.caught_up());
        drop(state);
        node.perform(actions);
    }
    view
}

fn turn() -> TurnStart {
    TurnStart {
        program: "p".to_owned(),
        request: "a".to_owned(),
        line: None,
        budget_tokens: 1_000,
        most_tokens: 100,
        previous: None,
    }
}

/// The replica has begun, so the turn must not be given up before its caller gives up.
#[test_case(Duration::from_millis(5); "usual disks")]
#[test_case(Duration::from_millis(1_000); "slow disks")]
#[test_case(Duration::from_millis(2_700); "disks that stall for almost as long as the caller waits")]
fn reservation_waits_for_slow_disks(sync_time: Duration) {
    let spawner = Spawner::start(2);
    let view = start_nodes(&spawner, sync_time);
    let client = Arc::new(LedgerClient::new(1, slog::Logger::root(slog::Discard, slog::o!())));
    client.set_mesh(start_mesh(&spawner, "door", Arc::new(Answers(Arc::clone(&client)))));
    client.adopt(&view);
    let began = Instant::now();
    let confirmed = block_on(async {
        let Begun::Go { reservation, .. } = client.begin(turn()).await else {
            panic!("the turn may begin");
        };
        client.confirm(*reservation, began + CALLER_WAITS).await
    });
    assert_eq!(confirmed, Ok(()), "after {} ms", began.elapsed().as_millis());
}

#[test]
fn reservation_ends_with_the_caller() {
    let spawner = Spawner::start(2);
    let view = start_nodes(&spawner, 4 * CALLER_WAITS);
    let client = Arc::new(LedgerClient::new(1, slog::Logger::root(slog::Discard, slog::o!())));
    client.set_mesh(start_mesh(&spawner, "door", Arc::new(Answers(Arc::clone(&client)))));
    client.adopt(&view);
    let confirmed = block_on(async {
        let Begun::Go { reservation, .. } = client.begin(turn()).await else {
            panic!("the turn may begin");
        };
        client.confirm(*reservation, Instant::now() + Duration::from_millis(300)).await
    });
    assert_eq!(confirmed, Err(NotConfirmed::NotStored));
}
