use crate::clock::Now;
use crate::journal::JournalStep;
use crate::owner::Owner;
use crate::owner::OwnerAction;
use crate::owner::OwnerInput;
use crate::owner::owner::Stage;
use crate::owner::platform_calls::Purpose;
use crate::program::Outbox;

impl Owner {
    pub(super) fn consider_left(&mut self, now: Now, out: &mut Outbox) {
        let Some(since_ms) = self.leaving_since_ms else { return };
        let late = now.ms >= since_ms + self.settings.limits.drain_timeout_ms;
        let quiet = self.programs.is_idle() && self.fenced.is_empty() && self.journal.is_idle();
        let alone = quiet && !self.ownership.has_successor();
        let empty = self.ownership.is_empty() && quiet;
        if late {
            self.leave(out);
        } else if empty || alone {
            // From here on nothing may be appended: what follows the seal would not count.
            self.stage = Stage::Closing;
            self.refuse_all(out);
            self.journal.close();
            self.close(now, out);
        }
    }

    /// writes the own seal, which lets the journal be deleted whole.
    pub(super) fn close(&mut self, now: Now, out: &mut Outbox) {
        if self.journal.is_closed() {
            self.leave(out);
            return;
        }
        if let Some(JournalStep::Call(request)) = self.journal.poll(now) {
            out.actions.push(self.calls.start(Purpose::Journal, request));
        }
    }

    pub(super) fn leave(&mut self, out: &mut Outbox) {
        self.refuse_all(out);
        self.stage = Stage::Stopped;
        out.actions.push(OwnerAction::Left);
    }

    pub(super) fn handle_closing(&mut self, now: Now, input: OwnerInput, out: &mut Outbox) {
        match input {
            OwnerInput::Platform { call, result } => {
                let journal = self.calls.finish(call) == Some(Purpose::Journal);
                if journal && self.journal.reply(now, &result).is_some() {
                    self.leave(out);
                    return;
                }
            }
            other => self.refuse_after_stop(other, out),
        }
        let since_ms = self.leaving_since_ms.unwrap_or(now.ms);
        if now.ms >= since_ms + self.settings.limits.drain_timeout_ms {
            self.leave(out);
            return;
        }
        self.close(now, out);
    }
}
