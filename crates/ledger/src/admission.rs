//! Whether a replica's host takes one more request, by how long records wait for its disk and how much memory they hold.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// How long records may wait for the disk until turns that want to begin are turned away. A sync takes
/// milliseconds; callers ask other members after at most 300 ms anyhow, and what waits longer is answered in vain.
const LONGEST_WAIT: Duration = Duration::from_millis(250);
/// Time of work over which it is seen how much the disk takes: some syncs.
const RATE_SEEN_OVER: Duration = Duration::from_millis(20);
/// Weight of a new observation of that.
const LEARNING_RATE: f64 = 0.3;

/// What kind of request it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    /// A turn wants to begin: its caller has lost nothing yet and can be sent to another member.
    NewWork,
    /// Whatever ends, moves or reads what is there.
    Other,
}

/// Records that wait for the disk.
#[derive(Debug, Clone)]
pub struct HostAdmission {
    most_bytes: usize,
    bytes: usize,
    /// When each batch that waits was queued, oldest first, with its size.
    waiting: VecDeque<(Timestamp, usize)>,
    /// Since when the disk has been at work without a pause, and what it took since.
    at_work_since: Timestamp,
    written_since: usize,
    /// Bytes that the disk takes in a second, once it was seen.
    rate: Option<f64>,
}

impl HostAdmission {
    /// Nothing waits yet; records that wait may hold so many bytes.
    pub fn new(most_bytes: usize) -> Self {
        Self {
            most_bytes,
            bytes: 0,
            waiting: VecDeque::new(),
            at_work_since: Timestamp::default(),
            written_since: 0,
            rate: None,
        }
    }

    /// Whether a request of so many bytes is taken.
    pub fn takes(&self, class: RequestClass, bytes: usize, now: Timestamp) -> bool {
        let has_room = self.waiting.is_empty() || self.bytes + bytes <= self.most_bytes;
        has_room && !(class == RequestClass::NewWork && self.is_late(now))
    }

    /// Whether what is queued now would wait too long: by what waits and what the disk takes (Little's law), or because
    /// the disk stands still.
    fn is_late(&self, now: Timestamp) -> bool {
        let stands_still = self.waiting.front().is_some_and(|(queued, _)| now.since(*queued) >= LONGEST_WAIT);
        let expected = self.rate.map_or(0.0, |rate| self.bytes as f64 / rate);
        stands_still || expected >= LONGEST_WAIT.as_secs_f64()
    }

    /// A batch of records was queued.
    pub fn queued(&mut self, bytes: usize, now: Timestamp) {
        if self.waiting.is_empty() {
            (self.at_work_since, self.written_since) = (now, 0);
        }
        self.bytes += bytes;
        self.waiting.push_back((now, bytes));
    }

    /// The oldest batch is durable, or failed: the disk takes them in order.
    pub fn written(&mut self, now: Timestamp) {
        let Some((_, bytes)) = self.waiting.pop_front() else { return };
        self.bytes -= bytes;
        self.written_since += bytes;
        let worked = now.since(self.at_work_since);
        if worked.is_zero() {
            return;
        }
        let seen = self.written_since as f64 / worked.as_secs_f64();
        // A short time of work shows the least that the disk takes: it may have had nothing more to do.
        let is_faster = self.waiting.is_empty() && self.rate.is_some_and(|rate| seen > rate);
        if worked >= RATE_SEEN_OVER || is_faster {
            let rate = self.rate.get_or_insert(seen);
            *rate += LEARNING_RATE * (seen - *rate);
            (self.at_work_since, self.written_since) = (now, 0);
        }
    }

    /// Bytes that wait.
    pub fn waiting_bytes(&self) -> usize {
        self.bytes
    }
}
