//! the engine's time model and prefix cache, in virtual time.

use std::collections::BTreeMap;

use flamingo_standins::engine::BatchModel;
use flamingo_standins::engine::BatchOptions;
use flamingo_standins::engine::BatchProgress;
use flamingo_standins::engine::BatchWork;
use flamingo_standins::engine::Message;
use flamingo_standins::engine::PrefixCache;
use flamingo_standins::engine::PrefixPart;
use flamingo_standins::engine::prefix_parts;
use proptest::prelude::*;
use test_case::test_case;

const OPTIONS: BatchOptions = BatchOptions {
    prefill_tokens_per_s: 100_000,
    step_us: 10_000,
    step_per_running_us: 1_000,
    chunk_tokens: 1_000,
    max_running: 2,
    cache_tokens: 10_000,
};

fn part(prefix: u64, tokens: u64) -> PrefixPart {
    PrefixPart { prefix, tokens }
}

fn work(id: u64, prompt: &[PrefixPart], completion_tokens: u64) -> BatchWork {
    let program = format!("p{id}");
    BatchWork { id, program, prompt: prompt.to_vec(), answer: None, completion_tokens }
}

/// runs until idle and returns when each request got its first token and ended.
fn run(model: &mut BatchModel) -> BTreeMap<u64, (u64, u64)> {
    let mut times = BTreeMap::new();
    while let Some(at_us) = model.next_at_us() {
        for progress in model.advance(at_us) {
            match progress {
                BatchProgress::Token { id } => times.entry(id).or_insert((at_us, 0)).1 = at_us,
                BatchProgress::Started { .. } | BatchProgress::Finished { .. } => {}
            }
        }
    }
    times
}

#[test_case(500, 1, 15_000, 15_000; "one chunk")]
#[test_case(2_500, 1, 55_000, 55_000; "three chunks")]
#[test_case(500, 3, 15_000, 37_000; "decoding")]
fn lone_request(prompt_tokens: u64, completion_tokens: u64, first_us: u64, last_us: u64) {
    let mut model = BatchModel::new(OPTIONS);
    model.submit(0, work(1, &[part(1, prompt_tokens)], completion_tokens));
    assert_eq!(run(&mut model)[&1], (first_us, last_us));
}

#[test]
fn slower_batch() {
    let mut model = BatchModel::new(OPTIONS);
    model.submit(0, work(1, &[part(1, 100)], 10));
    let alone = run(&mut model)[&1].1;
    let mut model = BatchModel::new(OPTIONS);
    model.submit(0, work(1, &[part(1, 100)], 10));
    model.submit(0, work(2, &[part(2, 100)], 10));
    assert!(run(&mut model)[&1].1 > alone);
}

#[test]
fn inside_queue() {
    let mut model = BatchModel::new(OPTIONS);
    for id in 1..=4 {
        model.submit(0, work(id, &[part(id, 100)], 5));
    }
    assert_eq!((model.running_count(), model.waiting_count()), (1, 3), "a step that runs admits nobody");
    let times = run(&mut model);
    assert!(times[&1].0 < times[&3].0 && times[&2].1 <= times[&3].0 && times[&3].0 <= times[&4].0);
}

#[test]
fn slowed_engine() {
    let mut model = BatchModel::new(OPTIONS);
    model.set_slowdown(3.0);
    model.submit(0, work(1, &[part(1, 500)], 1));
    assert_eq!(run(&mut model)[&1].0, 45_000);
}

#[test]
fn cancelled_request() {
    let mut model = BatchModel::new(OPTIONS);
    model.submit(0, work(1, &[part(1, 500)], 100));
    model.submit(0, work(2, &[part(2, 500)], 1));
    model.advance(15_000);
    assert_eq!((model.cancel(1), model.cancel(1), model.cancel(9)), (Some(1), None, None));
    assert!(run(&mut model).contains_key(&2));
    assert_eq!(model.next_at_us(), None);
}

#[test]
fn cached_turn() {
    let mut model = BatchModel::new(OPTIONS);
    let mut first = work(1, &[part(1, 500)], 1);
    first.answer = Some(part(2, 50));
    model.submit(0, first);
    run(&mut model);
    let started = model.submit(1_000_000, work(2, &[part(1, 500), part(2, 50), part(3, 100)], 1));
    assert_eq!(started, [BatchProgress::Started { id: 2, cached_tokens: 550 }]);
    assert_eq!(run(&mut model)[&2].0, 1_011_000);
    assert_eq!(model.prefilled_tokens(), 600);
}

#[test]
fn least_recently_used() {
    let mut cache = PrefixCache::new(1_000);
    cache.insert(&[part(1, 400)], "p1");
    cache.insert(&[part(2, 400)], "p2");
    cache.touch_held(&[part(1, 400)], "p1");
    cache.insert(&[part(3, 400)], "p3");
    assert_eq!(cache.cached_tokens(&[part(2, 400)]), 0);
    assert_eq!((cache.cached_tokens(&[part(1, 400)]), cache.held_tokens()), (400, 800));
}

#[test]
fn prefix_names() {
    let messages = [Message::text("system", "be brief"), Message::text("user", "hello")];
    let parts = prefix_parts(&messages);
    let first = br#"{"content":"be brief","role":"system"}"#;
    let second = br#"{"content":"hello","role":"user"}"#;
    let before = xxhash_rust::xxh3::xxh3_64_with_seed(first, 0);
    assert_eq!(parts[0], part(before, (first.len() as u64).div_ceil(4)));
    assert_eq!(parts[1].prefix, xxhash_rust::xxh3::xxh3_64_with_seed(second, before));
}

#[derive(Clone, Debug)]
enum Step {
    Insert(u8, Vec<u8>),
    Release(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0..4_u8, prop::collection::vec(0..3_u8, 1..5)).prop_map(|(program, path)| Step::Insert(program, path)),
        1 => (0..4_u8).prop_map(Step::Release),
    ];
    prop::collection::vec(step, 0..60)
}

/// the prompt that follows `path` through a tree of messages.
fn prompt(path: &[u8]) -> Vec<PrefixPart> {
    let mut prefix = 1;
    let mut parts = Vec::new();
    for turn in path {
        prefix = prefix * 4 + u64::from(*turn) + 1;
        parts.push(part(prefix, 10 + u64::from(*turn)));
    }
    parts
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn cache_bounds(steps in steps(), capacity in 20..400_u64) {
        let mut cache = PrefixCache::new(capacity);
        for step in &steps {
            match step {
                Step::Insert(program, path) => cache.insert(&prompt(path), &format!("p{program}")),
                Step::Release(program) => {
                    let program = format!("p{program}");
                    cache.release(&program);
                    prop_assert!(!cache.holds().contains_key(&program), "a released program holds nothing");
                    prop_assert_eq!(cache.release(&program), 0);
                }
            }
            prop_assert!(cache.held_tokens() <= capacity);
            prop_assert_eq!(cache.holds().values().sum::<u64>(), cache.held_tokens());
        }
    }

    #[test]
    fn complete_batch(sizes in prop::collection::vec((1..3_000_u64, 1..20_u64), 1..12)) {
        let mut model = BatchModel::new(OPTIONS);
        let mut left: BTreeMap<u64, u64> = BTreeMap::new();
        for (id, (prompt_tokens, completion_tokens)) in sizes.iter().enumerate() {
            let id = id as u64;
            left.insert(id, *completion_tokens);
            model.submit(0, work(id, &[part(id + 1, *prompt_tokens)], *completion_tokens));
        }
        while let Some(at_us) = model.next_at_us() {
            prop_assert!(model.running_count() <= OPTIONS.max_running);
            for progress in model.advance(at_us) {
                if let BatchProgress::Token { id } = progress {
                    *left.get_mut(&id).unwrap() -= 1;
                }
            }
        }
        prop_assert!(left.values().all(|left| *left == 0));
    }
}
