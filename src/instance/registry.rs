use std::sync::Mutex;

use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;

/// values that wait for something to come back, named by numbers that are never reused.
#[derive(Debug)]
pub struct Registry<K: Key, V> {
    map: Mutex<SlotMap<K, V>>,
}

impl<K: Key, V> Default for Registry<K, V> {
    fn default() -> Self {
        Self { map: Mutex::new(SlotMap::with_key()) }
    }
}

impl<K: Key, V> Registry<K, V> {
    /// stores a value and returns its number.
    pub fn insert(&self, value: V) -> u64 {
        self.lock().insert(value).data().as_ffi()
    }

    /// reads the value behind a number.
    pub fn with<T>(&self, number: u64, read: impl FnOnce(&V) -> T) -> Option<T> {
        self.lock().get(key(number)).map(read)
    }

    /// changes the value behind a number.
    pub fn update<T>(&self, number: u64, change: impl FnOnce(&mut V) -> T) -> Option<T> {
        self.lock().get_mut(key(number)).map(change)
    }

    /// takes the value behind a number.
    pub fn remove(&self, number: u64) -> Option<V> {
        self.lock().remove(key(number))
    }

    /// takes all values that `matches` picks, with their numbers.
    pub fn remove_where(&self, matches: impl Fn(&V) -> bool) -> Vec<(u64, V)> {
        let mut map = self.lock();
        let picked: Vec<K> = map.iter().filter(|(_, value)| matches(value)).map(|(key, _)| key).collect();
        let mut removed = Vec::with_capacity(picked.len());
        for key in picked {
            let Some(value) = map.remove(key) else {
                continue;
            };
            removed.push((key.data().as_ffi(), value));
        }
        removed
    }

    /// numbers of all values that `matches` picks.
    pub fn find(&self, matches: impl Fn(&V) -> bool) -> Vec<u64> {
        let map = self.lock();
        map.iter().filter(|(_, value)| matches(value)).map(|(key, _)| key.data().as_ffi()).collect()
    }

    /// number of values that wait.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SlotMap<K, V>> {
        self.map.lock().expect("registry lock poisoned")
    }
}

fn key<K: Key>(number: u64) -> K {
    KeyData::from_ffi(number).into()
}
