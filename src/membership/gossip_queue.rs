use std::collections::BTreeMap;

/// transmissions of a record in addition to the binary logarithm of the member count.
const EXTRA_SENDS: u32 = 2;
/// queue length from which new members are no longer gossiped but left to anti-entropy.
const MAX_QUEUE_FOR_JOINS: usize = 16;

/// transmission state of one queued record.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedRecord {
    sent_count: u32,
    urgent: bool,
}

/// members whose records (the news) are piggybacked on datagrams, each until it was sent often enough.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    items: BTreeMap<String, QueuedRecord>,
}

impl GossipQueue {
    /// queues the record of `name`, with no transmissions yet; urgent ones are sent at the next tick.
    pub fn push(&mut self, name: &str, urgent: bool) {
        self.items.insert(name.to_owned(), QueuedRecord { sent_count: 0, urgent });
    }

    /// queues a new member, unless the queue is so long that anti-entropy is cheaper.
    pub fn push_join(&mut self, name: &str) {
        if self.items.len() < MAX_QUEUE_FOR_JOINS {
            self.push(name, true);
        }
    }

    /// queued names, the least often sent first.
    pub fn names_in_order(&self) -> Vec<String> {
        let mut names: Vec<(u32, &String)> =
            self.items.iter().map(|(name, item)| (item.sent_count, name)).collect();
        names.sort();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// names of the urgent records that have not been sent yet.
    pub fn urgent_names(&self) -> Vec<String> {
        let urgent = self.items.iter().filter(|(_, item)| item.urgent);
        urgent.map(|(name, _)| name.clone()).collect()
    }

    /// marks urgent records as sent.
    pub fn mark_urgent_sent(&mut self, names: &[String]) {
        for name in names {
            if let Some(item) = self.items.get_mut(name) {
                item.urgent = false;
            }
        }
    }

    /// counts a transmission; removes a record that was sent often enough for `member_count`.
    pub fn mark_sent(&mut self, name: &str, member_count: usize) {
        let Some(item) = self.items.get_mut(name) else {
            return;
        };
        item.sent_count += 1;
        let limit = usize::BITS - member_count.leading_zeros() + EXTRA_SENDS;
        if item.sent_count >= limit && !item.urgent {
            self.items.remove(name);
        }
    }

    /// removes the record of a member that is no longer known.
    pub fn remove(&mut self, name: &str) {
        self.items.remove(name);
    }

    /// whether no record is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
