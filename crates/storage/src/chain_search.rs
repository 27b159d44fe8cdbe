//! Search for the turns of a chain: in the program's own group, and in the other groups if the program
//! continues a turn of another program.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use sumacdrift_ledger::{
    ChainAssembly, ChainReply, ChainRequest, ChainStep, Group, GroupNumber, Member, ReplyKind, RequestKind,
};
use tokio::time::Instant;

use crate::begin_turn::{Admission, BeginTurn, LedgerError};
use crate::client::LedgerClient;
use crate::group_request::GroupRequest;
use crate::rpc::encode;

/// Outcome of the search for a turn.
#[derive(Debug)]
enum Search {
    /// The turn, and the earlier ones known to the member that replied.
    Found(ChainReply),
    /// No group has it: a majority of each replied so.
    NotFound,
    /// Too few members of some group replied.
    Undecided,
}

impl LedgerClient {
    /// Asks further members for the missing turns of a chain.
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
                None => match self.find_in_other_groups(group.number, &turn, deadline).await {
                    Search::Found(found) => Some(found),
                    Search::NotFound | Search::Undecided => None,
                },
            };
            step = chain.add(found.ok_or(LedgerError::Unavailable)?);
        }
        Ok(chain)
    }

    /// Asks one member after the other, as a reply may be large.
    async fn find_turn(
        &self,
        group: &Arc<Group>,
        program: &str,
        turn: &str,
        deadline: Instant,
    ) -> Option<ChainReply> {
        let chain_request = ChainRequest { turn: turn.to_owned() };
        // A group can lack a committed turn only if there are several groups. With a single one, `Chain` is
        // sent, which every version understands.
        let is_only_group = self.map().groups().len() <= 1;
        let kind =
            if is_only_group { RequestKind::Chain(chain_request) } else { RequestKind::Find(chain_request) };
        let max_lacking = if is_only_group { usize::MAX } else { group.majority() };
        let mut group_request = self.group_request(group, program, deadline);
        match search(&mut group_request, encode(group, kind), 1, max_lacking).await {
            Search::Found(chain) => Some(chain),
            Search::NotFound | Search::Undecided => None,
        }
    }

    /// Asks all other groups at once.
    async fn find_in_other_groups(&self, own: GroupNumber, turn: &str, deadline: Instant) -> Search {
        let map = self.map();
        let others = map.groups().iter().filter(|group| group.number != own);
        let mut searches: FuturesUnordered<_> =
            others.map(|group| self.find_in_group(group, turn, deadline)).collect();
        let mut is_decided = true;
        while let Some((number, search)) = searches.next().await {
            match search {
                Search::Found(chain) => {
                    info!(self.logger(), "turn found in another group"; "event" => "turn_found_elsewhere",
                        "turn" => turn, "own_group" => own, "group" => number);
                    return Search::Found(chain);
                }
                Search::Undecided => is_decided = false,
                Search::NotFound => {}
            }
        }
        if is_decided { Search::NotFound } else { Search::Undecided }
    }

    async fn find_in_group(
        &self,
        group: &Arc<Group>,
        turn: &str,
        deadline: Instant,
    ) -> (GroupNumber, Search) {
        let request = encode(group, RequestKind::Find(ChainRequest { turn: turn.to_owned() }));
        let mut group_request = self.group_request(group, turn, deadline);
        let found = search(&mut group_request, request, group.majority(), group.majority()).await;
        if matches!(found, Search::NotFound) {
            group_request.record_decision();
        }
        (group.number, found)
    }

    /// Begins a turn whose previous turn is not known to the program's own group: finds the chain in the
    /// other groups, and has the own one decide on everything else.
    pub(crate) async fn begin_with_foreign_chain(
        &self,
        group: &Arc<Group>,
        begin: BeginTurn,
        until: Instant,
    ) -> Result<Admission, LedgerError> {
        let first = match self.find_in_other_groups(group.number, &begin.previous, until).await {
            Search::Found(chain) => chain,
            Search::NotFound => return Err(LedgerError::UnknownPrevious),
            Search::Undecided => return Err(LedgerError::Unavailable),
        };
        let chain = match begin.needs_chain {
            true => self.complete_chain(group, &begin.turn.program, first, until).await?,
            false => ChainAssembly::default(),
        };
        let without_chain = BeginTurn { previous: String::new(), needs_chain: false, ..begin };
        let admission = self.begin_in_group(group, &without_chain, until).await;
        // If the group changed meanwhile, the retry of the caller will reach the new one.
        let admission = admission.unwrap_or(Err(LedgerError::Unavailable))?;
        Ok(Admission { chain, ..admission })
    }
}

/// Asks `at_first` members, and more while replies lack the turn, until one has it or `enough_lacking` lack
/// it.
async fn search(
    group_request: &mut GroupRequest<'_>,
    request: Bytes,
    initial_members: usize,
    max_lacking: usize,
) -> Search {
    let request_for = |_: &Member| request.clone();
    group_request.start(initial_members, &request_for);
    let mut lacking = 0;
    while let Some(answer) = group_request.next_reply(&request_for).await {
        let ReplyKind::Chain(chain) = answer else { continue };
        if !chain.turns.is_empty() {
            return Search::Found(chain);
        }
        lacking += 1;
        if lacking >= max_lacking {
            return Search::NotFound;
        }
    }
    Search::Undecided
}
