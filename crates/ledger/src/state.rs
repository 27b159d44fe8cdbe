//! Everything a replica knows of programs.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;

use crate::account::ProgramAccount;
use crate::message::{
    BeginVote, ChainReply, Page, Record, RecordKind, RetainedTurn, StoredCopy, TurnBegun, TurnEnded,
};

/// Content that a page may carry before it ends.
const PAGE_BYTES: usize = 256 << 10;
/// Fixed share of a record in a page, for what its content does not show.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Fixed share of a key in a page.
const KEY_OVERHEAD_BYTES: usize = 4;
/// How much longer than asked for records are kept, so that clocks that differ lose nothing.
const KEEP_FACTOR: u64 = 2;
/// Longest chain that is followed; a longer one is a defect.
const MAX_CHAIN: usize = 4096;
/// Prefixes of a page's cursor.
const PROGRAM_CURSOR: &str = "p";
const TURN_CURSOR: &str = "t";
/// Cursor at which the kept turns begin.
pub const KEPT_TURNS_CURSOR: &str = TURN_CURSOR;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Kept {
    program: String,
    content: RetainedTurn,
    expires: u64,
}

/// Accounts of programs and content of turns. Times are milliseconds of the time of day.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerState {
    programs: BTreeMap<String, ProgramAccount>,
    kept: BTreeMap<String, Kept>,
    copy: StoredCopy,
}

impl LedgerState {
    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty() && self.kept.is_empty()
    }

    /// Number of programs.
    pub fn programs(&self) -> usize {
        self.programs.len()
    }

    /// Number of turns whose content is kept.
    pub fn kept_turns(&self) -> usize {
        self.kept.len()
    }

    /// Forgets all programs and turns.
    pub fn forget_programs(&mut self) {
        self.programs.clear();
        self.kept.clear();
    }

    /// Notes a turn's begin; returns the time at which the record expires.
    pub fn begin(&mut self, turn: &TurnBegun, now: u64) -> u64 {
        let expires = expiry(turn.retention_millis, now);
        self.begin_until(turn, expires);
        expires
    }

    /// Notes a turn's end; returns the time at which the record expires.
    pub fn end(&mut self, turn: &TurnEnded, now: u64) -> u64 {
        let expires = expiry(turn.retention_millis, now);
        self.end_until(turn, expires);
        expires
    }

    /// Takes a record in; its expiry is a time of day. Returns whether it says anything new.
    pub fn merge(&mut self, record: &Record) -> bool {
        match &record.kind {
            Some(RecordKind::Begun(turn)) => self.begin_until(turn, record.expiry_millis),
            Some(RecordKind::Ended(turn)) => self.end_until(turn, record.expiry_millis),
            Some(RecordKind::Copy(copy)) => self.keep(copy),
            Some(RecordKind::Group(_) | RecordKind::Standing(_) | RecordKind::Reading(_)) | None => false,
        }
    }

    /// Whether the content of a turn is kept.
    pub fn keeps(&self, turn: &str) -> bool {
        self.kept.contains_key(turn)
    }

    /// The records of kept turns with their content, as far as they are known.
    pub fn contents(&self, turns: &[String], now: u64) -> Page {
        let mut page = PageBuilder::default();
        for turn in turns {
            if let Some(kept) = self.kept.get(turn) {
                self.add_content(turn, kept, now, &mut page);
            }
        }
        page.page
    }

    /// Keeps a copy if it is newer; returns whether it is.
    pub fn keep(&mut self, copy: &StoredCopy) -> bool {
        let is_newer = copy.number > self.copy.number;
        if is_newer {
            self.copy = copy.clone();
        }
        is_newer
    }

    /// The newest copy.
    pub fn copy(&self) -> &StoredCopy {
        &self.copy
    }

    fn begin_until(&mut self, turn: &TurnBegun, expires: u64) -> bool {
        let account = self.account(&turn.program, expires);
        account.begin(&turn.turn, turn.most_tokens)
    }

    fn end_until(&mut self, turn: &TurnEnded, expires: u64) -> bool {
        let account = self.account(&turn.program, expires);
        let is_new = account.end(&turn.turn, turn.tokens);
        let Some(content) = &turn.retained else { return is_new };
        let kept = Kept { program: turn.program.clone(), content: own_copy(content), expires };
        self.kept.insert(turn.turn.clone(), kept).is_none() || is_new
    }

    fn account(&mut self, program: &str, expires: u64) -> &mut ProgramAccount {
        if !self.programs.contains_key(program) {
            self.programs.insert(program.to_owned(), ProgramAccount::default());
        }
        let account = self.programs.entry(program.to_owned()).or_default();
        account.expires = account.expires.max(expires);
        account
    }

    /// What is known when a turn wants to begin.
    pub fn vote(&self, turn: &TurnBegun, budget_tokens: u64, previous: &str, wants_chain: bool) -> BeginVote {
        let account = self.programs.get(&turn.program);
        let counted = account.map_or(0, |account| account.counted_besides(&turn.turn));
        let knows_previous = previous.is_empty() || self.kept.contains_key(previous);
        BeginVote {
            known: account.map(|account| account.known_besides(&turn.turn)).unwrap_or_default(),
            fits: budget_tokens == 0 || counted + turn.most_tokens <= budget_tokens,
            knows_previous,
            chain: (wants_chain && !previous.is_empty()).then(|| self.chain(previous)),
        }
    }

    /// A turn's content and that of the turns before it, as far as it is known.
    pub fn chain(&self, newest: &str) -> ChainReply {
        let mut turns = Vec::new();
        let mut next = newest.to_owned();
        while !next.is_empty() && turns.len() < MAX_CHAIN {
            let Some(kept) = self.kept.get(&next) else { break };
            next.clone_from(&kept.content.previous);
            turns.push(kept.content.clone());
        }
        ChainReply { turns, missing: next }
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: u64) {
        self.programs.retain(|_, account| account.expires > now);
        self.kept.retain(|_, kept| kept.expires > now);
    }

    /// The records behind a cursor, with the time that is left to each.
    pub fn page(&self, after: &str, detail: PageDetail, now: u64) -> Page {
        let mut page = PageBuilder { detail, ..PageBuilder::default() };
        let (section, key) = after.split_at(after.len().min(1));
        let is_in_turns = section == TURN_CURSOR;
        if after.is_empty() && self.copy.number > 0 {
            page.add(RecordKind::Copy(self.copy.clone()), 0, self.copy.content.len());
        }
        if !is_in_turns && self.program_records(key, now, &mut page) {
            return page.page;
        }
        self.turn_records(if is_in_turns { key } else { "" }, now, &mut page);
        page.page
    }

    /// Adds programs behind a key; returns whether the page is full.
    fn program_records(&self, after: &str, now: u64, page: &mut PageBuilder) -> bool {
        for (program, account) in self.programs.range::<str, _>(behind(after)) {
            let left = account.expires.saturating_sub(now);
            for (turn, counted) in &account.turns {
                let Some(tokens) = counted.ended_tokens else {
                    let begun = TurnBegun {
                        program: program.clone(),
                        turn: turn.clone(),
                        most_tokens: counted.most_tokens,
                        retention_millis: 0,
                    };
                    page.add(RecordKind::Begun(begun), left, 0);
                    continue;
                };
                // The end of a turn that is kept stands with its content.
                if page.detail == PageDetail::Keys || !self.kept.contains_key(turn) {
                    let ended = TurnEnded {
                        program: program.clone(),
                        turn: turn.clone(),
                        tokens,
                        ..TurnEnded::default()
                    };
                    page.add(RecordKind::Ended(ended), left, 0);
                }
            }
            if page.is_full() {
                page.page.next = format!("{PROGRAM_CURSOR}{program}");
                return true;
            }
        }
        false
    }

    fn turn_records(&self, after: &str, now: u64, page: &mut PageBuilder) {
        for (turn, kept) in self.kept.range::<str, _>(behind(after)) {
            match page.detail {
                PageDetail::Whole => self.add_content(turn, kept, now, page),
                PageDetail::Keys => page.add_key(turn),
            }
            if page.is_full() {
                page.page.next = format!("{TURN_CURSOR}{turn}");
                return;
            }
        }
    }

    fn add_content(&self, turn: &str, kept: &Kept, now: u64, page: &mut PageBuilder) {
        let account = self.programs.get(&kept.program).and_then(|account| account.turns.get(turn));
        let tokens = account.and_then(|account| account.ended_tokens).unwrap_or(0);
        let ended = TurnEnded {
            program: kept.program.clone(),
            turn: turn.to_owned(),
            tokens,
            retention_millis: 0,
            retained: Some(kept.content.clone()),
        };
        let bytes = kept.content.input.len() + kept.content.output.len();
        page.add(RecordKind::Ended(ended), kept.expires.saturating_sub(now), bytes);
    }
}

/// What a page tells of kept turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PageDetail {
    /// Their content.
    #[default]
    Whole,
    /// Only which they are, for readers that hold most of them already.
    Keys,
}

#[derive(Default)]
struct PageBuilder {
    page: Page,
    detail: PageDetail,
    bytes: usize,
}

impl PageBuilder {
    fn add(&mut self, kind: RecordKind, left: u64, content_bytes: usize) {
        self.page.records.push(Record { kind: Some(kind), expiry_millis: left });
        self.bytes += content_bytes + RECORD_OVERHEAD_BYTES;
    }

    fn add_key(&mut self, turn: &str) {
        self.page.kept_turns.push(turn.to_owned());
        self.bytes += turn.len() + KEY_OVERHEAD_BYTES;
    }

    fn is_full(&self) -> bool {
        self.bytes >= PAGE_BYTES
    }
}

fn behind(key: &str) -> (Bound<&str>, Bound<&str>) {
    let lower = if key.is_empty() { Bound::Unbounded } else { Bound::Excluded(key) };
    (lower, Bound::Unbounded)
}

/// The content in memory of its own size. As it arrived it is a piece of what was read from the network, all of which
/// would be kept as long as the piece.
fn own_copy(content: &RetainedTurn) -> RetainedTurn {
    RetainedTurn {
        previous: content.previous.clone(),
        input: Bytes::copy_from_slice(&content.input),
        output: Bytes::copy_from_slice(&content.output),
    }
}

fn expiry(retention_millis: u64, now: u64) -> u64 {
    now + retention_millis * KEEP_FACTOR
}
