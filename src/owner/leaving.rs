use crate::clock::Now;
use crate::journal::JournalStep;
use crate::owner::Owner;
use crate::owner::OwnerAction;
use crate::owner::OwnerInput;
use crate::owner::owner::Stage;
use crate::owner::platform_calls::Purpose;
use crate::program::Outbox;

impl Owner {
    /// ends this incarnation once it is idle and has no slots or no successor, or when the drain times out.
    pub(super) fn leave_if_drained(&mut self, now: Now, out: &mut Outbox) {
        let Some(since_ms) = self.leaving_since_ms else { return };
        let timed_out = now.ms >= since_ms + self.settings.limits.drain_timeout_ms;
        let idle = self.programs.is_idle() && self.fenced.is_empty() && self.journal.is_idle();
        let no_successor = idle && !self.ownership.has_successor();
        let drained = self.ownership.is_empty() && idle;
        if timed_out {
            self.finish_leaving(out);
        } else if drained || no_successor {
            // Nothing may be appended from here on, since the seal has to be the last entry.
            self.stage = Stage::Closing;
            self.refuse_all(out);
            self.journal.close();
            self.write_seal(now, out);
        }
    }

    /// seals the own journal; unlike with a successor's seal, all of it can be deleted then.
    pub(super) fn write_seal(&mut self, now: Now, out: &mut Outbox) {
        if self.journal.is_closed() {
            self.finish_leaving(out);
            return;
        }
        if let Some(JournalStep::Call(request)) = self.journal.poll(now) {
            out.actions.push(self.calls.start(Purpose::Journal, request));
        }
    }

    pub(super) fn finish_leaving(&mut self, out: &mut Outbox) {
        self.refuse_all(out);
        self.stage = Stage::Stopped;
        out.actions.push(OwnerAction::Left);
    }

    pub(super) fn handle_closing(&mut self, now: Now, input: OwnerInput, out: &mut Outbox) {
        match input {
            OwnerInput::Platform { call, result } => {
                let is_journal = self.calls.finish(call) == Some(Purpose::Journal);
                if is_journal && self.journal.reply(now, &result).is_some() {
                    self.finish_leaving(out);
                    return;
                }
            }
            other => self.refuse_after_stop(other, out),
        }
        let since_ms = self.leaving_since_ms.unwrap_or(now.ms);
        if now.ms >= since_ms + self.settings.limits.drain_timeout_ms {
            self.finish_leaving(out);
            return;
        }
        self.write_seal(now, out);
    }
}
