//! whether a door believes that it is cut off from the replicas, in virtual time, and which door helps it.

use flamingostand::mesh::MeshKey;
use flamingostand::reach::Belief;
use flamingostand::reach::CHECK_TIMEOUT_MS;
use flamingostand::reach::CHECKED_REPLICAS;
use flamingostand::reach::HelperChoice;
use flamingostand::reach::PASS_HEADER;
use flamingostand::reach::PassTag;
use flamingostand::reach::PassWindows;
use flamingostand::reach::PassedRequest;
use flamingostand::reach::ReplicaReach;
use flamingostand::schema::DoorHelper;
use flamingostand::schema::DoorRow;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

const SEEDS: u64 = 300;
const TICK_MS: u64 = 20;
const REPLICAS: usize = 12;
/// time of an answer.
const ANSWER_MS: u64 = 30;
/// callers have to be served as well as elsewhere from this time after the beginning of a cut.
const CONTACT_MS: u64 = 3_000;
const CUT_MS: std::ops::Range<u64> = 10_000..20_000;
const DURATION_MS: u64 = 30_000;

/// a door, its requests and replicas, some of which are down at times.
struct World {
    rng: StdRng,
    reach: ReplicaReach,
    /// until when each replica is down or silent.
    down_until_ms: [u64; REPLICAS],
    /// requests under way: when an answer comes, if one does, and when it began.
    waiting: Vec<(Option<u64>, u64)>,
    /// checks under way: when they end, when they began, and how many replicas answer.
    check: Option<(u64, u64, usize)>,
    requests_per_s: u64,
    cut: std::ops::Range<u64>,
    changes: Vec<(u64, Belief)>,
    /// when the first request met the cut.
    met_ms: Option<u64>,
}

impl World {
    fn new(seed: u64, requests_per_s: u64, cut: std::ops::Range<u64>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            reach: ReplicaReach::default(),
            down_until_ms: [0; REPLICAS],
            waiting: Vec::new(),
            check: None,
            requests_per_s,
            cut,
            changes: Vec::new(),
            met_ms: None,
        }
    }

    fn reaches(&self, now_ms: u64, replica: usize) -> bool {
        !self.cut.contains(&now_ms) && now_ms >= self.down_until_ms[replica]
    }

    fn run(&mut self) {
        for now_ms in (0..DURATION_MS).step_by(TICK_MS as usize) {
            self.step(now_ms);
        }
    }

    fn step(&mut self, now_ms: u64) {
        // A third of the replicas is down at most, so that a check of several finds one that lives.
        if self.rng.random_range(0..100) == 0 && self.down_count(now_ms) < CHECKED_REPLICAS - 1 {
            let replica = self.rng.random_range(0..REPLICAS);
            self.down_until_ms[replica] = now_ms + self.rng.random_range(200..4_000);
        }
        if self.rng.random_range(0..1_000) < self.requests_per_s * TICK_MS {
            let replica = self.rng.random_range(0..REPLICAS);
            let answer_ms = self.reaches(now_ms, replica).then_some(now_ms + ANSWER_MS);
            self.waiting.push((answer_ms, now_ms));
            if self.cut.contains(&now_ms) {
                self.met_ms.get_or_insert(now_ms);
            }
        }
        let answered = self.waiting.extract_if(.., |(at, _)| at.is_some_and(|at| now_ms >= at)).count();
        if answered > 0 && !self.cut.contains(&now_ms) {
            self.reach.record_sign(now_ms);
        }
        self.waiting.retain(|(_, began_ms)| now_ms < began_ms + CONTACT_MS);
        let waited_ms = self.waiting.iter().map(|(_, began_ms)| now_ms - began_ms).max().unwrap_or(0);
        if let Some((ends_ms, began_ms, answered)) = self.check
            && now_ms >= ends_ms
        {
            self.check = None;
            let change = self.reach.end_check(now_ms, began_ms, answered, CHECKED_REPLICAS - answered);
            self.changes.extend(change.map(|belief| (now_ms, belief)));
        }
        if self.reach.begin_check(now_ms, waited_ms) {
            let mut replicas: Vec<usize> = (0..REPLICAS).collect();
            let asked = (0..CHECKED_REPLICAS).map(|_| {
                let at = self.rng.random_range(0..replicas.len());
                replicas.swap_remove(at)
            });
            let asked: Vec<usize> = asked.collect();
            let answered = asked.into_iter().filter(|replica| self.reaches(now_ms, *replica)).count();
            let took_ms = if answered == CHECKED_REPLICAS { ANSWER_MS } else { CHECK_TIMEOUT_MS };
            self.check = Some((now_ms + took_ms, now_ms, answered));
        }
    }

    fn down_count(&self, now_ms: u64) -> usize {
        self.down_until_ms.iter().filter(|until_ms| now_ms < **until_ms).count()
    }
}

/// Guards against a door that takes replicas that end or go silent for a cut.
#[test_case(1; "a request a second")]
#[test_case(8; "some requests")]
#[test_case(40; "many requests")]
fn failing_replicas_are_no_cut(requests_per_s: u64) {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, requests_per_s, 0..0);
        world.run();
        assert!(world.changes.is_empty(), "seed {seed}: {:?}", world.changes);
    }
}

/// Guards against a door that does not notice a cut, or its end, within the time that callers are promised.
#[test_case(1; "a request a second")]
#[test_case(8; "some requests")]
#[test_case(40; "many requests")]
fn cut_is_noticed_in_time(requests_per_s: u64) {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, requests_per_s, CUT_MS);
        world.run();
        let beliefs: Vec<Belief> = world.changes.iter().map(|(_, belief)| *belief).collect();
        assert_eq!(beliefs, [Belief::CutOff, Belief::Reaches], "seed {seed}: {:?}", world.changes);
        let (lost_ms, back_ms) = (world.changes[0].0, world.changes[1].0);
        // A door that gets no request notices nothing, and nobody is the worse for it.
        let met_ms = world.met_ms.expect("requests meet the cut");
        assert!(lost_ms < met_ms + CONTACT_MS / 2, "seed {seed}: met at {met_ms}, noticed at {lost_ms}");
        assert!(back_ms < CUT_MS.end + CONTACT_MS, "seed {seed}: {back_ms}");
    }
}

/// Guards against a process that was suspended, or had no processor, and takes its own lateness for a cut.
#[test]
fn late_check_is_no_cut() {
    let mut reach = ReplicaReach::default();
    assert!(reach.begin_check(10_000, 5_000), "nothing was heard for long");
    assert_eq!(reach.end_check(14_000, 10_000, 0, CHECKED_REPLICAS), None);
    assert!(reach.begin_check(15_000, 5_000));
    assert_eq!(reach.end_check(15_500, 15_000, 0, CHECKED_REPLICAS), Some(Belief::CutOff));
}

fn row(number: usize, zone: &str) -> DoorRow {
    let helper = DoorHelper { address: format!("10.0.0.{number}:1"), started: format!("s{number}") };
    DoorRow {
        callers: format!("10.0.0.{number}:80"),
        zone: zone.to_owned(),
        ready: true,
        silent: false,
        helper: Some(helper),
    }
}

/// Guards against helpers that get far more requests than others while doors know only their own ones.
#[test]
fn requests_spread_over_the_helpers() {
    let rows: Vec<DoorRow> = (0..40).map(|number| row(number, ["a", "b"][number % 2])).collect();
    let helpers: Vec<&DoorRow> = rows.iter().collect();
    let mut rng = StdRng::seed_from_u64(1);
    let mut load = vec![0; rows.len()];
    for _ in 0..60 {
        let mut choice = HelperChoice::default();
        for _ in 0..20 {
            let chosen = choice.choose(0, "a", &helpers, &[], rng.random()).expect("a helper");
            choice.begin(&chosen.callers);
            let at = rows.iter().position(|row| row.callers == chosen.callers).expect("a row");
            load[at] += 1;
        }
    }
    let mean = 60 * 20 / rows.len();
    assert!(load.iter().all(|load| *load < 2 * mean), "{load:?}");
    let own_zone: usize = load.iter().step_by(2).sum();
    assert!(own_zone > 60 * 20 / 2, "equal helpers of the own zone come first: {own_zone}");
}

#[test]
fn helper_that_failed_is_left_out_for_a_moment() {
    let rows = [row(1, "a"), row(2, "b")];
    let helpers: Vec<&DoorRow> = rows.iter().collect();
    let mut choice = HelperChoice::default();
    choice.record_failure(0, &rows[0].callers);
    for random in 0..50 {
        let chosen = choice.choose(10, "a", &helpers, &[], random << 31 | random).expect("a helper");
        assert_eq!(chosen.callers, rows[1].callers);
    }
    assert!(choice.choose(10, "a", &helpers, &[rows[1].callers.clone()], 0).is_none());
    assert!(choice.choose(5_000, "a", &helpers, &[rows[1].callers.clone()], 0).is_some());
}

/// Guards against a request that is passed on once more by whoever has seen it.
#[test]
fn each_number_is_taken_once() {
    let mut windows = PassWindows::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut numbers: Vec<u64> = (1..=1_000).collect();
    // Requests overtake each other by some places.
    for places in numbers.chunks_mut(50) {
        for at in 0..places.len() {
            let other = rng.random_range(at..places.len());
            places.swap(at, other);
        }
    }
    for number in &numbers {
        assert!(windows.take("door", *number), "{number}");
        assert!(!windows.take("door", *number), "{number} again");
    }
    assert!(!windows.take("door", 1), "too old to tell");
    assert!(!windows.take("door", 0), "no number");
    assert!(windows.take("another", 1), "each door has numbers of its own");
}

fn headers(rows: &[(&'static str, &str)]) -> HeaderMap {
    let value = |text: &str| HeaderValue::from_str(text).expect("a header value");
    rows.iter().map(|(name, text)| (HeaderName::from_static(name), value(text))).collect()
}

/// Guards against a request that is changed on its way between two doors.
#[test]
fn proof_covers_the_whole_request() {
    let key: MeshKey = "1a".repeat(32).parse().expect("a key");
    let (method, target) = (Method::POST, "/send/x?a=1".parse::<Uri>().expect("a target"));
    let sent = headers(&[("host", "a.example"), ("x-request-id", "a1")]);
    let request =
        PassedRequest { receiver: "here", method: &method, target: &target, headers: &sent, body: b"x" };
    let tag = PassTag::new(&key, "fleet", "there", 3, &request);
    let mut received = sent.clone();
    received.insert(PASS_HEADER, tag.to_value().parse().expect("a value"));
    received.insert("content-length", HeaderValue::from_static("1"));
    let read = PassTag::from_headers(&received).expect("a tag");
    let valid = |request: &PassedRequest<'_>| read.is_valid(&key, "fleet", request);
    assert!(valid(&PassedRequest { headers: &received, ..request }));
    let other_target = "/send/x?a=2".parse::<Uri>().expect("a target");
    let other_headers = headers(&[("host", "a.example"), ("x-request-id", "a2")]);
    assert!(!valid(&PassedRequest { receiver: "elsewhere", ..request }));
    assert!(!valid(&PassedRequest { method: &Method::GET, ..request }));
    assert!(!valid(&PassedRequest { target: &other_target, ..request }));
    assert!(!valid(&PassedRequest { headers: &other_headers, ..request }));
    assert!(!valid(&PassedRequest { body: b"y", ..request }));
    assert!(!read.is_valid(&key, "another fleet", &request));
    assert!(!read.is_valid(&"2b".repeat(32).parse().expect("a key"), "fleet", &request));
}

/// Guards against a reservation that neither door ends while doors of two builds run side by side.
#[test_case(""; "build before")]
#[test_case(" later"; "unknown word")]
fn tag_without_the_word_leaves_turns_to_the_helper(further: &str) {
    let value = format!("door-1 7 {}{further}", "01".repeat(32));
    let read = PassTag::from_headers(&headers(&[(PASS_HEADER, &value)])).expect("a tag");
    assert_eq!((read.sender.as_str(), read.number), ("door-1", 7));
    assert!(!read.sender_ends_turns);
}

/// Guards against a tag that the build before, which reads the first three words, cannot read.
#[test]
fn tag_begins_with_the_words_of_the_build_before() {
    let key: MeshKey = "1a".repeat(32).parse().expect("a key");
    let (method, target, sent) = (Method::GET, "/".parse::<Uri>().expect("a target"), HeaderMap::new());
    let request =
        PassedRequest { receiver: "here", method: &method, target: &target, headers: &sent, body: b"" };
    let value = PassTag::new(&key, "fleet", "there", 3, &request).to_value();
    let words: Vec<&str> = value.split(' ').collect();
    assert_eq!((words[0], words[1], words[2].len(), words.len()), ("there", "3", 64, 4));
    let read = PassTag::from_headers(&headers(&[(PASS_HEADER, &value)])).expect("a tag");
    assert!(read.sender_ends_turns);
}
