//! Mutation test: breaking any one rule of the ledger must make a simulation or scenario fail.
#![cfg(feature = "mutants")]

mod cluster;
mod partial_partition;
mod zone_simulation;

use std::sync::Arc;
use std::time::Duration;

use cluster::Cluster;
use sumacdrift_ledger::{
    BeginQuorum, BeginVote, Group, GroupMap, GroupPolicy, KnownTurn, Member, MemberReport, MemberWatch,
    MembershipDecision, ReplacementPolicy, Replica, ReplicaSettings, ResumedOrigin, ResumedTurn,
    StreamOrigin,
};
use sumacdrift_mutants::{Rule, with_broken};
use sumacdrift_types::{RegionName, Timestamp, Topology};

const SEEDS: u64 = 400;
const STEPS: usize = 1_500;

fn detects_violation(rule: Rule, seed: u64) -> bool {
    match rule {
        Rule::LedgerZonesHoldFewMembers => return zone_simulation::simulate(seed).is_err(),
        Rule::LedgerGroupsStayInTheirRegions => return joins_group_in_another_region(),
        Rule::LedgerMemberLossNeedsWitnesses => {
            return partial_partition::replaces_member_reachable_by_others();
        }
        Rule::LedgerHandedOverMembersDoNotVote => return member_votes_after_handover(),
        Rule::LedgerIncompleteMembersRemoveNobody => return incomplete_member_removes_a_lost_one(),
        Rule::LedgerDifferentOriginsAreAmbiguous => return resumes_one_of_two_origins(),
        _ => {}
    }
    let is_about_origins = matches!(
        rule,
        Rule::LedgerNewestOriginCounts | Rule::LedgerPagesHoldOrigins | Rule::LedgerPagesHoldRequests
    );
    let is_about_small_groups =
        matches!(rule, Rule::LedgerSmallGroupsCommitMoreCopies | Rule::LedgerClientsAwaitQuorum);
    let run = std::panic::catch_unwind(|| {
        let mut cluster = match (is_about_origins, is_about_small_groups) {
            (true, _) => Cluster::with_resumptions(seed, 1),
            (_, true) => Cluster::with_small_groups(seed, 2),
            _ => Cluster::new(seed, 1),
        };
        (0..STEPS).for_each(|_| cluster.step());
    });
    run.is_err()
}

fn joins_group_in_another_region() -> bool {
    let region = |name: &str| RegionName::new(name).expect("valid region name");
    let topology = Topology::new(
        [("z1", "a"), ("z2", "b")].map(|(zone, region_name)| (Arc::from(zone), region(region_name))),
    );
    let member = |node: &str, zone: &str| Member {
        node: node.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        joined: 0,
    };
    let map = GroupMap::new(vec![Group::initial(vec![member("a", "z1")])]);
    let (policy, watch) = (GroupPolicy::tolerating(1), MemberWatch::default());
    let step = policy.decide_membership(
        &topology,
        &map,
        &member("b", "z2"),
        &watch,
        ReplacementPolicy::FOR_EXISTING_MACHINE,
        Timestamp::default(),
    );
    step != MembershipDecision::Keep
}

fn member(node: &str) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member { node: node.to_owned(), address, zone: "z".to_owned(), joined: 0 }
}

fn member_votes_after_handover() -> bool {
    let group = Group::initial(["a", "b", "c"].map(member).to_vec());
    let next = GroupPolicy::tolerating(1).group_after_handover(&group, "a").expect("two members remain");
    let mut replica = Replica::new(ReplicaSettings { node: "a".to_owned(), is_first_start: true });
    replica.finish_replay();
    replica.install(group);
    replica.install(next);
    replica.is_voting()
}

fn incomplete_member_removes_a_lost_one() -> bool {
    let map = GroupMap::new(vec![Group::initial(["a", "b", "lost"].map(member).to_vec())]);
    let start = Timestamp::default();
    let now = start + Duration::from_secs(20);
    let report = MemberReport {
        is_voting: true,
        unresponsive: Some([("lost".to_owned(), Duration::from_secs(20))].into()),
        ..MemberReport::default()
    };
    let mut watch = MemberWatch::default();
    watch.record_timeout("lost", start);
    watch.record_answer("b", report, now);
    let (topology, own) = (Topology::default(), member("a"));
    let replacement = ReplacementPolicy::for_incomplete_member(Duration::from_secs(4));
    let policy = GroupPolicy::tolerating(1);
    policy.decide_membership(&topology, &map, &own, &watch, replacement, now) != MembershipDecision::Keep
}

fn resumes_one_of_two_origins() -> bool {
    let known = ["v1", "v2"].map(|version| KnownTurn {
        turn: version.to_owned(),
        origin: Some(StreamOrigin { service: "s".to_owned(), version: version.to_owned(), revision: 1 }),
        ..KnownTurn::default()
    });
    let vote = BeginVote { known: known.to_vec(), has_compared_requests: true, ..BeginVote::default() };
    let mut quorum = BeginQuorum::new(1, 0, 0).resuming(ResumedTurn::OfSameRequest);
    quorum.vote(vote);
    quorum.resumed_origin() != ResumedOrigin::Ambiguous
}

#[test]
fn every_broken_rule_is_detected() {
    std::panic::set_hook(Box::new(|_| {}));
    let undetected: Vec<Rule> = Rule::LEDGER
        .into_iter()
        .filter(|rule| !(0..SEEDS).any(|seed| with_broken(*rule, || detects_violation(*rule, seed))))
        .collect();
    let _ = std::panic::take_hook();
    assert!(undetected.is_empty(), "{undetected:?}");
}
