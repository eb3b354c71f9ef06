//! the platform's store against a naive one that keeps its whole history.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use flamingo_standins::platform::Change;
use flamingo_standins::platform::Store;
use flamingo_standins::platform::StoreError;
use proptest::prelude::*;

const LOG_CHANGES: usize = 8;

#[derive(Clone, Debug)]
enum Step {
    Create(u8, u8),
    Update(u8, u8, u64),
    Delete(u8),
    Compact,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..6_u8, any::<u8>()).prop_map(|(key, value)| Step::Create(key, value)),
        4 => (0..6_u8, any::<u8>(), 0..3_u64).prop_map(|(key, value, off)| Step::Update(key, value, off)),
        2 => (0..6_u8).prop_map(Step::Delete),
        1 => Just(Step::Compact),
    ];
    prop::collection::vec(step, 0..40)
}

fn key(number: u8) -> String {
    format!("{}/{number}", if number < 3 { "a" } else { "b" })
}

/// every write since the beginning; the state at a revision is replayed from it.
#[derive(Default)]
struct Naive {
    writes: Vec<(String, Option<Vec<u8>>)>,
    compacted_at: usize,
}

impl Naive {
    fn at(&self, revision: usize) -> BTreeMap<String, (u64, Vec<u8>)> {
        let mut state = BTreeMap::new();
        for (index, (key, value)) in self.writes.iter().take(revision).enumerate() {
            match value {
                Some(value) => state.insert(key.clone(), (index as u64 + 1, value.clone())),
                None => state.remove(key),
            };
        }
        state
    }

    fn now(&self) -> BTreeMap<String, (u64, Vec<u8>)> {
        self.at(self.writes.len())
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>) -> u64 {
        self.writes.push((key.to_owned(), value));
        self.writes.len() as u64
    }

    fn oldest(&self) -> usize {
        self.compacted_at.max(self.writes.len().saturating_sub(LOG_CHANGES))
    }

    fn apply(
        &mut self,
        store: &mut Store,
        step: &Step,
    ) -> (Result<u64, StoreError>, Result<u64, StoreError>) {
        let state = self.now();
        match step {
            Step::Create(number, value) => {
                let key = key(*number);
                let wanted = match state.contains_key(&key) {
                    true => Err(StoreError::Conflict),
                    false => Ok(self.write(&key, Some(vec![*value]))),
                };
                (store.create(&key, &[*value]), wanted)
            }
            Step::Update(number, value, off) => {
                let key = key(*number);
                let version = state.get(&key).map_or(1, |(version, _)| *version) + off;
                let wanted = match state.get(&key) {
                    None => Err(StoreError::NotFound),
                    Some((stored, _)) if *stored != version => Err(StoreError::Conflict),
                    Some(_) => Ok(self.write(&key, Some(vec![*value]))),
                };
                (store.update(&key, &[*value], version), wanted)
            }
            Step::Delete(number) => {
                let key = key(*number);
                let wanted = match state.contains_key(&key) {
                    false => Err(StoreError::NotFound),
                    true => Ok(self.write(&key, None)),
                };
                (store.delete(&key), wanted)
            }
            Step::Compact => {
                store.compact();
                self.compacted_at = self.writes.len();
                (Ok(0), Ok(0))
            }
        }
    }
}

fn rows(page: &flamingo_standins::platform::Page) -> BTreeMap<String, (u64, Vec<u8>)> {
    let row = |object: &flamingo_standins::platform::Object| {
        (object.key.clone(), (object.version, object.value.to_vec()))
    };
    page.objects.iter().map(row).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn naive_history(steps in steps()) {
        let mut store = Store::new(LOG_CHANGES);
        let mut naive = Naive::default();
        for step in &steps {
            let (got, wanted) = naive.apply(&mut store, step);
            prop_assert_eq!(got, wanted);
            prop_assert_eq!(store.revision(), naive.writes.len() as u64);
        }
        prop_assert_eq!(rows(&store.list("", "", 500, true)), naive.now());
        let below: BTreeMap<_, _> = naive.now().into_iter().filter(|(key, _)| key.starts_with("b/")).collect();
        prop_assert_eq!(rows(&store.list("b/", "", 500, true)), below);
        for revision in naive.oldest()..=naive.writes.len() {
            let past = naive.at(revision);
            prop_assert_eq!(rows(&store.list_at("", "", 500, true, revision as u64)), past.clone());
            for number in 0..6 {
                let got = store.get_at(&key(number), revision as u64).ok();
                let got = got.map(|object| (object.version, object.value.to_vec()));
                prop_assert_eq!(got.as_ref(), past.get(&key(number)));
            }
        }
    }

    #[test]
    fn watched_history(steps in steps()) {
        let mut store = Store::new(LOG_CHANGES);
        let mut naive = Naive::default();
        for step in &steps {
            let _ = naive.apply(&mut store, step);
        }
        for revision in 0..=naive.writes.len() {
            let seen = store.watch_after("a/", revision as u64);
            if revision < naive.oldest() {
                prop_assert_eq!(seen, Err(StoreError::Gap));
                continue;
            }
            let wanted: Vec<Change> = naive.writes.iter().enumerate().skip(revision)
                .filter(|(_, (key, _))| key.starts_with("a/"))
                .map(|(index, (key, value))| Change {
                    key: key.clone(),
                    version: index as u64 + 1,
                    value: value.as_deref().map(Into::into),
                })
                .collect();
            prop_assert_eq!(seen, Ok((wanted, naive.writes.len() as u64)));
        }
    }
}

#[test]
fn paged_watch() {
    let mut store = Store::new(10_000);
    for number in 0..1_200 {
        store.create(&format!("k/{number}"), b"v").unwrap();
    }
    let mut seen = BTreeSet::new();
    let mut revision = 0;
    loop {
        let (changes, next) = store.watch_after("k/", revision).unwrap();
        if changes.is_empty() {
            break;
        }
        seen.extend(changes.into_iter().map(|change| change.key));
        revision = next;
    }
    assert_eq!(seen.len(), 1_200);
}

#[test]
fn bounded_page() {
    let mut store = Store::default();
    for number in 0..5 {
        store.create(&format!("k/{number}"), &vec![0; 1_048_576]).unwrap();
    }
    assert_eq!(store.create("large", &vec![0; 1_048_577]), Err(StoreError::TooLarge));
    let page = store.list("k/", "", 500, true);
    assert_eq!((page.objects.len(), page.more), (4, true));
    let rest = store.list("k/", &page.objects[3].key, 500, true);
    assert_eq!((rest.objects.len(), rest.more), (1, false));
    assert_eq!(store.list("k/", "", 500, false).objects.len(), 5);
}
