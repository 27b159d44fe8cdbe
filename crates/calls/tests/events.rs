//! Splitting of event streams, independent of how their bytes are chunked.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::{EventSplitter, StreamEvent};

fn split(chunks: &[&[u8]]) -> (Vec<StreamEvent>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    (events, splitter.rest().to_vec())
}

#[test]
fn only_complete_events_are_returned() {
    let (events, rest) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id.as_deref(), Some("1"));
    assert_eq!(&events[0].bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(rest, b"id: 2\nda");
}

#[test]
fn data_omits_one_space_after_the_colon() {
    let (events, _) = split(&[b"id: 7\ndata:  two  blanks\ndata:none\n\n"]);
    let mut data = Vec::new();
    events[0].append_data(&mut data);
    assert_eq!(data, b" two  blanks\nnone\n");
}

#[test]
fn comments_have_no_data() {
    let (events, _) = split(&[b": keep alive\n\n"]);
    assert!(!events[0].has_data);
    assert_eq!(events[0].id, None);
}

#[test]
fn splitting_is_independent_of_chunking() {
    let stream = b"x-version: 3\nid: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: note\n\nid: 3\ndata: \n\nid";
    let (whole, rest) = split(&[stream]);
    assert_eq!(whole.len(), 4);
    for seed in 0..500 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut chunks = Vec::new();
        let mut left = &stream[..];
        while !left.is_empty() {
            let (chunk, remaining) = left.split_at(random.random_range(1..=left.len().min(9)));
            chunks.push(chunk);
            left = remaining;
        }
        assert_eq!(split(&chunks), (whole.clone(), rest.clone()), "seed {seed}");
    }
}

#[test]
fn the_last_id_of_an_event_counts() {
    let (events, _) = split(&[b"id: 1\nid: 2\ndata: a\n\n"]);
    assert_eq!(events[0].id.as_deref(), Some("2"));
}

#[test]
fn an_empty_id_names_no_event() {
    let (events, _) = split(&[b"id: \ndata: a\n\nid:\ndata: b\n\nid: 1\nid:\ndata: c\n\n"]);
    assert_eq!(events.into_iter().map(|event| event.id).collect::<Vec<_>>(), [None, None, None]);
}
