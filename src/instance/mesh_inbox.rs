use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;

use crate::dispatch::DispatchInput;
use crate::dispatch::RouterInput;
use crate::instance::Shared;
use crate::instance::shared::Asker;
use crate::instance::shared::Question;
use crate::instance::shared::TurnOrigin;
use crate::mesh::ConnectionId;
use crate::mesh::MeshHandler;
use crate::mesh::PeerIdentity;
use crate::owner::OwnerInput;
use crate::release::ReleaseInput;
use crate::schema::Forward;
use crate::schema::MeshMessage;
use crate::schema::ProgramsPull;
use crate::schema::ProgramsPush;
use crate::schema::StatusPush;
use crate::schema::TimelinePush;

/// hands messages of other instances to the drivers.
#[derive(Debug)]
pub(crate) struct MeshInbox {
    /// weak, since the mesh belongs to what it points at.
    shared: Weak<Shared>,
}

impl MeshInbox {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self { shared: Arc::downgrade(shared) }
    }
}

impl MeshHandler for MeshInbox {
    fn on_message(&self, from: &PeerIdentity, message: MeshMessage) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        match message {
            MeshMessage::Forward(forward) => on_forward(&shared, from, forward),
            MeshMessage::ForwardEvent(answer) => {
                let last = !matches!(answer.event, crate::schema::OwnerEvent::Token(_));
                let sender = if last {
                    shared.forwards.remove(answer.id).map(|forwarded| forwarded.sender)
                } else {
                    shared.forwards.with(answer.id, |forwarded| forwarded.sender.clone())
                };
                if let Some(sender) = sender {
                    let _ = sender.try_send(answer.event);
                }
            }
            MeshMessage::CancelRequest(cancel) => on_cancel_request(&shared, from, cancel.id),
            MeshMessage::Dispatch(dispatch) => {
                let ticket = shared.turns.insert(TurnOrigin::Peer { peer: from.clone(), id: dispatch.id });
                shared.tell_dispatcher(DispatchInput::Submit { ticket, job: Box::new(dispatch.job) });
            }
            MeshMessage::DispatchEvent(progress) => shared.job_event(progress.id, progress.event),
            MeshMessage::CancelJob(cancel) => on_cancel_job(&shared, from, cancel.id),
            MeshMessage::ReleasePull(pull) => {
                shared.tell_releases(ReleaseInput::Pull { peer: from.incarnation.clone(), pull });
            }
            MeshMessage::ReleasePush(push) => {
                shared.tell_releases(ReleaseInput::Push {
                    peer: from.incarnation.clone(),
                    push: Box::new(push),
                });
            }
            MeshMessage::Load(report) => {
                let now_ms = shared.now().ms;
                shared.router().handle(now_ms, RouterInput::Loads(report.loads));
            }
            MeshMessage::StatusPull(pull) => {
                let push = StatusPush { id: pull.id, status: shared.status() };
                let _ = shared.mesh().reply(from, MeshMessage::StatusPush(push));
            }
            MeshMessage::StatusPush(push) => {
                if let Some(Question::Status(sender)) = shared.questions.with(push.id, Question::clone) {
                    let _ = sender.try_send(push.status);
                }
            }
            MeshMessage::TimelinePull(pull) => {
                let push = TimelinePush { id: pull.id, events: shared.timeline.select(&pull) };
                let _ = shared.mesh().reply(from, MeshMessage::TimelinePush(push));
            }
            MeshMessage::TimelinePush(push) => {
                if let Some(Question::Timeline(sender)) = shared.questions.with(push.id, Question::clone) {
                    let _ = sender.try_send(push.events);
                }
            }
            MeshMessage::ProgramsPull(pull) => answer_programs(&shared, from, pull),
            MeshMessage::ProgramsPush(push) => {
                if let Some(Question::Programs(sender)) = shared.questions.with(push.id, Question::clone) {
                    let _ = sender.try_send(push.programs);
                }
            }
            MeshMessage::Drain(_) => shared.begin_leaving(),
            MeshMessage::Poison(held) => shared.tell_owner(OwnerInput::Poison(held)),
            // Instances hold no ledger; front doors ask its nodes.
            MeshMessage::SlotMoved(_) | MeshMessage::LedgerAsk(_) | MeshMessage::LedgerAnswer(_) => {}
        }
    }

    fn on_closed(&self, peer: &PeerIdentity) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        // Dropping the senders ends the attempts, which then ask the next owner.
        drop(
            shared
                .forwards
                .remove_where(|forwarded| was_on(peer, Some(forwarded.peer), forwarded.connection)),
        );
        shared.lose_jobs(|route| was_on(peer, route.peer, route.connection));
        let asked = |asker: &Asker| matches!(asker, Asker::Peer { peer: other, .. } if other.connection == peer.connection);
        for (ticket, _) in shared.askers.remove_where(asked) {
            shared.tell_owner(OwnerInput::Cancel { ticket });
        }
        let sent = |origin: &TurnOrigin| matches!(origin, TurnOrigin::Peer { peer: other, .. } if other.connection == peer.connection);
        for ticket in shared.turns.find(sent) {
            shared.tell_dispatcher(DispatchInput::Cancel { ticket });
        }
    }
}

fn answer_programs(shared: &Arc<Shared>, from: &PeerIdentity, pull: ProgramsPull) {
    let task_shared = Arc::clone(shared);
    let peer = from.clone();
    shared.spawner.detach(async move {
        let programs = task_shared.own_programs(pull.workspace, pull.limit as usize).await;
        let push = ProgramsPush { id: pull.id, programs };
        let _ = task_shared.mesh().reply(&peer, MeshMessage::ProgramsPush(push));
    });
}

/// tells whether something sent to `address` went over the closed connection, or may have.
fn was_on(closed: &PeerIdentity, address: Option<SocketAddr>, connection: Option<ConnectionId>) -> bool {
    match connection {
        Some(connection) => connection == closed.connection,
        None => address == Some(closed.address),
    }
}

fn on_forward(shared: &Arc<Shared>, from: &PeerIdentity, forward: Forward) {
    let ticket = shared.askers.insert(Asker::Peer { peer: from.clone(), id: forward.id });
    shared.tell_owner(OwnerInput::Request { ticket, request: forward.request });
}

fn on_cancel_request(shared: &Arc<Shared>, from: &PeerIdentity, id: u64) {
    let asked = |asker: &Asker| matches!(asker, Asker::Peer { peer, id: other } if *other == id && peer.connection == from.connection);
    for (ticket, _) in shared.askers.remove_where(asked) {
        shared.tell_owner(OwnerInput::Cancel { ticket });
    }
}

fn on_cancel_job(shared: &Arc<Shared>, from: &PeerIdentity, id: u64) {
    let sent = |origin: &TurnOrigin| matches!(origin, TurnOrigin::Peer { peer, id: other } if *other == id && peer.connection == from.connection);
    for ticket in shared.turns.find(sent) {
        shared.tell_dispatcher(DispatchInput::Cancel { ticket });
    }
}
