use crate::clock::Now;
use crate::ids::ProgramId;
use crate::schema::OwnerRequest;

/// maximum number of waiting requests.
const MAX_WAITING: usize = 10_000;

/// a request for a slot that is being moved.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    /// identifies the request in its answers.
    pub(super) ticket: u64,
    /// request to handle once the slot has moved.
    pub(super) request: OwnerRequest,
    /// when it is refused.
    pub(super) deadline_ms: u64,
}

/// requests for slots that are being moved, oldest first.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    requests: Vec<WaitingRequest>,
}

impl WaitQueue {
    /// adds a request; returns its ticket as the error if the queue is full.
    pub(super) fn push(&mut self, request: WaitingRequest) -> Result<(), u64> {
        if self.requests.len() >= MAX_WAITING {
            return Err(request.ticket);
        }
        self.requests.push(request);
        Ok(())
    }

    /// removes a request whose caller disconnected.
    pub(super) fn cancel(&mut self, ticket: u64) {
        self.requests.retain(|waiting| waiting.ticket != ticket);
    }

    /// removes and returns all requests.
    pub(super) fn take_all(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.requests)
    }

    /// removes the requests past their deadline and returns their tickets.
    pub(super) fn take_expired(&mut self, now: Now) -> Vec<u64> {
        let mut expired = Vec::new();
        self.requests.retain(|waiting| {
            let keep = now.ms < waiting.deadline_ms;
            if !keep {
                expired.push(waiting.ticket);
            }
            keep
        });
        expired
    }

    /// whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

/// the program of a request.
pub(super) fn program_of(request: &OwnerRequest) -> ProgramId {
    let program = match request {
        OwnerRequest::Open(request) => &request.program,
        OwnerRequest::Turn(request) => &request.program,
        OwnerRequest::Call(request) => &request.program,
        OwnerRequest::End(request) => &request.program,
        OwnerRequest::State(request) => &request.program,
    };
    ProgramId::from(program.as_str())
}
