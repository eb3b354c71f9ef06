//! server-sent events are split at event boundaries, however the bytes were divided in transit.

use flamingostand::door::SseSplitter;

const STREAM: &str =
    "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: lines\r\n\r\n: note\n\nid: 3\ndata:three\n\n";

fn split_events(chunks: &[&[u8]]) -> (Vec<Option<String>>, Vec<Option<String>>, bool) {
    let mut splitter = SseSplitter::default();
    let (mut ids, mut data) = (Vec::new(), Vec::new());
    for chunk in chunks {
        assert!(splitter.push(chunk));
        while let Some(event) = splitter.next_event() {
            ids.push(event.id().map(str::to_owned));
            data.push(event.data());
        }
    }
    (ids, data, splitter.is_empty())
}

#[test]
fn any_split() {
    let whole = split_events(&[STREAM.as_bytes()]);
    let text = |text: &str| Some(text.to_owned());
    assert_eq!(whole.0, [text("1"), text("2"), None, text("3")]);
    assert_eq!(whole.1, [text("one"), text("two\nlines"), None, text("three")]);
    for at in 0..STREAM.len() {
        let (left, right) = STREAM.as_bytes().split_at(at);
        assert_eq!(split_events(&[left, right]), whole, "split at {at}");
    }
    let bytes: Vec<&[u8]> = STREAM.as_bytes().chunks(1).collect();
    assert_eq!(split_events(&bytes), whole);
}

#[test]
fn partial_event_is_held_back() {
    let (ids, _, is_empty) = split_events(&[b"id: 1\ndata: one\n\nid: 2\nda"]);
    assert_eq!(ids.len(), 1);
    assert!(!is_empty);
}
