//! Admission control of a replica's host, by the queueing delay of its disk and the memory held by queued records.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Queueing delay of the disk from which new turns are rejected. A sync takes milliseconds, and callers try other
/// members after at most 300 ms, so that later replies are of no use.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(250);
/// Minimum busy time over which the disk's throughput is measured; covers several syncs.
const MIN_RATE_SAMPLE_TIME: Duration = Duration::from_millis(20);
/// Weight of a new throughput sample in the moving average.
const RATE_SMOOTHING: f64 = 0.3;

/// Class of a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    /// Begins a turn. Rejecting it loses no work, and the caller can try another member.
    BeginTurn,
    /// Ends turns, transfers records or reads them.
    Other,
}

/// Admission state: the records queued for the disk and its throughput.
#[derive(Debug, Clone)]
pub struct HostAdmission {
    max_bytes: usize,
    bytes: usize,
    /// Time of enqueueing and size of each queued batch, oldest first.
    queue: VecDeque<(Timestamp, usize)>,
    /// Start of the current throughput sample; the disk has been busy ever since.
    busy_since: Timestamp,
    written_while_busy: usize,
    /// Smoothed disk throughput; `None` before the first sample.
    bytes_per_second: Option<f64>,
}

impl HostAdmission {
    /// Creates an empty queue limited to this many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            queue: VecDeque::new(),
            busy_since: Timestamp::default(),
            written_while_busy: 0,
            bytes_per_second: None,
        }
    }

    /// Whether to admit a request that enqueues this many bytes. An empty queue accepts a request of any size.
    pub fn admits(&self, class: RequestClass, bytes: usize, now: Timestamp) -> bool {
        let has_capacity = self.queue.is_empty() || self.bytes + bytes <= self.max_bytes;
        has_capacity && !(class == RequestClass::BeginTurn && self.exceeds_queue_delay(now))
    }

    /// Whether a batch enqueued now would wait too long, because of the queue's length at the current throughput
    /// (Little's law) or because the disk is stalled.
    fn exceeds_queue_delay(&self, now: Timestamp) -> bool {
        let is_stalled = self.queue.front().is_some_and(|(queued, _)| now.since(*queued) >= MAX_QUEUE_DELAY);
        let expected =
            self.bytes_per_second.map_or(0.0, |bytes_per_second| self.bytes as f64 / bytes_per_second);
        is_stalled || expected >= MAX_QUEUE_DELAY.as_secs_f64()
    }

    /// Accounts for a batch that was enqueued.
    pub fn record_enqueued(&mut self, bytes: usize, now: Timestamp) {
        if self.queue.is_empty() {
            (self.busy_since, self.written_while_busy) = (now, 0);
        }
        self.bytes += bytes;
        self.queue.push_back((now, bytes));
    }

    /// Accounts for the oldest batch, which was written or failed; the disk processes batches in order.
    pub fn record_written(&mut self, now: Timestamp) {
        let Some((_, bytes)) = self.queue.pop_front() else { return };
        self.bytes -= bytes;
        self.written_while_busy += bytes;
        let busy_time = now.since(self.busy_since);
        if busy_time.is_zero() {
            return;
        }
        let sample = self.written_while_busy as f64 / busy_time.as_secs_f64();
        // A short sample is only a lower bound of the throughput, as the disk may have run out of work.
        let is_faster = self.queue.is_empty()
            && self.bytes_per_second.is_some_and(|bytes_per_second| sample > bytes_per_second);
        if busy_time >= MIN_RATE_SAMPLE_TIME || is_faster {
            let bytes_per_second = self.bytes_per_second.get_or_insert(sample);
            *bytes_per_second += RATE_SMOOTHING * (sample - *bytes_per_second);
            (self.busy_since, self.written_while_busy) = (now, 0);
        }
    }

    /// Bytes in the queue.
    pub fn queued_bytes(&self) -> usize {
        self.bytes
    }
}
