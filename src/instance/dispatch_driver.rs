use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;

use crate::dispatch::DispatchAction;
use crate::dispatch::DispatchInput;
use crate::dispatch::Dispatcher;
use crate::dispatch::RouterInput;
use crate::instance::Shared;
use crate::instance::shared::TurnOrigin;
use crate::instance::ticker::Ticker;
use crate::instance::ticker::Wake;
use crate::schema::JobEvent;
use crate::schema::LoadReport;
use crate::schema::MeshMessage;
use crate::schema::ReplicaLoad;
use crate::schema::TurnJob;

/// how long an instance that sent a turn hears of the loads.
const INTEREST_MS: u64 = 10_000;

/// time between two reports to instances that sent no turns lately.
const STRANGER_PAUSE_MS: u64 = 400;

/// drives the dispatcher: feeds it inputs and carries out its actions.
pub(crate) struct DispatchDriver {
    shared: Arc<Shared>,
    dispatcher: Dispatcher,
    inbox: Ticker<DispatchInput>,
    /// address of the engine and name of the request for each turn that was started.
    started: HashMap<u64, (SocketAddr, String)>,
    /// instances that sent turns lately, with the time of the last one.
    interested: BTreeMap<SocketAddr, u64>,
    next_stranger_ms: u64,
    stranger_turn: usize,
}

impl DispatchDriver {
    pub(crate) fn new(shared: &Arc<Shared>, inbox: Receiver<DispatchInput>) -> Self {
        let dispatcher = Dispatcher::new(&shared.settings.dispatch);
        let shared = Arc::clone(shared);
        Self {
            shared,
            dispatcher,
            inbox: Ticker::for_requests(inbox),
            started: HashMap::new(),
            interested: BTreeMap::new(),
            next_stranger_ms: 0,
            stranger_turn: 0,
        }
    }

    /// runs until the inbox closes.
    pub(crate) async fn run(mut self) {
        loop {
            let input = match self.inbox.wake().await {
                Wake::Input(input) => input,
                Wake::Tick => DispatchInput::Tick,
                Wake::Closed => return,
            };
            self.step(input);
        }
    }

    fn step(&mut self, input: DispatchInput) {
        let now_ms = self.shared.now().ms;
        if let DispatchInput::Submit { ticket, .. } = &input {
            self.note_interest(*ticket, now_ms);
        }
        for action in self.dispatcher.handle(now_ms, input) {
            match action {
                DispatchAction::Start { ticket, job } => self.start(ticket, *job),
                DispatchAction::Abort { ticket } => self.abort(ticket),
                DispatchAction::Event { ticket, event } => self.event(ticket, event),
                DispatchAction::Loads(loads) => self.report(now_ms, loads),
            }
        }
    }

    fn start(&mut self, ticket: u64, job: TurnJob) {
        let upstreams = self.shared.upstreams.load();
        let Some(replica) = upstreams.engines.get(&job.replica) else {
            let event = JobEvent::Failed(refused("the replica is not in the platform's list"));
            self.shared.tell_dispatcher(DispatchInput::EngineEvent { ticket, event });
            return;
        };
        let address = replica.address;
        // The incarnation keeps names of requests apart after a restart.
        let request_id = format!("{}-{ticket:x}", self.shared.view.load().own_incarnation);
        self.started.insert(ticket, (address, request_id.clone()));
        let shared = Arc::clone(&self.shared);
        self.shared.spawner.detach(async move {
            let inbox = shared.dispatch_inbox.clone();
            let on_event = move |event: JobEvent| {
                let _ = inbox.try_send(DispatchInput::EngineEvent { ticket, event });
            };
            shared.engines.run(address, &request_id, &job, on_event).await;
        });
    }

    fn abort(&self, ticket: u64) {
        let Some((address, request_id)) = self.started.get(&ticket).cloned() else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        self.shared.spawner.detach(async move {
            // The engine also notices when the stream is dropped; a lost cancel costs tokens only.
            let _ = shared.engines.cancel(address, &request_id).await;
        });
    }

    fn event(&mut self, ticket: u64, event: JobEvent) {
        let last = !matches!(event, JobEvent::Token(_));
        let origin = if last {
            self.started.remove(&ticket);
            self.shared.turns.remove(ticket)
        } else {
            self.shared.turns.with(ticket, TurnOrigin::clone)
        };
        match origin {
            Some(TurnOrigin::Local { number }) => self.shared.job_event(number, event),
            Some(TurnOrigin::Peer { peer, id }) => {
                let message = MeshMessage::DispatchEvent(crate::schema::DispatchEvent { id, event });
                let _ = self.shared.mesh().reply(&peer, message);
            }
            None => {}
        }
    }

    /// an instance that sent no turns lately; each hears of the loads now and then.
    fn next_stranger(&mut self, now_ms: u64) -> Option<SocketAddr> {
        if now_ms < self.next_stranger_ms {
            return None;
        }
        self.next_stranger_ms = now_ms + STRANGER_PAUSE_MS;
        self.stranger_turn += 1;
        let view = self.shared.view.load();
        let own = self.shared.settings.listen.mesh;
        let others: Vec<SocketAddr> =
            view.members.iter().filter(|member| !member.is_gone()).map(|member| member.mesh).collect();
        let chosen = *others.get(self.stranger_turn % others.len().max(1))?;
        (chosen != own && !self.interested.contains_key(&chosen)).then_some(chosen)
    }

    fn note_interest(&mut self, ticket: u64, now_ms: u64) {
        let origin = self.shared.turns.with(ticket, TurnOrigin::clone);
        if let Some(TurnOrigin::Peer { peer, .. }) = origin {
            self.interested.insert(peer.address, now_ms);
        }
    }

    /// tells this instance's router, and those of the instances that sent turns lately.
    fn report(&mut self, now_ms: u64, loads: Vec<ReplicaLoad>) {
        self.shared.router().handle(now_ms, RouterInput::Loads(loads.clone()));
        self.interested.retain(|_, at_ms| *at_ms + INTEREST_MS > now_ms);
        let mut peers: Vec<SocketAddr> = self.interested.keys().copied().collect();
        peers.extend(self.next_stranger(now_ms));
        for peer in &peers {
            let message = MeshMessage::Load(LoadReport { loads: loads.clone() });
            let _ = self.shared.mesh().send(*peer, None, message);
        }
    }
}

impl Shared {
    /// cancels a turn of this instance's owner at this instance's dispatcher.
    pub(crate) fn cancel_local_turn(&self, number: u64) {
        let matches =
            |origin: &TurnOrigin| matches!(origin, TurnOrigin::Local { number: other } if *other == number);
        for ticket in self.turns.find(matches) {
            self.tell_dispatcher(DispatchInput::Cancel { ticket });
        }
    }
}

fn refused(detail: &str) -> crate::schema::JobFailed {
    crate::schema::JobFailed {
        fault: crate::schema::JobFault::Refused,
        detail: detail.to_owned(),
        spent_tokens: 0,
        retry_after_ms: None,
    }
}
