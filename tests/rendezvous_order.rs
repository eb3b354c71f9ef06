//! rendezvous hashing against a reference model, and which keys move when a member is lost.

use std::cmp::Reverse;

use flamingostand::ids::ProgramId;
use flamingostand::rendezvous;
use proptest::prelude::*;
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// reference model: all names sorted by score.
fn reference(key: &str, names: &[String]) -> Vec<String> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut sorted = names.to_vec();
    sorted.sort_by_key(|name| (Reverse(xxh3_64_with_seed(name.as_bytes(), seed)), name.clone()));
    sorted
}

fn entries(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("entry-{index}")).collect()
}

fn first(key: &str, names: &[String]) -> String {
    rendezvous::first(key, names.iter(), |name| name).cloned().unwrap_or_default()
}

proptest! {
    #[test]
    fn matches_reference(key in ".{0,20}", names in prop::collection::btree_set("[a-c]{1,3}", 0..12)) {
        let names: Vec<String> = names.into_iter().collect();
        let expected = reference(&key, &names);
        let ranked: Vec<String> =
            rendezvous::ranked(&key, names.iter(), |name| name).into_iter().cloned().collect();
        prop_assert_eq!(&ranked, &expected);
        prop_assert_eq!(rendezvous::first(&key, names.iter(), |name| name), expected.first());
        let reversed = rendezvous::first(&key, names.iter().rev(), |name| name);
        prop_assert_eq!(reversed, expected.first());
    }

    #[test]
    fn only_keys_of_lost_member_move(key in ".{0,20}", lost in 0..9_usize) {
        let all = entries(9);
        let mut rest = all.clone();
        let gone = rest.remove(lost);
        let before = first(&key, &all);
        let after = first(&key, &rest);
        prop_assert!(before == after || before == gone);
        let ranked = reference(&key, &all);
        prop_assert!(before != gone || after == ranked[1]);
    }
}

/// share of programs that move when one of nine members is lost, relative to one ninth: lowest and highest.
fn moved_shares(slot_count: u32) -> (f64, f64) {
    let names = entries(9);
    let programs = 90_000;
    let mut moved = vec![0_u32; names.len()];
    for number in 0..programs {
        let slot = ProgramId::from(format!("program-{number}").as_str()).slot(slot_count);
        let owner = first(&slot.to_string(), &names);
        let index = names.iter().position(|name| *name == owner).unwrap_or_default();
        moved[index] += 1;
    }
    let share = |moved: &u32| f64::from(*moved) * names.len() as f64 / f64::from(programs);
    (moved.iter().map(share).fold(f64::MAX, f64::min), moved.iter().map(share).fold(0.0, f64::max))
}

#[test_case(4096)]
#[test_case(8192)]
#[test_case(65536)]
fn moves_near_ideal(slot_count: u32) {
    let (least, most) = moved_shares(slot_count);
    println!("{slot_count} slots: {least:.3} to {most:.3} of the ideal share");
    assert!((0.9..=1.1).contains(&least) && (0.9..=1.1).contains(&most));
}
