use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;

use crate::finding::Finding;
use crate::finding::Findings;
use crate::release::is_key_hash;
use crate::schema::Settings;

/// the largest value that the platform holds.
const MAX_OBJECT_BYTES: u64 = 1_048_576;

/// what a journal entry holds beside the new part of a turn.
const ENTRY_OVERHEAD_BYTES: u64 = 65_536;

/// groups of settings whose numbers must all be above zero.
const POSITIVE_GROUPS: [&str; 5] = ["platform", "limits", "state", "dispatch", "membership"];

/// numbers in these groups that may be zero.
const MAY_BE_ZERO: [&str; 5] = [
    "/state/allowance_tokens",
    "/state/gather_ms",
    "/state/takeover_delay_ms",
    "/state/handover_delay_ms",
    "/dispatch/retry_share_percent",
];

/// checks what the schema cannot say; all findings are reported together.
pub fn check_settings(settings: &Settings) -> Findings {
    let mut findings = Findings::default();
    check_addresses(settings, &mut findings);
    check_keys(settings, &mut findings);
    check_positive(settings, &mut findings);
    check_bounds(settings, &mut findings);
    findings
}

fn check_addresses(settings: &Settings, findings: &mut Findings) {
    let listen = &settings.listen;
    let places = [
        ("/listen/callers", &listen.callers, true),
        ("/listen/operators", &listen.operators, false),
        ("/listen/mesh", &listen.mesh, true),
        ("/platform/address", &settings.platform.address, true),
    ];
    let mut known: Vec<(&str, SocketAddr)> = Vec::new();
    for (place, text, reached) in places {
        let Ok(address) = text.parse::<SocketAddr>() else {
            let detail = format!("`{text}` is not an IP address with a port, such as 10.0.0.1:7401");
            findings.push(Finding::new(place, detail));
            continue;
        };
        if address.port() == 0 {
            findings.push(Finding::new(place, "port 0 names no port that others can reach"));
            continue;
        }
        if reached && address.ip().is_unspecified() {
            let detail = format!("others are told this address, and cannot reach {}", address.ip());
            findings.push(Finding::new(place, detail));
        }
        if let Some((other, _)) = known.iter().find(|(_, other)| overlaps(*other, address)) {
            findings.push(Finding::new(place, format!("{address} is used at {other} too")));
        }
        known.push((place, address));
    }
}

/// tells whether two listeners, or a listener and a peer, would meet on the same port.
fn overlaps(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip = left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    same_ip && left.port() == right.port()
}

fn check_keys(settings: &Settings, findings: &mut Findings) {
    if !is_hex(&settings.cluster.mesh_key) {
        findings.push(Finding::new("/cluster/mesh_key", "the key is 32 bytes as 64 hexadecimal digits"));
    }
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, key) in settings.operator_keys.iter().enumerate() {
        let place = format!("/operator_keys/{index}/key_hash");
        if !is_key_hash(&key.key_hash) {
            findings.push(Finding::new(&place, "a key hash is 64 lower-case hexadecimal digits"));
        }
        if let Some(first) = seen.get(key.key_hash.as_str()) {
            findings.push(Finding::new(&place, format!("operator key {first} has this hash too")));
            continue;
        }
        seen.insert(&key.key_hash, index);
    }
}

fn is_hex(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// all times, sizes and counts are above zero, but for those that have a meaning at zero.
fn check_positive(settings: &Settings, findings: &mut Findings) {
    let value = serde_json::to_value(settings).unwrap_or_default();
    for group in POSITIVE_GROUPS {
        let Some(Value::Object(fields)) = value.get(group) else {
            continue;
        };
        for (name, number) in fields {
            let place = format!("/{group}/{name}");
            if number.as_u64() == Some(0) && !MAY_BE_ZERO.contains(&place.as_str()) {
                findings.push(Finding::new(place, "0 leaves nothing to work with; use at least 1"));
            }
        }
    }
}

fn check_bounds(settings: &Settings, findings: &mut Findings) {
    let mut most = |place: &str, value: u64, most: u64, what: &str| {
        if value > most {
            findings.push(Finding::new(place, format!("{value} is more than {most}, {what}")));
        }
    };
    let state = &settings.state;
    let limits = &settings.limits;
    let dispatch = &settings.dispatch;
    let membership = &settings.membership;
    most(
        "/state/max_entry_bytes",
        state.max_entry_bytes,
        MAX_OBJECT_BYTES - ENTRY_OVERHEAD_BYTES,
        "the most that fits into an object of the platform",
    );
    most(
        "/limits/max_turn_bytes",
        limits.max_turn_bytes,
        state.max_entry_bytes.saturating_sub(ENTRY_OVERHEAD_BYTES),
        "the most that fits into a journal entry",
    );
    most("/limits/max_turn_bytes", limits.max_turn_bytes, limits.max_body_bytes, "the largest body");
    most(
        "/dispatch/initial_window",
        u64::from(dispatch.initial_window),
        u64::from(dispatch.max_window),
        "the largest window",
    );
    most("/dispatch/retry_share_percent", u64::from(dispatch.retry_share_percent), 100, "every attempt");
    most(
        "/membership/probe_timeout_ms",
        membership.probe_timeout_ms,
        membership.probe_ms,
        "the time between two probes",
    );
}
