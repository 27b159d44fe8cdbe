//! Streams split into whole events, however their bytes arrive.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::{EventSplitter, StreamEvent};

fn split(pieces: &[&[u8]]) -> (Vec<StreamEvent>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    (events, splitter.rest().to_vec())
}

#[test]
fn an_event_is_given_out_only_when_it_is_whole() {
    let (events, rest) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id.as_deref(), Some("1"));
    assert_eq!(&events[0].bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(rest, b"id: 2\nda");
}

#[test]
fn data_is_what_stands_behind_the_colon_and_one_blank() {
    let (events, _) = split(&[b"id: 7\ndata:  two  blanks\ndata:none\n\n"]);
    let mut data = Vec::new();
    events[0].append_data(&mut data);
    assert_eq!(data, b" two  blanks\nnone\n");
}

#[test]
fn comments_carry_no_data() {
    let (events, _) = split(&[b": keep alive\n\n"]);
    assert!(!events[0].has_data);
    assert_eq!(events[0].id, None);
}

#[test]
fn the_split_does_not_depend_on_how_bytes_arrive() {
    let stream = b"x-version: 3\nid: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: note\n\nid: 3\ndata: \n\nid";
    let (whole, rest) = split(&[stream]);
    assert_eq!(whole.len(), 4);
    for seed in 0..500 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut pieces = Vec::new();
        let mut left = &stream[..];
        while !left.is_empty() {
            let (piece, behind) = left.split_at(random.random_range(1..=left.len().min(9)));
            pieces.push(piece);
            left = behind;
        }
        assert_eq!(split(&pieces), (whole.clone(), rest.clone()), "seed {seed}");
    }
}
