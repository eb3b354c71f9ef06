use xxhash_rust::xxh3::xxh3_64_with_seed;

/// the member with the highest score for `key`; ties go to the smaller name.
pub fn first<'a, T>(
    key: &str,
    members: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    let seed = seed(key);
    let mut best: Option<(u64, &'a T)> = None;
    for member in members {
        let score = score(seed, name(member));
        let better = match best {
            None => true,
            Some((top, other)) => score > top || (score == top && name(member) < name(other)),
        };
        if better {
            best = Some((score, member));
        }
    }
    best.map(|(_, member)| member)
}

/// all members by descending score for `key`; ties go to the smaller name.
pub fn ranked<'a, T>(
    key: &str,
    members: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let seed = seed(key);
    let mut scored: Vec<(u64, &'a T)> = members.map(|member| (score(seed, name(member)), member)).collect();
    scored.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| name(left.1).cmp(name(right.1))));
    scored.into_iter().map(|(_, member)| member).collect()
}

fn seed(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}

fn score(seed: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
