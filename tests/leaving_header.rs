//! parsing of the header by which a replica announces that it is leaving.

use flamingostand::platform::is_leaving;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use test_case::test_case;

/// Guards against a healthy replica that loses its requests over a meaningless value, and against a leaving
/// one that keeps them.
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

/// Guards against a long value that costs memory or time, and against bytes that are not valid text.
#[test]
fn malformed_leaving_value() {
    let mut headers = HeaderMap::new();
    headers.append("server-leaving", HeaderValue::from_str(&"1".repeat(10_000)).expect("a value"));
    headers.append("server-leaving", HeaderValue::from_bytes(&[0xff]).expect("a value"));
    assert!(!is_leaving(&headers));
}
