//! Finding the turns of a chain: in the program's own group, and in the others where a program goes on from another
//! program's turn.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use sumacdrift_ledger::{
    ChainAssembly, ChainReply, ChainRequest, ChainStep, Group, GroupNumber, Member, ReplyKind, RequestKind,
};
use tokio::time::Instant;

use crate::asking::Asking;
use crate::begin_turn::{Admission, BeginTurn, LedgerError};
use crate::client::LedgerClient;
use crate::rpc::encode;

/// What came of looking for a turn.
#[derive(Debug)]
enum Search {
    /// The turn, and those before it as far as they were known there.
    Found(ChainReply),
    /// No group has it: a majority of each said so.
    Nowhere,
    /// Some group did not answer enough.
    Unsure,
}

impl LedgerClient {
    /// Asks further members for the turns that are missing.
    pub(crate) async fn complete_chain(
        &self,
        group: &Arc<Group>,
        program: &str,
        first: ChainReply,
        deadline: Instant,
    ) -> Result<ChainAssembly, LedgerError> {
        let mut chain = ChainAssembly::default();
        let mut step = chain.add(first);
        while let ChainStep::Missing(turn) = step {
            if Instant::now() >= deadline {
                return Err(LedgerError::Unavailable);
            }
            let found = match self.find_turn(group, program, &turn, deadline).await {
                Some(found) => Some(found),
                None => match self.find_elsewhere(group.number, &turn, deadline).await {
                    Search::Found(found) => Some(found),
                    Search::Nowhere | Search::Unsure => None,
                },
            };
            step = chain.add(found.ok_or(LedgerError::Unavailable)?);
        }
        Ok(chain)
    }

    /// Asks one member after the other, as an answer may be large.
    async fn find_turn(
        &self,
        group: &Arc<Group>,
        program: &str,
        turn: &str,
        deadline: Instant,
    ) -> Option<ChainReply> {
        let wanted = ChainRequest { turn: turn.to_owned() };
        // Only of several groups can one lack a turn that was committed; until then the question that every version
        // understands is asked.
        let is_only_group = self.map().groups().len() <= 1;
        let kind = if is_only_group { RequestKind::Chain(wanted) } else { RequestKind::Find(wanted) };
        let enough_lacking = if is_only_group { usize::MAX } else { group.majority() };
        let mut asking = self.asking(group, program, deadline);
        match search(&mut asking, encode(group, kind), 1, enough_lacking).await {
            Search::Found(chain) => Some(chain),
            Search::Nowhere | Search::Unsure => None,
        }
    }

    /// Asks all other groups at once.
    async fn find_elsewhere(&self, own: GroupNumber, turn: &str, deadline: Instant) -> Search {
        let map = self.map();
        let others = map.groups().iter().filter(|group| group.number != own);
        let mut searches: FuturesUnordered<_> =
            others.map(|group| self.find_in(group, turn, deadline)).collect();
        let mut is_sure = true;
        while let Some((number, search)) = searches.next().await {
            match search {
                Search::Found(chain) => {
                    info!(self.logger(), "turn found in another group"; "event" => "turn_found_elsewhere",
                        "turn" => turn, "own_group" => own, "group" => number);
                    return Search::Found(chain);
                }
                Search::Unsure => is_sure = false,
                Search::Nowhere => {}
            }
        }
        if is_sure { Search::Nowhere } else { Search::Unsure }
    }

    async fn find_in(&self, group: &Arc<Group>, turn: &str, deadline: Instant) -> (GroupNumber, Search) {
        let request = encode(group, RequestKind::Find(ChainRequest { turn: turn.to_owned() }));
        let mut asking = self.asking(group, turn, deadline);
        let found = search(&mut asking, request, group.majority(), group.majority()).await;
        if matches!(found, Search::Nowhere) {
            asking.decided();
        }
        (group.number, found)
    }

    /// Begins a turn whose earlier turn the program's own group does not know: the chain is looked for in the other
    /// groups, and the own one decides on the rest.
    pub(crate) async fn begin_from_elsewhere(
        &self,
        group: &Arc<Group>,
        begin: BeginTurn,
        until: Instant,
    ) -> Result<Admission, LedgerError> {
        let first = match self.find_elsewhere(group.number, &begin.previous, until).await {
            Search::Found(chain) => chain,
            Search::Nowhere => return Err(LedgerError::UnknownPrevious),
            Search::Unsure => return Err(LedgerError::Unavailable),
        };
        let chain = match begin.needs_chain {
            true => self.complete_chain(group, &begin.turn.program, first, until).await?,
            false => ChainAssembly::default(),
        };
        let without_chain = BeginTurn { previous: String::new(), needs_chain: false, ..begin };
        let admission = self.begin_in(group, &without_chain, until).await;
        // A group that changed just now is asked anew when the caller comes back.
        let admission = admission.unwrap_or(Err(LedgerError::Unavailable))?;
        Ok(Admission { chain, ..admission })
    }
}

/// Asks so many members at first, more as they lack the turn, until one tells it or enough of them lack it.
async fn search(asking: &mut Asking<'_>, request: Bytes, at_first: usize, enough_lacking: usize) -> Search {
    let request_for = |_: &Member| request.clone();
    asking.begin(at_first, &request_for);
    let mut lacking = 0;
    while let Some(answer) = asking.next(&request_for).await {
        let ReplyKind::Chain(chain) = answer else { continue };
        if !chain.turns.is_empty() {
            return Search::Found(chain);
        }
        lacking += 1;
        if lacking >= enough_lacking {
            return Search::Nowhere;
        }
    }
    Search::Unsure
}
