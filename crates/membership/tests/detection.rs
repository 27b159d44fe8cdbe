//! Detection of crashes and absence of false positives on a virtual network with message loss.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_membership::{
    Detector, Effect, Envelope, Event, Member, MemberState, MembershipSettings, RoleSet,
};
use sumacdrift_types::{Incarnation, NodeId, RegionName, Timestamp, ZoneName};

const NODES: usize = 30;
const STEP: Duration = Duration::from_millis(25);

struct Fleet {
    detectors: BTreeMap<usize, Detector>,
    now: Timestamp,
    loss: f64,
    rng: ChaCha8Rng,
    /// Nodes that were declared dead, and when.
    declared_dead: Vec<(NodeId, Timestamp)>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16))
}

fn member(number: usize, incarnation: u64) -> Member {
    Member {
        node: NodeId(number as u32),
        incarnation: Incarnation(incarnation),
        refutation: 0,
        state: MemberState::Alive,
        is_leaving: false,
        address: address(number),
        region: RegionName::new("region").expect("valid name"),
        zone: ZoneName::new(&format!("zone-{}", number % 3)).expect("valid name"),
        roles: RoleSet::PROGRAMS,
    }
}

fn detector(number: usize, incarnation: u64) -> Detector {
    let seeds = vec![address(0), address(1)];
    Detector::new(member(number, incarnation), seeds, MembershipSettings::default(), number as u64)
}

impl Fleet {
    fn new(loss: f64) -> Self {
        let detectors = (0..NODES).map(|number| (number, detector(number, 1))).collect();
        let rng = ChaCha8Rng::seed_from_u64(7);
        let mut fleet =
            Self { detectors, now: Timestamp(1_000_000), loss: 0.0, rng, declared_dead: Vec::new() };
        fleet.run(Duration::from_secs(40));
        fleet.loss = loss;
        fleet.declared_dead.clear();
        fleet
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            let mut pending: Vec<(SocketAddr, Envelope)> = Vec::new();
            for detector in self.detectors.values_mut() {
                detector.tick(self.now);
                collect(detector, self.now, &mut pending, &mut self.declared_dead);
            }
            while let Some((to, envelope)) = pending.pop() {
                if self.rng.random_bool(self.loss) {
                    continue;
                }
                let number = usize::from(to.port()) - 7000;
                if let Some(detector) = self.detectors.get_mut(&number) {
                    detector.receive(envelope, self.now);
                    collect(detector, self.now, &mut pending, &mut self.declared_dead);
                }
            }
        }
    }
}

fn collect(
    detector: &mut Detector,
    now: Timestamp,
    pending: &mut Vec<(SocketAddr, Envelope)>,
    declared_dead: &mut Vec<(NodeId, Timestamp)>,
) {
    for effect in detector.take_effects() {
        match effect {
            Effect::Send { to, envelope } => pending.push((to, *envelope)),
            Effect::Event(Event::Down { node, .. }) => declared_dead.push((node, now)),
            Effect::Event(_) => {}
        }
    }
}

#[test]
fn all_nodes_discover_each_other() {
    let fleet = Fleet::new(0.0);
    for detector in fleet.detectors.values() {
        assert_eq!(detector.directory().live().count(), NODES);
    }
}

#[test]
fn crash_is_detected_by_all_nodes_within_five_seconds() {
    let mut fleet = Fleet::new(0.01);
    let crashed_at = fleet.now;
    fleet.detectors.remove(&17);
    fleet.run(Duration::from_secs(10));
    let latest = fleet.declared_dead.iter().map(|(_, at)| *at).max().expect("crash was detected");
    assert!(fleet.declared_dead.iter().all(|(node, _)| *node == NodeId(17)), "{:?}", fleet.declared_dead);
    assert_eq!(fleet.declared_dead.len(), NODES - 1);
    assert!(latest.since(crashed_at) < Duration::from_secs(5), "{:?}", latest.since(crashed_at));
}

#[test]
fn message_loss_causes_no_false_positive() {
    let mut fleet = Fleet::new(0.01);
    fleet.run(Duration::from_secs(1200));
    assert!(fleet.declared_dead.is_empty(), "{:?}", fleet.declared_dead);
}

#[test]
fn restarted_node_replaces_its_earlier_incarnation() {
    let mut fleet = Fleet::new(0.0);
    fleet.detectors.insert(17, detector(17, 2));
    fleet.run(Duration::from_secs(5));
    for detector in fleet.detectors.values() {
        let known = detector.directory().get(NodeId(17)).expect("node 17 is known");
        assert_eq!(known.incarnation, Incarnation(2));
        assert_eq!(known.state, MemberState::Alive);
    }
}

#[test]
fn leave_is_known_to_all_nodes_within_two_seconds() {
    let mut fleet = Fleet::new(0.0);
    fleet.detectors.get_mut(&17).expect("node 17 runs").leave();
    fleet.run(Duration::from_secs(2));
    for (number, detector) in &fleet.detectors {
        let known = detector.directory().get(NodeId(17)).expect("node 17 is known");
        assert!(known.is_leaving, "node {number} does not know of the shutdown");
    }
}
