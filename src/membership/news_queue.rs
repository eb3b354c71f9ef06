use std::collections::BTreeMap;

/// how often a record is passed on beyond the logarithm of the members.
const EXTRA_SENDS: u32 = 2;
/// waiting records beyond which new members are left to the comparison of views.
const MAX_JOINS: usize = 16;

/// how far one record has been passed on.
#[derive(Clone, Copy, Debug, Default)]
struct Item {
    sent_count: u32,
    urgent: bool,
}

/// names of the members whose records are passed on, with how often that was done.
#[derive(Debug, Default)]
pub(super) struct NewsQueue {
    items: BTreeMap<String, Item>,
}

impl NewsQueue {
    /// starts to pass the record of `name` on; urgent ones go out at the next tick.
    pub fn push(&mut self, name: &str, urgent: bool) {
        self.items.insert(name.to_owned(), Item { sent_count: 0, urgent });
    }

    /// starts to pass a new member on, unless so many are new that comparing views is cheaper.
    pub fn push_join(&mut self, name: &str) {
        if self.items.len() < MAX_JOINS {
            self.push(name, true);
        }
    }

    /// names of the records to send next, the least sent first.
    pub fn next(&self) -> Vec<String> {
        let mut names: Vec<(u32, &String)> =
            self.items.iter().map(|(name, item)| (item.sent_count, name)).collect();
        names.sort();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// names of the urgent records that have not gone out yet.
    pub fn urgent(&self) -> Vec<String> {
        let urgent = self.items.iter().filter(|(_, item)| item.urgent);
        urgent.map(|(name, _)| name.clone()).collect()
    }

    /// takes note that the urgent records went out.
    pub fn urgent_sent(&mut self, names: &[String]) {
        for name in names {
            if let Some(item) = self.items.get_mut(name) {
                item.urgent = false;
            }
        }
    }

    /// takes note that a record was sent; drops it when it was sent as often as the logarithm of the members asks.
    pub fn sent(&mut self, name: &str, member_count: usize) {
        let Some(item) = self.items.get_mut(name) else {
            return;
        };
        item.sent_count += 1;
        let limit = usize::BITS - member_count.leading_zeros() + EXTRA_SENDS;
        if item.sent_count >= limit && !item.urgent {
            self.items.remove(name);
        }
    }

    /// stops to pass the record of a forgotten member on.
    pub fn drop_news(&mut self, name: &str) {
        self.items.remove(name);
    }

    /// tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
