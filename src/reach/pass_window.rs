use std::collections::HashMap;

/// requests of one door that may overtake each other.
const WINDOW: u64 = 128;
/// process starts of other doors that are remembered; one has a few at a time.
const MAX_SENDERS: usize = 4_096;

/// the numbers of the requests that other doors have passed on, so that none is taken twice.
#[derive(Debug, Default)]
pub struct PassWindows {
    /// by process start of the sender.
    senders: HashMap<String, Window>,
}

#[derive(Debug, Default)]
struct Window {
    highest: u64,
    /// bit `n` tells whether the number `highest - n` was taken.
    taken: u128,
}

impl PassWindows {
    /// takes a number of a sender, whose numbers start at 1; `false` if it was taken, or is too old to tell.
    pub fn take(&mut self, sender: &str, number: u64) -> bool {
        if !self.senders.contains_key(sender) && self.senders.len() >= MAX_SENDERS {
            return false;
        }
        let window = self.senders.entry(sender.to_owned()).or_default();
        if number > window.highest {
            let shift = number - window.highest;
            window.taken = if shift < WINDOW { window.taken << shift } else { 0 };
            window.highest = number;
        }
        let age = window.highest - number;
        if number == 0 || age >= WINDOW || window.taken & (1 << age) != 0 {
            return false;
        }
        window.taken |= 1 << age;
        true
    }
}
