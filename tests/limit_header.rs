//! rate limits that replicas name in the headers of their answers.

use flamingostand::platform::rate_notice;
use flamingostand::routing::RateNotice;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use test_case::test_case;

/// Guards against a limit that is misread, and against one that a bad value lifts.
#[test_case(&[], RateNotice::Unlimited; "none")]
#[test_case(&["9.6"], RateNotice::Limited(9.6); "decimal")]
#[test_case(&[" 8 "], RateNotice::Limited(8.0); "spaces")]
#[test_case(&["0"], RateNotice::Limited(0.0); "zero")]
#[test_case(&["1e9"], RateNotice::Limited(1e9); "exponent")]
#[test_case(&["9", "7.5"], RateNotice::Limited(7.5); "the lowest of two")]
#[test_case(&["many", "7.5"], RateNotice::Limited(7.5); "one of two can be read")]
#[test_case(&["7.5", "many"], RateNotice::Limited(7.5); "the first of two can be read")]
#[test_case(&[""], RateNotice::Unreadable; "empty")]
#[test_case(&["many"], RateNotice::Unreadable; "no number")]
#[test_case(&["-3"], RateNotice::Unreadable; "negative")]
#[test_case(&["inf"], RateNotice::Unreadable; "infinite")]
#[test_case(&["NaN"], RateNotice::Unreadable; "not a number")]
#[test_case(&["1e999"], RateNotice::Unreadable; "too large")]
fn limit_is_read(values: &[&'static str], notice: RateNotice) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("server-limit", HeaderValue::from_static(value));
    }
    assert_eq!(rate_notice(&headers), notice);
}
