use serde_json::Value;

use crate::clock::Now;
use crate::ids::Digest;
use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::owner::Action;
use crate::owner::LookUp;
use crate::owner::LookUpOutcome;
use crate::owner::ServiceOutcome;
use crate::owner::ServiceRequest;
use crate::program::Outbox;
use crate::program::Program;
use crate::program::Programs;
use crate::program::call::Call;
use crate::program::call::CallPhase;
use crate::program::refusal::RETRY_OUTAGE_MS;
use crate::program::refusal::RETRY_SOON_MS;
use crate::program::refusal::refuse_for;
use crate::program::refusal::unknown_for;
use crate::program::refuse;
use crate::program::requests::Accepted;
use crate::program::timers::Timer;
use crate::program::tokens::json_bytes;
use crate::program::turns::COMMIT_WAIT_MS;
use crate::schema::CallBody;
use crate::schema::CallState;
use crate::schema::ForwardedCall;
use crate::schema::IntendedRecord;
use crate::schema::OwnerEvent;
use crate::schema::ResolvedRecord;
use crate::timeline::What;

/// first wait before an idempotent call is tried again.
const FIRST_RETRY_MS: u64 = 100;

/// longest wait before an idempotent call is tried again.
const MAX_RETRY_MS: u64 = 10_000;

/// how long one attempt may take when the configuration no longer names the service.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// look-ups before an outcome stays unknown.
const MAX_LOOK_UPS: u32 = 10;

/// largest body of a service's answer that is kept and replayed.
const MAX_KEPT_BYTES: u64 = 384 * 1024;

/// status of a service that refused for now.
const STATUS_TOO_MANY: u16 = 429;

/// status of a service that is not available.
const STATUS_UNAVAILABLE: u16 = 503;

impl Programs {
    pub(super) fn call(
        &mut self,
        now: Now,
        ticket: u64,
        request: ForwardedCall,
        out: &mut Outbox,
    ) -> Accepted {
        let id = ProgramId::from(request.program.as_str());
        let program = self.find_open(&id, &request.workspace)?;
        let Some(name) = request.body.call.clone() else {
            return Err(Box::new(refuse(400, "invalid_call", "the call has no identifier")));
        };
        let digest = content_digest(&request.body).to_string();
        let wait = request.body.wait;
        let Some(call) = program.calls.get(&name) else {
            self.check_call(&id, &request.body)?;
            let intended = self.intent(now, &id, &name, digest, request.body, 1);
            self.start_intent(now, &id, intended, ticket, out);
            return Ok(());
        };
        if call.intended.content_digest != digest {
            let detail = format!("the call {name} was made with other content");
            return Err(Box::new(refuse(422, "call_mismatch", detail)));
        }
        match &call.resolved {
            Some(resolved) if resolved.state == CallState::NotRun => {
                let attempt = call.intended.attempt + 1;
                self.check_call(&id, &request.body)?;
                let intended = self.intent(now, &id, &name, digest, request.body, attempt);
                self.start_intent(now, &id, intended, ticket, out);
            }
            Some(_) => out.answer(ticket, OwnerEvent::Called(call.answer(true))),
            None => self.join_call(now, &id, &name, ticket, wait, out),
        }
        Ok(())
    }

    fn check_call(&self, id: &ProgramId, body: &CallBody) -> Accepted {
        if self.program(id).is_none_or(Program::is_ending) {
            return Err(Box::new(refuse(409, "program_ended", "the program has ended")));
        }
        if !self.configuration.services.contains_key(&body.service) {
            let detail = format!("no service {}", body.service);
            return Err(Box::new(refuse(404, "unknown_service", detail)));
        }
        let bytes = json_bytes(&body.body);
        if bytes > self.limits.max_turn_bytes {
            let detail = format!("the body has {bytes} bytes of {}", self.limits.max_turn_bytes);
            return Err(Box::new(refuse(413, "call_too_large", detail)));
        }
        self.check_platform()
    }

    fn intent(
        &self,
        now: Now,
        id: &ProgramId,
        name: &str,
        content_digest: String,
        body: CallBody,
        attempt: u32,
    ) -> IntendedRecord {
        let run_deadline = self.bounds(id).map_or(now.unix_ms, |bounds| bounds.deadline_unix_ms);
        IntendedRecord {
            program: id.to_string(),
            call: name.to_owned(),
            content_digest,
            service: body.service,
            path: body.path,
            body: body.body,
            idempotent: body.idempotent,
            wait: body.wait,
            attempt,
            deadline_unix_ms: body.deadline_ms.map_or(run_deadline, |ms| now.unix_ms.saturating_add(ms)),
        }
    }

    fn start_intent(
        &mut self,
        now: Now,
        id: &ProgramId,
        intended: IntendedRecord,
        ticket: u64,
        out: &mut Outbox,
    ) {
        let name = intended.call.clone();
        let mut call = Call::intend(intended.clone(), now.ms);
        call.waiters.push(ticket);
        self.tickets.insert(ticket, id.clone());
        if let Some(program) = self.program_mut(id) {
            program.calls.insert(name.clone(), call);
        }
        self.append(id, intended, out);
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Call(id.clone(), name));
    }

    /// a concurrent duplicate waits for the one run.
    fn join_call(&mut self, now: Now, id: &ProgramId, name: &str, ticket: u64, wait: bool, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let recorded = !matches!(call.phase, CallPhase::Intending { .. });
        if !wait && recorded {
            let answer = call.answer(true);
            out.answer(ticket, OwnerEvent::Called(answer));
            return;
        }
        call.waiters.push(ticket);
        self.tickets.insert(ticket, id.clone());
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Call(id.clone(), name.to_owned()));
    }

    pub(super) fn intent_committed(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        out.event(What::CallIntended, id, name.to_owned());
        let Some(call) = self.call_mut(id, name) else { return };
        let CallPhase::Intending { abandoned, .. } = call.phase else { return };
        if !call.intended.wait {
            let waiters = std::mem::take(&mut call.waiters);
            call.phase = CallPhase::BackingOff { at_ms: now.ms };
            let answer = call.answer(false);
            for ticket in waiters {
                self.tickets.remove(&ticket);
                out.answer(ticket, OwnerEvent::Called(answer.clone()));
            }
        }
        if abandoned {
            self.resolve(now, id, name, CallState::NotRun, 0, Value::Null, out);
            return;
        }
        self.attempt_call(now, id, name, out);
    }

    fn attempt_call(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        if now.unix_ms >= call.intended.deadline_unix_ms {
            let state = if call.broken == 0 { CallState::NotRun } else { CallState::Failed };
            self.resolve(now, id, name, state, 0, Value::Null, out);
            return;
        }
        call.phase = CallPhase::Running;
        call.tries += 1;
        let intended = call.intended.clone();
        let number = self.take_number();
        let service = self.configuration.services.get(&intended.service);
        let timeout_ms = service.map_or(DEFAULT_TIMEOUT_MS, |service| service.timeout_ms);
        let left_ms = intended.deadline_unix_ms - now.unix_ms;
        let workspace = self.program(id).map(|program| program.opened.workspace.clone()).unwrap_or_default();
        self.services.insert(number, (id.clone(), name.to_owned()));
        let request = ServiceRequest {
            program: id.to_string(),
            workspace,
            call: idempotency_key(&intended),
            service: intended.service,
            path: intended.path,
            body: intended.body,
            idempotent: intended.idempotent,
            timeout_ms: timeout_ms.min(left_ms),
        };
        out.actions.push(Action::Service { service: number, request });
    }

    /// an attempt of a call ended.
    pub fn handle_service(&mut self, now: Now, service: u64, outcome: ServiceOutcome, out: &mut Outbox) {
        let Some((id, name)) = self.services.remove(&service) else { return };
        let Some(call) = self.call_mut(&id, &name) else { return };
        let idempotent = call.intended.idempotent;
        match outcome {
            ServiceOutcome::Answered { status, body } if ran_nothing(status, &body) => {
                self.not_sent(now, &id, &name, out);
            }
            ServiceOutcome::Answered { status, body } if status < 500 => {
                let state = if status < 400 { CallState::Done } else { CallState::Failed };
                self.resolve(now, &id, &name, state, status, body, out);
            }
            ServiceOutcome::Answered { .. } | ServiceOutcome::Broken { .. } => {
                call.broken += 1;
                if idempotent {
                    self.retry_call(now, &id, &name, out);
                } else {
                    self.look_up(now, &id, &name, out);
                }
            }
            ServiceOutcome::NotSent { .. } => self.not_sent(now, &id, &name, out),
        }
    }

    fn not_sent(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        if call.intended.idempotent {
            self.retry_call(now, id, name, out);
            return;
        }
        self.resolve(now, id, name, CallState::NotRun, 0, Value::Null, out);
    }

    fn retry_call(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let wait_ms = (FIRST_RETRY_MS << call.tries.min(10)).min(MAX_RETRY_MS);
        let at_ms = now.ms + wait_ms;
        call.phase = CallPhase::BackingOff { at_ms };
        self.timers.set(at_ms, Timer::Call(id.clone(), name.to_owned()));
        self.release_idle_calls(self.slot_of(id), out);
    }

    /// an attempt may have run: asks the service, or says that the outcome is unknown.
    pub(super) fn look_up(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let intended = call.intended.clone();
        let tries = call.tries;
        let finds =
            self.configuration.services.get(&intended.service).is_some_and(|entry| entry.finds_by_key);
        if !finds || tries > MAX_LOOK_UPS {
            self.resolve(now, id, name, CallState::Unknown, 0, Value::Null, out);
            return;
        }
        let number = self.take_number();
        self.services.insert(number, (id.clone(), name.to_owned()));
        if let Some(call) = self.call_mut(id, name) {
            call.phase = CallPhase::LookingUp;
            call.tries += 1;
        }
        let look_up = LookUp { call: idempotency_key(&intended), service: intended.service };
        out.actions.push(Action::LookUp { service: number, request: look_up });
    }

    /// a service told what it knows of a call.
    pub fn handle_look_up(&mut self, now: Now, service: u64, outcome: LookUpOutcome, out: &mut Outbox) {
        let Some((id, name)) = self.services.remove(&service) else { return };
        match outcome {
            LookUpOutcome::Found { status, body } => {
                let state = if status < 400 { CallState::Done } else { CallState::Failed };
                self.resolve(now, &id, &name, state, status, body, out);
            }
            LookUpOutcome::NotFound => {
                self.resolve(now, &id, &name, CallState::NotRun, 0, Value::Null, out);
            }
            LookUpOutcome::Unavailable => {
                let Some(call) = self.call_mut(&id, &name) else { return };
                let at_ms = now.ms + (FIRST_RETRY_MS << call.tries.min(10)).min(MAX_RETRY_MS);
                call.phase = CallPhase::LookUpAt { at_ms };
                self.release_idle_calls(self.slot_of(&id), out);
                self.timers.set(at_ms, Timer::Call(id, name));
            }
        }
    }

    #[allow(clippy::too_many_arguments, reason = "each is one part of the outcome")]
    pub(super) fn resolve(
        &mut self,
        now: Now,
        id: &ProgramId,
        name: &str,
        state: CallState,
        status: u16,
        body: Value,
        out: &mut Outbox,
    ) {
        let Some(call) = self.call_mut(id, name) else { return };
        call.phase = CallPhase::Resolving { since_ms: now.ms };
        let bytes = json_bytes(&body);
        let body = if bytes > MAX_KEPT_BYTES { too_large(bytes) } else { body };
        let record = ResolvedRecord { program: id.to_string(), call: name.to_owned(), state, status, body };
        self.append(id, record, out);
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Call(id.clone(), name.to_owned()));
    }

    pub(super) fn outcome_committed(
        &mut self,
        now: Now,
        id: &ProgramId,
        record: ResolvedRecord,
        out: &mut Outbox,
    ) {
        let name = record.call.clone();
        let Some(call) = self.call_mut(id, &name) else { return };
        let repeatable = record.state == CallState::NotRun;
        call.resolve(record);
        if repeatable {
            // A caller that was told `not_run` may come again; nothing of this attempt is left.
            call.broken = 0;
        }
        let answer = call.answer(false);
        let waiters = std::mem::take(&mut call.waiters);
        out.event(What::CallResolved, id, format!("{name}: {}", answer.state));
        for ticket in waiters {
            self.tickets.remove(&ticket);
            out.answer(ticket, OwnerEvent::Called(answer.clone()));
        }
        self.arm_forget(now, id);
    }

    pub(super) fn call_due(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(slot) = self.slots.get(&self.slot_of(id)) else { return };
        let draining = slot.draining;
        let stalled = self.stalled;
        let Some(call) = self.call_mut(id, name) else { return };
        match call.phase {
            CallPhase::BackingOff { at_ms } if now.ms >= at_ms && !draining => {
                self.attempt_call(now, id, name, out);
            }
            CallPhase::LookUpAt { at_ms } if now.ms >= at_ms && !draining => {
                self.look_up(now, id, name, out);
            }
            CallPhase::Intending { since_ms, .. } if stalled && now.ms >= since_ms + COMMIT_WAIT_MS => {
                self.abandon_intent(id, name, out);
            }
            CallPhase::Resolving { since_ms } if stalled && now.ms >= since_ms + COMMIT_WAIT_MS => {
                self.send_call_away(id, name, out);
            }
            CallPhase::Intending { .. } | CallPhase::Resolving { .. } => {
                self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Call(id.clone(), name.to_owned()));
            }
            _ => {}
        }
    }

    /// the intent waits too long for its commit.
    ///
    /// A call that runs at most once is given up for good: nothing ran, and this intent never will, since
    /// a successor that finds it without an outcome does not run it either. A successor would run an
    /// idempotent one, so its callers come back.
    fn abandon_intent(&mut self, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let waiters = std::mem::take(&mut call.waiters);
        let idempotent = call.intended.idempotent;
        if let CallPhase::Intending { abandoned, .. } = &mut call.phase {
            *abandoned = !idempotent;
        }
        let detail = "the platform does not take writes";
        let problem = if idempotent {
            unknown_for(503, "commit_pending", detail, RETRY_OUTAGE_MS)
        } else {
            refuse_for(503, "platform_unavailable", detail, RETRY_OUTAGE_MS)
        };
        for ticket in waiters {
            self.tickets.remove(&ticket);
            out.refuse(ticket, problem.clone());
        }
    }

    fn send_call_away(&mut self, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let waiters = std::mem::take(&mut call.waiters);
        let detail = "the outcome waits for the platform; the same request gets it later";
        for ticket in waiters {
            self.tickets.remove(&ticket);
            out.refuse(ticket, unknown_for(503, "commit_pending", detail, RETRY_OUTAGE_MS));
        }
    }

    /// callers of calls between two attempts ask the next owner when the slot is about to move.
    pub(super) fn release_idle_calls(&mut self, slot: SlotId, out: &mut Outbox) {
        let Some(state) = self.slots.get_mut(&slot) else { return };
        if !state.draining {
            return;
        }
        let calls = state.programs.values_mut().flat_map(|program| program.calls.values_mut());
        let mut released = Vec::new();
        for call in calls {
            if matches!(call.phase, CallPhase::BackingOff { .. } | CallPhase::LookUpAt { .. }) {
                released.append(&mut call.waiters);
            }
        }
        for ticket in released {
            self.tickets.remove(&ticket);
            out.refuse(ticket, unknown_for(421, "owner_moved", "the slot is moving", RETRY_SOON_MS));
        }
    }

    /// sets the timers of calls that wait for their next attempt.
    pub(super) fn arm_calls(&mut self, now: Now, id: &ProgramId) {
        let Some(program) = self.program(id) else { return };
        let mut waiting = Vec::new();
        for (name, call) in &program.calls {
            if let CallPhase::BackingOff { at_ms } | CallPhase::LookUpAt { at_ms } = call.phase {
                waiting.push((at_ms.max(now.ms), name.clone()));
            }
        }
        for (at_ms, name) in waiting {
            self.timers.set(at_ms, Timer::Call(id.clone(), name));
        }
    }

    /// takes up the calls of an adopted program that have no outcome.
    pub(super) fn adopt_calls(&mut self, now: Now, id: &ProgramId, out: &mut Outbox) {
        let Some(program) = self.program_mut(id) else { return };
        let mut unknown = Vec::new();
        for (name, call) in &mut program.calls {
            if !call.is_open() {
                continue;
            }
            // An earlier owner may have sent it.
            call.broken = 1;
            if call.intended.idempotent {
                call.phase = CallPhase::BackingOff { at_ms: now.ms };
            } else {
                unknown.push(name.clone());
            }
        }
        for name in unknown {
            self.look_up(now, id, &name, out);
        }
    }

    fn call_mut(&mut self, id: &ProgramId, name: &str) -> Option<&mut Call> {
        self.program_mut(id)?.calls.get_mut(name)
    }
}

/// digest of what a call asks for; a repeat must ask for the same.
fn content_digest(body: &CallBody) -> Digest {
    let content = serde_json::json!([body.service, body.path, body.body, body.idempotent]);
    Digest::of(content.to_string().as_bytes())
}

/// the key that a service sees; an attempt after a recorded `not_run` has one of its own.
///
/// Programs name their calls by themselves, so the program is part of the key. Neither `:` nor `#`
/// stands in the name of a program, and no `#` in that of a call: two keys never meet.
fn idempotency_key(intended: &IntendedRecord) -> String {
    let key = format!("{}:{}", intended.program, intended.call);
    match intended.attempt {
        0 | 1 => key,
        attempt => format!("{key}#{attempt}"),
    }
}

/// stands in for an answer that no journal entry could hold.
fn too_large(bytes: u64) -> Value {
    serde_json::json!({ "error": format!("the service's answer of {bytes} bytes is too large to keep") })
}

/// whether a service says that it ran nothing.
fn ran_nothing(status: u16, body: &Value) -> bool {
    matches!(status, STATUS_TOO_MANY | STATUS_UNAVAILABLE) && body["ran"] == "not_run"
}
