use std::sync::Arc;

use async_channel::Receiver;

use crate::dispatch::DispatchInput;
use crate::instance::Shared;
use crate::instance::ticker::Ticker;
use crate::instance::ticker::Wake;
use crate::member::MemberView;
use crate::membership::Membership;
use crate::membership::MembershipAction;
use crate::membership::MembershipInput;
use crate::mesh::DatagramSocket;
use crate::owner::OwnerInput;
use crate::release::ReleaseInput;
use crate::schema::MemberHealth;
use crate::timeline::EventKind;

/// drives membership: feeds it inputs and carries out its actions.
pub(crate) struct MembershipDriver {
    shared: Arc<Shared>,
    membership: Membership,
    socket: Arc<DatagramSocket>,
    inbox: Ticker<MembershipInput>,
}

impl MembershipDriver {
    pub(crate) fn new(
        shared: &Arc<Shared>,
        membership: Membership,
        socket: Arc<DatagramSocket>,
        inbox: Receiver<MembershipInput>,
    ) -> Self {
        Self { shared: Arc::clone(shared), membership, socket, inbox: Ticker::for_control(inbox) }
    }

    /// runs until the inbox closes.
    pub(crate) async fn run(mut self) {
        loop {
            let input = match self.inbox.wake().await {
                Wake::Input(input) => input,
                Wake::Tick => MembershipInput::Tick,
                Wake::Closed => return,
            };
            let now_ms = self.shared.now().ms;
            for action in self.membership.handle(now_ms, input) {
                match action {
                    // A lost datagram is like any other loss; probing makes up for it.
                    MembershipAction::Send { to, datagram } => self.socket.send(to, &datagram),
                    MembershipAction::PublishView(view) => self.shared.publish_view(view),
                }
            }
        }
    }
}

impl Shared {
    /// puts a new view of the members in force and tells whoever decides by it.
    fn publish_view(&self, view: Arc<MemberView>) {
        let old = self.view.swap(Arc::clone(&view));
        for member in &view.members {
            let before = old.members.iter().find(|other| other.name == member.name);
            let unchanged = before.is_some_and(|other| {
                other.health == member.health
                    && other.leaving == member.leaving
                    && other.incarnation == member.incarnation
            });
            if unchanged {
                continue;
            }
            let leaving = if member.leaving { ", leaving" } else { "" };
            let detail = format!("{:?}{leaving}, incarnation {}", member.health, member.incarnation);
            self.timeline.record_subject(EventKind::MemberChanged, &member.name, detail);
            if matches!(member.health, MemberHealth::Dead | MemberHealth::Left) {
                slog::info!(self.log, "member gone"; "member" => &member.name);
                // A frozen peer keeps its sockets open; what waits for it must go elsewhere.
                self.mesh().disconnect(&member.incarnation);
            }
        }
        self.tell_owner(OwnerInput::Members(Arc::clone(&view)));
        self.tell_releases(ReleaseInput::Members(view));
        self.assign_replicas();
    }

    /// gives the dispatcher the replicas that the view proposes for this instance.
    pub(crate) fn assign_replicas(&self) {
        let view = self.view.load();
        let own = self.settings.listen.mesh;
        let mut mine = Vec::new();
        for replica in self.upstreams.load().engines.values() {
            let proposed = view.preferred(&format!("replica/{}", replica.name));
            if proposed.is_some_and(|member| member.mesh == own) {
                mine.push(replica.clone());
            }
        }
        self.served.store(Arc::new(mine.clone()));
        self.tell_dispatcher(DispatchInput::Replicas(mine));
    }
}
