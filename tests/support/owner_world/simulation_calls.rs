use flamingostand::journal;
use flamingostand::owner::OwnerInput;
use flamingostand::owner::ServiceOutcome;
use flamingostand::owner::ServiceRequest;
use flamingostand::platform::PlatformError;
use flamingostand::platform::PlatformReply;
use flamingostand::platform::PlatformRequest;
use flamingostand::platform::PlatformResult;
use flamingostand::schema::CallState;
use flamingostand::schema::EntryBody;
use flamingostand::schema::JournalEntry;
use flamingostand::schema::Record;
use rand::RngExt;

use super::simulation::Event;
use super::simulation::Simulation;
use super::simulation::Watcher;
use super::trace::describe;

impl Simulation {
    pub(super) fn platform_call(&mut self, at: usize, start: u64, call: u64, request: PlatformRequest) {
        let faults = self.plan.faults.clone();
        let active = self.now < faults.active_ms;
        if self.now < self.outage_until {
            let error =
                if self.rng.random_bool(0.5) { PlatformError::Unavailable } else { PlatformError::Unknown };
            let input = Box::new(OwnerInput::Platform { call, result: Err(error) });
            let after = self.rng.random_range(1..300);
            self.push_in(after, Event::Deliver { at, start, input });
            return;
        }
        if active && self.rng.random_bool(faults.refused) {
            let error = PlatformError::RateLimited { retry_after_ms: 30 };
            let input = Box::new(OwnerInput::Platform { call, result: Err(error) });
            self.push_in(2, Event::Deliver { at, start, input });
            return;
        }
        if active && self.rng.random_bool(faults.lost_reply) {
            let input = Box::new(OwnerInput::Platform { call, result: Err(PlatformError::Unknown) });
            let after = self.rng.random_range(5..400);
            self.push_in(after, Event::Deliver { at, start, input });
            if self.rng.random_bool(0.7) {
                let late = if self.rng.random_bool(0.3) { 4000 } else { 10 };
                let after = self.rng.random_range(1..late);
                self.push_in(after, Event::PlatformApply { at, start, call, request, reply: false });
            }
            return;
        }
        let after = self.rng.random_range(1..4);
        self.push_in(after, Event::PlatformApply { at, start, call, request, reply: true });
    }

    pub(super) fn apply(
        &mut self,
        at: usize,
        start: u64,
        call: u64,
        request: PlatformRequest,
        reply: bool,
    ) -> Result<(), String> {
        if let PlatformRequest::Watch { wait_ms, .. } = &request {
            let until = self.now + wait_ms;
            *self.platform.calls.entry("watch").or_default() += 1;
            self.watchers.push(Watcher { at, start, call, request, until });
            return Ok(());
        }
        let result = self.platform.call(&request);
        if self.trace && !matches!(&request, PlatformRequest::List { .. }) {
            println!(
                "{} {}: apply {} {:?}",
                self.now,
                self.instances[at].incarnation,
                request.kind(),
                describe(&request)
            );
        }
        if let (PlatformRequest::Create { key, value }, Ok(PlatformReply::Written { .. })) =
            (&request, &result)
        {
            self.check_commit(key, value)?;
        }
        if reply {
            self.reply(at, start, call, result);
        }
        Ok(())
    }

    pub(super) fn reply(&mut self, at: usize, start: u64, call: u64, result: PlatformResult) {
        let after = self.rng.random_range(1..3);
        let input = Box::new(OwnerInput::Platform { call, result });
        self.push_in(after, Event::Deliver { at, start, input });
    }

    /// checks a journal write against the reference: each key has one content, and each turn commits once.
    pub(super) fn check_commit(&mut self, key: &str, value: &[u8]) -> Result<(), String> {
        if journal::parse_journal_key(key).is_none() {
            return Ok(());
        }
        let entry: JournalEntry = journal::decode(value).map_err(|error| error.to_string())?;
        if let Some(known) = self.entries.get(key) {
            // A paused reader may seal a journal deleted meanwhile, and a delayed write may arrive again.
            let harmless = known == value || matches!(entry.body, EntryBody::Seal(_));
            return if harmless { Ok(()) } else { Err(format!("{key} was written with two contents")) };
        }
        self.entries.insert(key.to_owned(), value.to_vec());
        let EntryBody::Batch(batch) = entry.body else { return Ok(()) };
        for record in batch.records {
            match &record {
                Record::Intended(intended) => {
                    self.attempts.insert(intended.call.clone(), intended.attempt);
                }
                Record::Resolved(resolved) if resolved.state == CallState::NotRun => {
                    let attempt = self.attempts.get(&resolved.call).copied().unwrap_or(1);
                    let suffix = if attempt > 1 { format!("#{attempt}") } else { String::new() };
                    self.not_run.push(format!("{}:{}{suffix}", resolved.program, resolved.call));
                }
                _ => {}
            }
            let Record::Turned(turned) = record else { continue };
            let answer = serde_json::to_string(&turned.answer).unwrap_or_default();
            if self.committed.insert((turned.program.clone(), turned.turn), answer).is_some() {
                return Err(format!("turn {} of {} was committed twice", turned.turn, turned.program));
            }
            self.report.turns += 1;
        }
        Ok(())
    }

    pub(super) fn wake_watchers(&mut self) {
        let mut watchers = std::mem::take(&mut self.watchers);
        watchers.retain(|watcher| self.instances[watcher.at].start == watcher.start);
        for watcher in watchers {
            let PlatformRequest::Watch { prefix, after_revision, .. } = &watcher.request else { continue };
            let changed = self.platform.revision > *after_revision
                && self
                    .platform
                    .log
                    .iter()
                    .rev()
                    .any(|change| change.version > *after_revision && change.key.starts_with(prefix));
            if !changed && self.now < watcher.until {
                self.watchers.push(watcher);
                continue;
            }
            let result = self.platform.call(&watcher.request);
            self.reply(watcher.at, watcher.start, watcher.call, result);
        }
    }

    pub(super) fn service_call(&mut self, at: usize, start: u64, service: u64, request: ServiceRequest) {
        let fault = if self.now < self.plan.faults.active_ms { self.plan.faults.service } else { 0.0 };
        let after = self.rng.random_range(1..30);
        if !self.rng.random_bool(fault) {
            self.push_in(after, Event::ServiceArrives { at, start, service, request, reply: true });
            return;
        }
        let (outcome, arrives) = match self.rng.random_range(0..4) {
            0 => (ServiceOutcome::NotSent { detail: String::new() }, None),
            1 => (
                ServiceOutcome::Answered { status: 503, body: serde_json::json!({ "ran": "not_run" }) },
                None,
            ),
            2 => (ServiceOutcome::Unknown { detail: String::new() }, None),
            _ => (ServiceOutcome::Unknown { detail: String::new() }, Some(self.rng.random_range(1..3000))),
        };
        if let Some(late) = arrives {
            self.push_in(late, Event::ServiceArrives { at, start, service, request, reply: false });
        }
        let input = Box::new(OwnerInput::Service { service, outcome });
        self.push_in(after, Event::Deliver { at, start, input });
    }
}
