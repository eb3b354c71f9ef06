//! what counts as a replica's word that it leaves.

use flamingostand::platform::is_leaving;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use test_case::test_case;

/// Guards against a sound replica that loses its requests over a value that says nothing, and the other way round.
#[test_case(&[] => false; "absent")]
#[test_case(&["1"] => true; "one")]
#[test_case(&[" 1 "] => true; "blanks")]
#[test_case(&["0"] => false; "zero")]
#[test_case(&[""] => false; "empty")]
#[test_case(&["1", "1"] => true; "twice")]
#[test_case(&["0", "1"] => true; "twice and different")]
#[test_case(&["1, 1"] => true; "list")]
#[test_case(&["true"] => false; "word")]
#[test_case(&["11"] => false; "number")]
fn leaving_value(values: &[&'static str]) -> bool {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("server-leaving", HeaderValue::from_static(value));
    }
    is_leaving(&headers)
}

/// Guards against a value that costs memory or time, or bytes that are no text.
#[test]
fn leaving_value_without_sense() {
    let mut headers = HeaderMap::new();
    headers.append("server-leaving", HeaderValue::from_str(&"1".repeat(10_000)).expect("a value"));
    headers.append("server-leaving", HeaderValue::from_bytes(&[0xff]).expect("a value"));
    assert!(!is_leaving(&headers));
}
