use std::collections::BTreeMap;
use std::collections::BTreeSet;

use flamingostand::owner::LookupOutcome;
use flamingostand::owner::ServiceOutcome;
use flamingostand::owner::ServiceRequest;
use flamingostand::program::history_tokens;
use flamingostand::schema::JobDone;
use flamingostand::schema::JobEvent;
use flamingostand::schema::JobFailed;
use flamingostand::schema::JobFault;
use flamingostand::schema::Token;
use flamingostand::schema::TurnJob;
use flamingostand::schema::Usage;
use rand::RngExt;
use rand::rngs::StdRng;

/// fake engines and services that count what they ran and spent.
#[derive(Default)]
pub struct Upstreams {
    /// tokens spent by engines, by root program.
    pub spent: BTreeMap<String, u64>,
    /// runs of each call, by call identifier.
    pub runs: BTreeMap<String, u32>,
    /// number of generated answers, which makes each answer unique.
    pub generated: u64,
    /// idempotency keys that ran.
    pub keys_run: BTreeSet<String>,
    tombstones: BTreeSet<String>,
    outcomes: BTreeMap<String, serde_json::Value>,
}

impl Upstreams {
    /// runs a turn; returns events and their delays, of which the last ends the job.
    pub fn generate(&mut self, job: &TurnJob, fault: f64, rng: &mut StdRng) -> Vec<(u64, JobEvent)> {
        let prompt_tokens = history_tokens(&job.messages);
        if rng.random_bool(fault / 2.0) {
            let fault = [JobFault::Refused, JobFault::Leaving, JobFault::NotSent, JobFault::Overloaded]
                [rng.random_range(0..4)];
            return vec![(2, failed(fault, 0))];
        }
        let completion_tokens = rng.random_range(1..=job.max_tokens.min(20));
        self.generated += 1;
        let text = format!("answer {}", self.generated);
        let done_after = rng.random_range(2..60);
        let token = JobEvent::Token(Token { text: text.clone() });
        let root = job.program.split('.').next().unwrap_or_default().to_owned();
        let spent = prompt_tokens + completion_tokens;
        *self.spent.entry(root).or_default() += spent;
        if rng.random_bool(fault / 2.0) {
            let fault = [JobFault::Died, JobFault::Broken][rng.random_range(0..2)];
            return vec![(1, token), (done_after, failed(fault, spent))];
        }
        let done = JobDone {
            text,
            finish_reason: "stop".to_owned(),
            tool_calls: Vec::new(),
            usage: Usage { prompt_tokens, cached_tokens: 0, completion_tokens },
        };
        vec![(1, token), (done_after, JobEvent::Done(done))]
    }

    /// handles a request that reaches a service.
    pub fn run(&mut self, request: &ServiceRequest) -> ServiceOutcome {
        if self.tombstones.contains(&request.call) {
            return ServiceOutcome::Answered { status: 410, body: serde_json::Value::Null };
        }
        // No service deduplicates by key: a second arrival is a second run.
        self.keys_run.insert(request.call.clone());
        let call = request.call.split_once(':').map_or(request.call.as_str(), |(_, call)| call);
        let base = call.split('#').next().unwrap_or_default().to_owned();
        *self.runs.entry(base).or_default() += 1;
        let body = serde_json::json!({ "echo": request.body });
        self.outcomes.insert(request.call.clone(), body.clone());
        ServiceOutcome::Answered { status: 200, body }
    }

    /// looks a key up; a service that does not know it will never run a request with it.
    pub fn look_up(&mut self, key: &str) -> LookupOutcome {
        match self.outcomes.get(key) {
            Some(body) => LookupOutcome::Found { status: 200, body: body.clone() },
            None => {
                self.tombstones.insert(key.to_owned());
                LookupOutcome::NotFound
            }
        }
    }
}

/// event of a failed job.
pub fn failed(fault: JobFault, spent_tokens: u64) -> JobEvent {
    JobEvent::Failed(JobFailed { fault, detail: "fault".to_owned(), spent_tokens, retry_after_ms: None })
}
