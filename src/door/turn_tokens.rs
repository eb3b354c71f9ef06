/// what a door has to do with the reservation of a turn that it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRole {
    /// the door took the turn from its caller. It alone sees what the caller gets, also through other doors, so it
    /// alone ends the reservation.
    Caller,
    /// the door helps another one, which ends the reservation.
    Helper,
    /// the door helps one of a build that leaves the end of the reservation to the helper that takes the turn.
    EndingHelper,
}

/// the tokens of one turn that a door has handed on, and what it reports of them when the turn ends.
///
/// The doors that a turn passes through share its reservation, which is named after the turn: if one of them ended it
/// before it has run, what the next one generates would be charged to nobody.
#[derive(Clone, Debug)]
pub struct TurnTokens {
    role: TurnRole,
    tokens_per_event: u64,
    /// tokens reserved for the turn.
    most_tokens: u64,
    event_count: u64,
    /// whether the ledger may hold tokens for the turn that this door has to settle.
    is_open: bool,
}

impl TurnTokens {
    /// no event so far. `tokens_per_event` is the most that one event stands for, `most_tokens` what the turn may
    /// generate.
    pub fn new(role: TurnRole, tokens_per_event: u64, most_tokens: u64) -> Self {
        Self { role, tokens_per_event, most_tokens, event_count: 0, is_open: role != TurnRole::Helper }
    }

    /// records an event; `false` if it exceeds the reserved tokens.
    pub fn record_event(&mut self) -> bool {
        if self.event_count >= self.most_events() {
            return false;
        }
        self.event_count += 1;
        true
    }

    /// records that all reserved tokens may have been handed on.
    pub fn use_all(&mut self) {
        self.event_count = self.most_events();
    }

    fn most_events(&self) -> u64 {
        // Rounded up, as the last event may stand for fewer tokens than the others.
        self.most_tokens.div_ceil(self.tokens_per_event.max(1))
    }

    /// tokens handed on so far.
    pub fn used(&self) -> u64 {
        self.event_count * self.tokens_per_event
    }

    /// records that nothing was reserved, or that the end of the turn was reported.
    pub fn close(&mut self) {
        self.is_open = false;
    }

    /// records that another door may have reserved tokens for the turn, on behalf of this one.
    pub fn reopen(&mut self) {
        self.is_open = self.role == TurnRole::Caller;
    }

    /// records that the turn is left to other doors: a helper must not end what they may still use.
    pub fn leave_to_others(&mut self) {
        self.is_open = self.role == TurnRole::Caller && self.is_open;
    }

    /// the tokens that this door reports as used when the turn ends; `None` if it has nothing to report.
    pub fn at_end(&self) -> Option<u64> {
        self.is_open.then(|| self.used())
    }
}
