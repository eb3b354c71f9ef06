use std::sync::Arc;

use async_channel::Receiver;
use slog::info;

use crate::config::Configuration;
use crate::dispatch::DispatchInput;
use crate::dispatch::WorkspaceWeight;
use crate::ids::Incarnation;
use crate::instance::Shared;
use crate::instance::queries::ReleaseQuery;
use crate::instance::shared::Question;
use crate::instance::ticker::Ticker;
use crate::instance::ticker::Wake;
use crate::membership::MembershipInput;
use crate::owner::OwnerInput;
use crate::release::ReleaseAction;
use crate::release::ReleaseInput;
use crate::release::Releases;
use crate::release::check_row;
use crate::schema::MeshMessage;
use crate::timeline::EventKind;

/// drives the releases: feeds them inputs and carries out their actions.
pub(crate) struct ReleaseDriver {
    shared: Arc<Shared>,
    releases: Releases,
    inbox: Ticker<ReleaseInput>,
    queries: Receiver<ReleaseQuery>,
}

impl ReleaseDriver {
    pub(crate) fn new(
        shared: &Arc<Shared>,
        releases: Releases,
        inbox: Receiver<ReleaseInput>,
        queries: Receiver<ReleaseQuery>,
    ) -> Self {
        Self { shared: Arc::clone(shared), releases, inbox: Ticker::for_control(inbox), queries }
    }

    /// runs until the inbox closes.
    pub(crate) async fn run(mut self) {
        loop {
            self.answer_queries();
            let input = match self.inbox.wake().await {
                Wake::Input(input) => input,
                Wake::Tick => ReleaseInput::Tick,
                Wake::Closed => return,
            };
            let now_ms = self.shared.now().ms;
            for action in self.releases.handle(now_ms, input) {
                self.perform(action);
            }
        }
    }

    fn answer_queries(&self) {
        while let Ok(query) = self.queries.try_recv() {
            match query {
                ReleaseQuery::History { limit, reply } => {
                    let _ = reply.try_send(self.releases.history(limit));
                }
                ReleaseQuery::Check { note, reply } => {
                    let _ = reply.try_send(check_row(&note, self.releases.log()));
                }
            }
        }
    }

    fn perform(&self, action: ReleaseAction) {
        match action {
            ReleaseAction::Platform { call, request } => {
                let shared = Arc::clone(&self.shared);
                self.shared.spawner.detach(async move {
                    let result = shared.platform.call(request).await;
                    shared.tell_releases(ReleaseInput::Platform { call, result });
                });
            }
            ReleaseAction::Pull { peer, pull } => self.send(&peer, MeshMessage::ReleasePull(pull)),
            ReleaseAction::Push { peer, push } => self.send(&peer, MeshMessage::ReleasePush(*push)),
            ReleaseAction::InForce(configuration) => self.shared.put_in_force(configuration),
            ReleaseAction::Answer { ticket, answer } => {
                if let Some(Question::Release(sender)) = self.shared.questions.remove(ticket) {
                    let _ = sender.try_send(answer);
                }
            }
        }
    }

    fn send(&self, peer: &Incarnation, message: MeshMessage) {
        let view = self.shared.view.load();
        let Some(member) = view.find(peer) else {
            return;
        };
        // A lost message is asked for again; the releases do not count on it.
        let _ = self.shared.mesh().send(member.mesh, None, message);
    }
}

impl Shared {
    /// puts a configuration in force and tells whoever decides by it.
    fn put_in_force(&self, configuration: Arc<Configuration>) {
        let version = configuration.version;
        info!(self.log, "configuration in force"; "version" => version);
        self.timeline.record_subject(EventKind::ReleaseInForce, &format!("release/{version}"), String::new());
        let mut shares = Vec::with_capacity(configuration.workspaces.len());
        for workspace in configuration.workspaces.values() {
            shares.push(WorkspaceWeight { workspace: workspace.id.clone(), weight: workspace.weight });
        }
        self.configuration.store(Arc::clone(&configuration));
        self.tell_dispatcher(DispatchInput::Weights(shares));
        self.tell_owner(OwnerInput::Configuration(configuration));
        self.tell_membership(MembershipInput::ReleaseInForce(version));
    }
}
