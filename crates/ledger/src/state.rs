//! State of a replica: accounts of programs and retained turns.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

use bytes::Bytes;
use sumacdrift_mutants::{Rule, is_broken};

use crate::account::{ProgramAccount, TurnAccount};
use crate::content_memory::ContentMemory;
use crate::message::{
    Begin, BeginVote, ChainReply, Page, Record, RecordKind, RetainedTurn, StoredCopy, StreamOrigin,
    TurnBegun, TurnEnded,
};
use crate::retention_message::{Continuations, TurnContinuation};
use crate::turn_references::needed_turns;

/// Size at which a page is full.
const PAGE_BYTES: usize = 256 << 10;
/// Approximate encoded size of a record without its content.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Approximate encoding overhead of a key.
const KEY_OVERHEAD_BYTES: usize = 4;
/// Multiple of the requested retention for which records are kept, as a margin for clock skew.
const RETENTION_FACTOR: u64 = 2;
/// Limit on chain traversal; a longer chain indicates a defect.
const MAX_CHAIN_TURNS: usize = 4096;
/// Prefixes of a page cursor, before the last key of the preceding page.
const PROGRAM_CURSOR_PREFIX: &str = "p";
const TURN_CURSOR_PREFIX: &str = "t";
/// Cursor of the first page of retained turns.
pub const KEPT_TURNS_CURSOR: &str = TURN_CURSOR_PREFIX;

#[derive(Debug, Clone, PartialEq, Eq)]
struct StoredTurn {
    program: String,
    content: RetainedTurn,
    /// End of its own retention.
    expires: u64,
    /// Time until which another replica needs it for the turns that continue it; 0 if unknown.
    needed_until: u64,
}

impl StoredTurn {
    fn bytes(&self) -> u64 {
        (self.content.input.len() + self.content.output.len()) as u64
    }

    fn kept_until(&self) -> u64 {
        self.expires.max(self.needed_until)
    }
}

/// Accounts of programs and content of turns. Times are Unix times in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerState {
    programs: BTreeMap<String, ProgramAccount>,
    turns: BTreeMap<String, StoredTurn>,
    /// Stored turns that continue another one, by that one.
    continuations: BTreeMap<String, BTreeSet<String>>,
    memory: ContentMemory,
    /// Origins of streams, shared by the accounts that refer to them.
    origins: BTreeSet<Arc<StreamOrigin>>,
    copy: StoredCopy,
    /// Crashes of engines by request.
    crash_history: StoredCopy,
}

impl LedgerState {
    /// Whether there are no programs and no retained turns.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty() && self.turns.is_empty()
    }

    /// Number of programs with an account.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Number of turns whose content is stored.
    pub fn retained_count(&self) -> usize {
        self.turns.len()
    }

    /// Bytes of the content that is stored.
    pub fn content_bytes(&self) -> u64 {
        self.memory.stored_bytes
    }

    /// Whether a turn's content fits the memory for content. A turn that is known has its memory already.
    pub fn has_memory_for(&self, turn: &TurnBegun, capacity_bytes: u64) -> bool {
        let is_known =
            || self.programs.get(&turn.program).is_some_and(|account| account.turns.contains_key(&turn.turn));
        turn.retained_bytes == 0 || self.memory.fits(turn.retained_bytes, capacity_bytes) || is_known()
    }

    /// Removes all programs and turns, but not the stored copy.
    pub fn clear_programs(&mut self) {
        self.memory = ContentMemory::default();
        self.programs.clear();
        self.turns.clear();
        self.continuations.clear();
        self.origins.clear();
    }

    /// Records the start of a turn; returns the expiry time of the record.
    pub fn begin(&mut self, turn: &TurnBegun, now: u64) -> u64 {
        let expires = expiry(turn.retention_millis, now);
        self.merge_begin(turn, expires);
        expires
    }

    /// Records the end of a turn; returns the expiry time of the record.
    pub fn end(&mut self, turn: &TurnEnded, now: u64) -> u64 {
        let expires = expiry(turn.retention_millis, now);
        self.merge_end(turn, expires);
        expires
    }

    /// Merges a record whose expiry is absolute. Returns whether it adds information.
    pub fn merge(&mut self, record: &Record) -> bool {
        match &record.kind {
            Some(RecordKind::Begun(turn)) => self.merge_begin(turn, record.expiry_millis),
            Some(RecordKind::Ended(turn)) => self.merge_end(turn, record.expiry_millis),
            Some(RecordKind::Copy(copy)) => self.store_copy(copy),
            Some(RecordKind::CrashHistory(history)) => self.store_crash_history(history),
            Some(
                RecordKind::Group(_)
                | RecordKind::Standing(_)
                | RecordKind::Reading(_)
                | RecordKind::Removed(_),
            )
            | None => false,
        }
    }

    /// Whether the content of a turn is stored.
    pub fn has_content(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Records of retained turns with their content; turns that are not stored are skipped.
    pub fn contents(&self, turns: &[String], now: u64) -> Page {
        let mut page = PageBuilder::default();
        for turn in turns {
            if let Some(stored) = self.turns.get(turn) {
                self.add_content(turn, stored, now, &mut page);
            }
        }
        page.page
    }

    /// Stores a copy if it is newer than the current one; returns whether it is.
    pub fn store_copy(&mut self, copy: &StoredCopy) -> bool {
        replace_if_newer(&mut self.copy, copy)
    }

    /// Newest stored copy; its number is 0 if there is none.
    pub fn copy(&self) -> &StoredCopy {
        &self.copy
    }

    /// Stores crashes of engines by request if they are newer than the current ones; returns whether they are.
    pub fn store_crash_history(&mut self, history: &StoredCopy) -> bool {
        replace_if_newer(&mut self.crash_history, history)
    }

    /// Newest crashes of engines by request; their number is 0 if there are none.
    pub fn crash_history(&self) -> &StoredCopy {
        &self.crash_history
    }

    fn merge_begin(&mut self, turn: &TurnBegun, expires: u64) -> bool {
        let origin = self.share_origin(turn.origin.as_ref());
        self.update_account(&turn.program, expires, |account| account.record_begin(turn, origin))
    }

    fn merge_end(&mut self, turn: &TurnEnded, expires: u64) -> bool {
        let origin = self.share_origin(turn.origin.as_ref());
        let is_new = self.update_account(&turn.program, expires, |account| account.record_end(turn, origin));
        let Some(content) = &turn.retained else { return is_new };
        // A repeated record, or one that another replica transfers, must not shorten the retention.
        if let Some(stored) = self.turns.get_mut(&turn.turn) {
            stored.expires = stored.expires.max(expires);
            return is_new;
        }
        if !content.previous.is_empty() {
            self.continuations.entry(content.previous.clone()).or_default().insert(turn.turn.clone());
        }
        let (program, content) = (turn.program.clone(), compact_copy(content));
        let stored = StoredTurn { program, content, expires, needed_until: 0 };
        self.memory.stored_bytes += stored.bytes();
        self.turns.insert(turn.turn.clone(), stored);
        true
    }

    fn share_origin(&mut self, origin: Option<&StreamOrigin>) -> Option<Arc<StreamOrigin>> {
        let origin = origin?;
        if let Some(shared) = self.origins.get(origin) {
            return Some(Arc::clone(shared));
        }
        let shared = Arc::new(origin.clone());
        self.origins.insert(Arc::clone(&shared));
        Some(shared)
    }

    /// Changes a program's account, and the reserved memory with it; returns whether the change adds information.
    fn update_account(
        &mut self,
        program: &str,
        expires: u64,
        change: impl FnOnce(&mut ProgramAccount) -> bool,
    ) -> bool {
        let account = self.programs.entry(program.to_owned()).or_default();
        account.expires = account.expires.max(expires);
        let reserved_before = account.reserved_bytes();
        let is_new = change(account);
        self.memory.reserved_bytes = self.memory.reserved_bytes + account.reserved_bytes() - reserved_before;
        is_new
    }

    /// Computes the vote on a turn from the records stored here.
    pub fn vote(&self, turn: &TurnBegun, begin: &Begin) -> BeginVote {
        let account = self.programs.get(&turn.program);
        let charged = account.map_or(0, |account| account.charged_tokens_except(&turn.turn));
        let previous = &begin.previous;
        BeginVote {
            known: account.map(|account| account.known_except(turn, begin)).unwrap_or_default(),
            fits: begin.budget_tokens == 0 || charged + turn.max_tokens <= begin.budget_tokens,
            knows_previous: previous.is_empty() || self.turns.contains_key(previous),
            chain: (begin.wants_chain && !previous.is_empty()).then(|| self.chain(previous)),
            resumed_origin: account.and_then(|account| account.origin_of(&begin.resumed_turn)),
            crashed_engines: Vec::new(),
            suspected_engines: Vec::new(),
            observed_engines: Vec::new(),
            has_compared_requests: begin.resumes_same_request && turn.request.is_some(),
            lacks_memory: false,
        }
    }

    /// Content of a turn and its predecessors, up to the first that is not stored.
    pub fn chain(&self, newest: &str) -> ChainReply {
        let mut turns = Vec::new();
        let mut next = newest.to_owned();
        while !next.is_empty() && turns.len() < MAX_CHAIN_TURNS {
            let Some(stored) = self.turns.get(&next) else { break };
            next.clone_from(&stored.content.previous);
            turns.push(stored.content.clone());
        }
        ChainReply { turns, missing: next }
    }

    /// Removes expired programs, and expired turns that no turn stored here needs.
    pub fn expire(&mut self, now: u64) {
        self.expire_programs(now);
        self.remove_contents(&self.turns_past_expiry(now));
    }

    /// Removes expired programs.
    pub fn expire_programs(&mut self, now: u64) {
        let memory = &mut self.memory;
        self.programs.retain(|_, account| {
            let is_kept = account.expires > now;
            if !is_kept {
                memory.reserved_bytes -= account.reserved_bytes();
            }
            is_kept
        });
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
    }

    /// Turns whose retention is over and that no turn known here needs. Another replica may know of one.
    pub fn turns_past_expiry(&self, now: u64) -> Vec<String> {
        self.past_expiry(self.turns.keys(), now)
    }

    /// Removes those of the turns that are still past their expiry, and returns them.
    pub fn remove_turns(&mut self, turns: &[String], now: u64) -> Vec<String> {
        let removed = self.past_expiry(turns.iter(), now);
        self.remove_contents(&removed);
        removed
    }

    /// Removes the content of turns, whatever their retention.
    pub fn remove_contents(&mut self, turns: &[String]) {
        turns.iter().for_each(|turn| self.remove_turn(turn));
    }

    fn past_expiry<'a>(&self, turns: impl Iterator<Item = &'a String>, now: u64) -> Vec<String> {
        let is_expired =
            |turn: &&String| self.turns.get(*turn).is_some_and(|stored| stored.kept_until() <= now);
        let expired: Vec<String> = turns.filter(is_expired).cloned().collect();
        if expired.is_empty() {
            return expired;
        }
        let later = self.continuations(&expired, now).turns;
        let needed = needed_turns(&later);
        expired.into_iter().filter(|turn| !needed.contains_key(turn.as_str())).collect()
    }

    fn remove_turn(&mut self, turn: &str) {
        let Some(removed) = self.turns.remove(turn) else { return };
        self.memory.stored_bytes -= removed.bytes();
        let previous = removed.content.previous;
        if let Some(later) = self.continuations.get_mut(&previous) {
            later.remove(turn);
            if later.is_empty() {
                self.continuations.remove(&previous);
            }
        }
    }

    /// Keeps a turn at least until a Unix time in milliseconds, as another replica needs it.
    pub fn keep_turn(&mut self, turn: &str, until: u64) {
        if let Some(stored) = self.turns.get_mut(turn) {
            stored.needed_until = stored.needed_until.max(until);
        }
    }

    /// Turns known here that continue others, and in turn those that continue these, up to turns that are kept.
    pub fn continuations(&self, turns: &[String], now: u64) -> Continuations {
        let under_way = self.continuations_under_way(now);
        let mut found = Vec::new();
        let mut visited: BTreeSet<&str> = turns.iter().map(String::as_str).collect();
        let mut open: Vec<&str> = turns.iter().map(String::as_str).collect();
        while let Some(previous) = open.pop() {
            found.extend(under_way.get(previous).into_iter().flatten().cloned());
            for turn in self.continuations.get(previous).into_iter().flatten() {
                let kept_until = self.turns.get(turn).map_or(0, StoredTurn::kept_until);
                let remaining_millis = kept_until.saturating_sub(now);
                found.push(TurnContinuation {
                    turn: turn.clone(),
                    previous: previous.to_owned(),
                    remaining_millis,
                });
                if remaining_millis == 0 && visited.insert(turn) {
                    open.push(turn);
                }
            }
        }
        Continuations { turns: found }
    }

    /// Turns under way that continue another one, by that one.
    fn continuations_under_way(&self, now: u64) -> HashMap<&str, Vec<TurnContinuation>> {
        let mut under_way: HashMap<&str, Vec<TurnContinuation>> = HashMap::new();
        for account in self.programs.values() {
            let remaining_millis = account.expires.saturating_sub(now);
            for (turn, previous) in &account.continued {
                let later =
                    TurnContinuation { turn: turn.clone(), previous: previous.clone(), remaining_millis };
                under_way.entry(previous).or_default().push(later);
            }
        }
        under_way
    }

    /// Page of records that follows a cursor; their expiry is relative to `now`.
    pub fn page(&self, after: &str, detail: PageDetail, now: u64) -> Page {
        let mut page = PageBuilder { detail, ..PageBuilder::default() };
        let (section, key) = after.split_at(after.len().min(1));
        let is_turn_cursor = section == TURN_CURSOR_PREFIX;
        if after.is_empty() && self.copy.number > 0 {
            page.add(RecordKind::Copy(self.copy.clone()), 0, self.copy.content.len());
        }
        if after.is_empty() && self.crash_history.number > 0 {
            let history = self.crash_history.clone();
            page.add(RecordKind::CrashHistory(history), 0, self.crash_history.content.len());
        }
        if !is_turn_cursor && self.add_programs(key, now, &mut page) {
            return page.page;
        }
        self.add_turns(if is_turn_cursor { key } else { "" }, now, &mut page);
        page.page
    }

    /// Adds programs after a key; returns whether the page is full.
    fn add_programs(&self, after: &str, now: u64, page: &mut PageBuilder) -> bool {
        for (program, account) in self.programs.range::<str, _>(keys_after(after)) {
            let remaining = account.expires.saturating_sub(now);
            for (turn, turn_account) in &account.turns {
                let Some(tokens) = turn_account.ended_tokens else {
                    let begun = TurnBegun {
                        program: program.clone(),
                        turn: turn.clone(),
                        max_tokens: turn_account.max_tokens,
                        retention_millis: 0,
                        origin: turn_account.origin_message(),
                        request: turn_account.request,
                        previous: account.continued.get(turn).cloned().unwrap_or_default(),
                        retained_bytes: account.retained_bytes.get(turn).copied().unwrap_or_default(),
                    };
                    page.add(RecordKind::Begun(begun), remaining, 0);
                    continue;
                };
                // In a page with content, the end of a retained turn is listed with its content.
                if page.detail == PageDetail::Keys || !self.turns.contains_key(turn) {
                    let ended = TurnEnded {
                        program: program.clone(),
                        turn: turn.clone(),
                        tokens,
                        origin: origin_in_page(turn_account),
                        request: request_in_page(turn_account),
                        has_no_event: turn_account.has_no_event,
                        ..TurnEnded::default()
                    };
                    page.add(RecordKind::Ended(ended), remaining, 0);
                }
            }
            if page.is_full() {
                page.page.next = format!("{PROGRAM_CURSOR_PREFIX}{program}");
                return true;
            }
        }
        false
    }

    fn add_turns(&self, after: &str, now: u64, page: &mut PageBuilder) {
        for (turn, stored) in self.turns.range::<str, _>(keys_after(after)) {
            match page.detail {
                PageDetail::Whole => self.add_content(turn, stored, now, page),
                PageDetail::Keys => page.add_key(turn),
            }
            if page.is_full() {
                page.page.next = format!("{TURN_CURSOR_PREFIX}{turn}");
                return;
            }
        }
    }

    fn add_content(&self, turn: &str, stored: &StoredTurn, now: u64, page: &mut PageBuilder) {
        let account = self.programs.get(&stored.program).and_then(|account| account.turns.get(turn));
        let tokens = account.and_then(|account| account.ended_tokens).unwrap_or(0);
        let ended = TurnEnded {
            program: stored.program.clone(),
            turn: turn.to_owned(),
            tokens,
            retention_millis: 0,
            retained: Some(stored.content.clone()),
            origin: account.and_then(origin_in_page),
            request: account.and_then(request_in_page),
            has_no_event: account.is_some_and(|account| account.has_no_event),
        };
        let bytes = stored.content.input.len() + stored.content.output.len();
        page.add(RecordKind::Ended(ended), stored.kept_until().saturating_sub(now), bytes);
    }
}

/// Detail in which a page lists retained turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PageDetail {
    /// Records with content.
    #[default]
    Whole,
    /// Names only, for readers that already hold most of the content.
    Keys,
}

#[derive(Default)]
struct PageBuilder {
    page: Page,
    detail: PageDetail,
    bytes: usize,
}

impl PageBuilder {
    fn add(&mut self, kind: RecordKind, remaining: u64, content_bytes: usize) {
        self.page.records.push(Record { kind: Some(kind), expiry_millis: remaining });
        self.bytes += content_bytes + RECORD_OVERHEAD_BYTES;
    }

    fn add_key(&mut self, turn: &str) {
        self.page.retained_keys.push(turn.to_owned());
        self.bytes += turn.len() + KEY_OVERHEAD_BYTES;
    }

    fn is_full(&self) -> bool {
        self.bytes >= PAGE_BYTES
    }
}

/// Origin of an ended turn, as it is transferred in a page.
fn origin_in_page(account: &TurnAccount) -> Option<StreamOrigin> {
    account.origin_message().filter(|_| !is_broken(Rule::LedgerPagesHoldOrigins))
}

/// Fingerprint of an ended turn's request, as it is transferred in a page.
fn request_in_page(account: &TurnAccount) -> Option<u64> {
    account.request.filter(|_| !is_broken(Rule::LedgerPagesHoldRequests))
}

fn keys_after(key: &str) -> (Bound<&str>, Bound<&str>) {
    let lower = if key.is_empty() { Bound::Unbounded } else { Bound::Excluded(key) };
    (lower, Bound::Unbounded)
}

/// Replaces a copy by a newer one; returns whether it is newer.
fn replace_if_newer(current: &mut StoredCopy, copy: &StoredCopy) -> bool {
    let is_newer = copy.number > current.number;
    if is_newer {
        *current = copy.clone();
    }
    is_newer
}

/// Copies the content to buffers of its own size. The received slices would keep the whole network buffer allocated.
fn compact_copy(content: &RetainedTurn) -> RetainedTurn {
    RetainedTurn {
        previous: content.previous.clone(),
        input: Bytes::copy_from_slice(&content.input),
        output: Bytes::copy_from_slice(&content.output),
    }
}

fn expiry(retention_millis: u64, now: u64) -> u64 {
    now + retention_millis * RETENTION_FACTOR
}
