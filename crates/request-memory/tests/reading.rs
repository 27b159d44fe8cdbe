//! Reading of request bodies into the budget. Guards against memory that is not returned on one of the ways out.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use sumacdrift_request_memory::{MemoryBudget, OutOfMemory, RequestBodyError};

const CAPACITY: usize = 1 << 20;
const MAX_BYTES: usize = 512 << 10;
const CHUNK: usize = 64 << 10;
/// Longer than a body may stall beside others.
const LONG: Duration = Duration::from_secs(5);

type Chunk = Result<Frame<Bytes>, Infallible>;

fn chunks(count: usize) -> impl futures::Stream<Item = Chunk> + Unpin {
    stream::iter((0..count).map(|_| Ok(Frame::data(Bytes::from(vec![7; CHUNK])))))
}

/// A body that stops after some chunks and stays open.
fn stalled(count: usize) -> StreamBody<impl futures::Stream<Item = Chunk> + Unpin> {
    StreamBody::new(chunks(count).chain(stream::pending()))
}

#[tokio::test]
async fn bytes_hold_their_memory_until_the_last_handle_is_dropped() {
    let budget = MemoryBudget::new(CAPACITY);
    let bytes = budget.read_body(StreamBody::new(chunks(4)), MAX_BYTES).await.expect("a body");
    assert_eq!(bytes.len(), 4 * CHUNK);
    assert!(budget.held_bytes() >= 4 * CHUNK);
    let part = bytes.slice(..10);
    drop(bytes);
    assert!(budget.held_bytes() >= 4 * CHUNK);
    drop(part);
    assert_eq!(budget.held_bytes(), 0);
}

#[tokio::test]
async fn an_empty_body_holds_nothing() {
    let budget = MemoryBudget::new(CAPACITY);
    let bytes = budget.read_body(Full::new(Bytes::new()), MAX_BYTES).await.expect("a body");
    assert_eq!((bytes.len(), budget.held_bytes()), (0, 0));
}

#[tokio::test]
async fn a_body_that_announces_too_much_is_not_read() {
    let budget = MemoryBudget::new(CAPACITY);
    let body = Full::new(Bytes::from(vec![7; MAX_BYTES + 1]));
    let outcome = budget.read_body(body, MAX_BYTES).await;
    assert_eq!(outcome, Err(RequestBodyError::TooLarge(MAX_BYTES)));
    assert_eq!(budget.held_bytes(), 0);
}

#[tokio::test]
async fn a_body_without_length_is_read_up_to_the_limit() {
    let budget = MemoryBudget::new(CAPACITY);
    let outcome = budget.read_body(StreamBody::new(chunks(100)), MAX_BYTES).await;
    assert_eq!(outcome, Err(RequestBodyError::TooLarge(MAX_BYTES)));
    assert_eq!(budget.held_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_reader_that_is_dropped_returns_its_memory() {
    let budget = MemoryBudget::new(CAPACITY);
    let reading = budget.read_body(stalled(4), MAX_BYTES);
    assert!(tokio::time::timeout(LONG, reading).await.is_err(), "it waits for the rest");
    assert_eq!(budget.held_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_stalled_body_makes_way_and_its_reader_learns_of_it() {
    let budget = MemoryBudget::new(CAPACITY);
    let readers: Vec<_> = (0..2)
        .map(|_| {
            let budget = budget.clone();
            tokio::spawn(async move { budget.read_body(stalled(3), MAX_BYTES).await })
        })
        .collect();
    tokio::time::sleep(LONG).await;
    let bytes = budget.read_body(StreamBody::new(chunks(8)), MAX_BYTES).await.expect("there is memory");
    assert_eq!(bytes.len(), 8 * CHUNK);
    tokio::task::yield_now().await;
    let evicted = readers.iter().filter(|reader| reader.is_finished()).count();
    assert_eq!(evicted, 1);
    for reader in readers.into_iter().filter(|reader| reader.is_finished()) {
        assert_eq!(reader.await.expect("no panic"), Err(OutOfMemory.into()));
    }
}

#[tokio::test]
async fn copies_are_held_as_long_as_their_reservation() {
    let budget = MemoryBudget::new(CAPACITY);
    let held = budget.hold(MAX_BYTES).expect("there is memory");
    assert!(budget.hold(MAX_BYTES).is_err(), "only three quarters are for large bodies");
    drop(held);
    assert_eq!(budget.held_bytes(), 0);
}
