use crate::clock::Now;
use crate::ids::ProgramId;
use crate::schema::OwnerRequest;

/// requests that wait at once.
const MAX_WAITING: usize = 10_000;

/// one request for a slot whose move is not settled.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    /// names the request in the answers.
    pub(super) ticket: u64,
    /// the request.
    pub(super) request: OwnerRequest,
    /// when it is refused.
    pub(super) until_ms: u64,
}

/// requests for slots whose moves are not settled, oldest first.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    requests: Vec<WaitingRequest>,
}

impl Waiting {
    /// adds a request; gives its ticket back when there is no room.
    pub(super) fn push(&mut self, request: WaitingRequest) -> Result<(), u64> {
        if self.requests.len() >= MAX_WAITING {
            return Err(request.ticket);
        }
        self.requests.push(request);
        Ok(())
    }

    /// removes a request whose caller hung up.
    pub(super) fn cancel(&mut self, ticket: u64) {
        self.requests.retain(|waiting| waiting.ticket != ticket);
    }

    /// takes all requests.
    pub(super) fn take(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.requests)
    }

    /// takes the requests that waited too long.
    pub(super) fn take_late(&mut self, now: Now) -> Vec<u64> {
        let mut late = Vec::new();
        self.requests.retain(|waiting| {
            let stays = now.ms < waiting.until_ms;
            if !stays {
                late.push(waiting.ticket);
            }
            stays
        });
        late
    }

    /// whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

/// the program that a request is for.
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
