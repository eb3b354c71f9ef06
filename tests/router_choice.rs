//! choice of replica: prefixes, load, age of beliefs, leaving, ejection.

#![allow(clippy::unwrap_used)]

use flamingostand::dispatch::CACHE_ENTRY_TTL_MS;
use flamingostand::dispatch::Replica;
use flamingostand::dispatch::Router;
use flamingostand::dispatch::RouterInput;
use flamingostand::dispatch::UNCONFIRMED_ENTRY_TTL_MS;
use flamingostand::schema::ChatMessage;
use flamingostand::schema::DispatchSettings;
use flamingostand::schema::JobFault;
use flamingostand::schema::ReplicaLoad;
use flamingostand::schema::Role;
use flamingostand::schema::TurnJob;
use test_case::test_case;

fn replicas(count: usize) -> Vec<Replica> {
    (0..count)
        .map(|number| Replica {
            name: format!("r{number}"),
            model: "m".to_string(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".to_string(),
            leaving: false,
        })
        .collect()
}

fn router(count: usize) -> Router {
    let mut router = Router::new(&DispatchSettings::default(), "z");
    router.handle(0, RouterInput::Replicas(replicas(count)));
    router
}

fn message(text: &str) -> ChatMessage {
    ChatMessage {
        content: Some(serde_json::Value::String(text.repeat(4_000))),
        name: None,
        role: Role::User,
        tool_call_id: None,
        tool_calls: Vec::new(),
    }
}

fn job(program: &str, texts: &[&str]) -> TurnJob {
    let messages: Vec<ChatMessage> = texts.iter().map(|text| message(text)).collect();
    let bytes: usize = messages.iter().map(|message| serde_json::to_vec(message).unwrap().len()).sum();
    TurnJob {
        attempt: 1,
        cached_tokens: 0,
        content_digest: String::new(),
        deadline_ms: 86_400_000,
        max_tokens: 100,
        messages,
        model: "m".to_string(),
        program: program.to_string(),
        program_service_tokens: 0,
        prompt_tokens: bytes as u64 / 4,
        replica: String::new(),
        turn: 1,
        waited_ms: 0,
        workspace: "w".to_string(),
    }
}

fn finish(router: &mut Router, now_ms: u64, replica: &str, job: &TurnJob) {
    router.handle(
        now_ms,
        RouterInput::TurnFinished {
            replica: replica.to_string(),
            program: job.program.clone(),
            prompt_tokens: job.prompt_tokens,
            cached_tokens: 0,
            completion_tokens: 10,
            first_token_ms: 100,
        },
    );
}

fn load(replica: &str, wait_ms: u64, token_gap_ms: u64) -> ReplicaLoad {
    ReplicaLoad {
        replica: replica.to_string(),
        running: 4,
        queued: 0,
        queued_tokens: 0,
        window: 16,
        age_ms: 0,
        wait_ms,
        token_gap_ms,
        uncached_per_second: 10_000,
    }
}

#[test]
fn returns_to_prefix() {
    let mut router = router(100);
    let first = router.choose(0, &job("p", &["a"]), &[]).unwrap().replica;
    finish(&mut router, 10, &first, &job("p", &["a"]));
    let again = router.choose(20, &job("p", &["a", "b"]), &[]).unwrap();
    assert_eq!(again.replica, first);
    assert!(again.cached_tokens > 900);
}

#[test]
fn shared_prefix_found() {
    let mut router = router(100);
    let first = router.choose(0, &job("p", &["a"]), &[]).unwrap().replica;
    finish(&mut router, 10, &first, &job("p", &["a"]));
    assert_eq!(router.choose(20, &job("q", &["a", "c"]), &[]).unwrap().replica, first);
}

#[test]
fn hot_prefix_spreads() {
    let mut router = router(8);
    let mut used = std::collections::BTreeSet::new();
    for number in 0..200 {
        let job = job(&format!("p{number}"), &["system", "own"]);
        used.insert(router.choose(number, &job, &[]).unwrap().replica);
    }
    assert_eq!(used.len(), 8);
}

#[test]
fn old_belief_dropped() {
    let mut router = router(100);
    let first = router.choose(0, &job("p", &["a"]), &[]).unwrap().replica;
    finish(&mut router, 10, &first, &job("p", &["a"]));
    let late = router.choose(10 + CACHE_ENTRY_TTL_MS + 1, &job("p", &["a", "b"]), &[]).unwrap();
    assert_eq!(late.cached_tokens, 0);
}

#[test]
fn dropped_prefix_forgotten() {
    let mut router = router(2);
    let prompt = job("p", &["a"]);
    let first = router.choose(0, &prompt, &[]).unwrap().replica;
    finish(&mut router, 10, &first, &prompt);
    let json = serde_json::to_vec(&prompt.messages[0]).unwrap();
    let prefix = xxhash_rust::xxh3::xxh3_64_with_seed(&json, 0);
    router.handle(20, RouterInput::PrefixEvicted { replica: first, prefix });
    assert_eq!(router.choose(30, &job("p", &["a", "b"]), &[]).unwrap().cached_tokens, 0);
}

#[test]
fn gap_shortens_belief() {
    let mut router = router(1);
    let first = router.choose(0, &job("p", &["a"]), &[]).unwrap().replica;
    finish(&mut router, 10, &first, &job("p", &["a"]));
    router.handle(20, RouterInput::CacheEventsLost { replica: first });
    let soon = router.choose(10 + UNCONFIRMED_ENTRY_TTL_MS, &job("p", &["a", "b"]), &[]).unwrap();
    assert!(soon.cached_tokens > 900);
    let late = router.choose(11 + UNCONFIRMED_ENTRY_TTL_MS, &job("p", &["a", "b"]), &[]).unwrap();
    assert_eq!(late.cached_tokens, 0);
}

#[test]
fn end_corrects_belief() {
    let mut router = router(1);
    let two = job("p", &["a", "b"]);
    let first = router.choose(0, &two, &[]).unwrap().replica;
    finish(&mut router, 10, &first, &two);
    let three = job("p", &["a", "b", "c"]);
    assert!(router.choose(20, &three, &[]).unwrap().cached_tokens > 1_900);
    finish(&mut router, 30, &first, &three);
    let four = job("p", &["a", "b", "c", "d"]);
    assert!(router.choose(40, &four, &[]).unwrap().cached_tokens > 2_900);
    assert_eq!(router.choose(50, &job("q", &["a", "b", "x"]), &[]).unwrap().cached_tokens, 0);
}

#[test_case(8; "small pool")]
#[test_case(10_000; "large pool")]
fn leaving_gets_nothing(count: usize) {
    let mut router = router(count);
    let first = router.choose(0, &job("p", &["a"]), &[]).unwrap().replica;
    finish(&mut router, 10, &first, &job("p", &["a"]));
    let mut list = replicas(count);
    for replica in &mut list {
        replica.leaving = replica.name == first;
    }
    router.handle(20, RouterInput::Replicas(list));
    for number in 0..200 {
        assert_ne!(router.choose(30 + number, &job("p", &["a", "b"]), &[]).unwrap().replica, first);
    }
}

#[test]
fn own_word_counts() {
    let mut router = router(2);
    router.handle(0, RouterInput::AttemptFailed { replica: "r0".to_string(), fault: JobFault::Leaving });
    router.handle(5, RouterInput::Replicas(replicas(2)));
    for number in 0..50 {
        let choice = router.choose(10 + number, &job(&format!("p{number}"), &["a"]), &[]).unwrap();
        assert_eq!(choice.replica, "r1");
    }
}

#[test]
fn excluded_left_out() {
    let mut router = router(2);
    let excluded = vec!["r0".to_string()];
    assert_eq!(router.choose(0, &job("p", &["a"]), &excluded).unwrap().replica, "r1");
    let excluded = vec!["r0".to_string(), "r1".to_string()];
    assert_eq!(router.choose(0, &job("p", &["a"]), &excluded), None);
}

#[test]
fn queue_outweighs_prefix() {
    let mut router = router(2);
    let first = router.choose(0, &job("p", &["a"]), &[]).unwrap().replica;
    finish(&mut router, 10, &first, &job("p", &["a"]));
    router.handle(20, RouterInput::Loads(vec![load("r0", 0, 30), load("r1", 0, 30)]));
    router.handle(30, RouterInput::Loads(vec![load(&first, 20_000, 30)]));
    assert_ne!(router.choose(40, &job("p", &["a", "b"]), &[]).unwrap().replica, first);
}

#[test]
fn own_choices_count() {
    let mut router = router(4);
    router.handle(0, RouterInput::Loads((0..4).map(|number| load(&format!("r{number}"), 0, 30)).collect()));
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..40 {
        let choice = router.choose(1, &job(&format!("p{number}"), &[&format!("t{number}")]), &[]).unwrap();
        *counts.entry(choice.replica).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| (8..=12).contains(count)), "{counts:?}");
}

#[test]
fn silent_one_avoided() {
    let mut router = router(2);
    router.handle(0, RouterInput::Loads(vec![load("r0", 0, 30), load("r1", 0, 30)]));
    router.handle(10_000, RouterInput::Loads(vec![load("r1", 0, 30)]));
    assert_eq!(router.choose(10_001, &job("p", &["a"]), &[]).unwrap().replica, "r1");
}

#[test_case(8, 3; "eight")]
#[test_case(3, 1; "three")]
#[test_case(2, 1; "two")]
#[test_case(1, 0; "alone")]
fn ejection_is_capped(count: usize, most: usize) {
    let mut router = router(count);
    for number in 0..count {
        for _ in 0..5 {
            let replica = format!("r{number}");
            router.handle(0, RouterInput::AttemptFailed { replica, fault: JobFault::Died });
        }
    }
    assert_eq!(router.ejected().len(), most);
    assert!(router.choose(1, &job("p", &["a"]), &[]).is_some());
}

#[test]
fn one_probe_returns() {
    let mut router = router(2);
    for _ in 0..3 {
        router.handle(0, RouterInput::AttemptFailed { replica: "r0".to_string(), fault: JobFault::NotSent });
    }
    let excluded = vec!["r1".to_string()];
    for number in 0..20 {
        assert_eq!(router.choose(100, &job(&format!("p{number}"), &["a"]), &[]).unwrap().replica, "r1");
    }
    let probe = job("probe", &["a"]);
    assert_eq!(router.choose(2_000, &probe, &excluded).unwrap().replica, "r0");
    for number in 0..20 {
        assert_eq!(router.choose(2_001, &job(&format!("q{number}"), &["a"]), &[]).unwrap().replica, "r1");
    }
    finish(&mut router, 2_500, "r0", &probe);
    assert!(router.ejected().is_empty());
}

#[test]
fn slow_one_ejected() {
    let mut router = router(5);
    let gaps = [30, 28, 31, 300, 29];
    for _ in 0..2 {
        let loads = gaps.iter().enumerate().map(|(number, gap)| load(&format!("r{number}"), 0, *gap));
        router.handle(10, RouterInput::Loads(loads.collect()));
    }
    assert_eq!(router.ejected(), vec!["r3"]);
}

#[test]
fn cold_one_warms() {
    let early = choices_of_newcomer(1_000);
    let late = choices_of_newcomer(60_000);
    assert!(early < late / 2, "{early} of 200 while cold, {late} when warm");
}

/// counts how often a replica that joined at 1 s is chosen instead of one that was there before.
fn choices_of_newcomer(from_ms: u64) -> usize {
    let mut router = router(4);
    router.handle(1_000, RouterInput::Replicas(replicas(5)));
    let others = ["r0".to_string(), "r1".to_string(), "r2".to_string()];
    let mut count = 0;
    for number in 0..200 {
        let now_ms = from_ms + number * 15;
        let loads = (0..5).map(|number| load(&format!("r{number}"), 0, 30)).collect();
        router.handle(now_ms, RouterInput::Loads(loads));
        let job = job(&format!("p{number}"), &[&format!("t{number}")]);
        count += usize::from(router.choose(now_ms, &job, &others).unwrap().replica == "r4");
    }
    count
}

#[test_case("large", 6; "heavy")]
#[test_case("small", 8; "light")]
fn heavy_leaves_quiet(workspace: &str, replica_count: usize) {
    let mut router = router(8);
    for number in 0..400u64 {
        let mut turn = job(&format!("p{number}"), &[&format!("t{number}")]);
        turn.workspace = if number % 8 == 0 { "small" } else { "large" }.to_string();
        let replica = router.choose(number * 200, &turn, &[]).unwrap().replica;
        finish(&mut router, number * 200 + 100, &replica, &turn);
        router.handle(number * 200 + 100, RouterInput::ProgramEnded { program: turn.program });
    }
    let mut used = std::collections::BTreeSet::new();
    for number in 0..80u64 {
        let mut turn = job(&format!("q{number}"), &[&format!("u{number}")]);
        turn.workspace = workspace.to_string();
        used.insert(router.choose(90_000 + number, &turn, &[]).unwrap().replica);
    }
    assert_eq!(used.len(), replica_count, "{used:?}");
}
