//! Nearness of zones, and sets of allowed regions.

use std::sync::Arc;

use sumacdrift_types::{AllowedRegions, Nearness, RegionName, Topology};

fn region(name: &str) -> RegionName {
    RegionName::new(name).expect("valid name")
}

fn topology() -> Topology {
    let zones = [("e1", "east"), ("e2", "east"), ("w1", "west")];
    Topology::new(zones.map(|(zone, name)| (Arc::from(zone), region(name))))
}

#[test]
fn nearness_follows_zones_and_regions() {
    let topology = topology();
    assert_eq!(topology.nearness("e1", "e1"), Nearness::Zone);
    assert_eq!(topology.nearness("e1", "e2"), Nearness::Region);
    assert_eq!(topology.nearness("e1", "w1"), Nearness::OtherRegion);
    assert_eq!(topology.nearness("e1", "unknown"), Nearness::OtherRegion);
    assert_eq!(
        Topology::default().nearness("a", "b"),
        Nearness::Region,
        "a fleet without configured regions is one region"
    );
}

#[test]
fn the_intersection_allows_only_regions_that_both_sets_allow() {
    let (east, west) = (region("east"), region("west"));
    let both = AllowedRegions::new([east.clone(), west.clone()]);
    let anywhere = AllowedRegions::new([]);
    assert!(anywhere.is_unrestricted() && anywhere.allow(None) && anywhere.allow(Some(&west)));
    let only_east = both.and(&AllowedRegions::new([east.clone()]));
    assert!(only_east.allow(Some(&east)) && !only_east.allow(Some(&west)) && !only_east.allow(None));
    assert_eq!(anywhere.and(&only_east), only_east);
    assert_eq!(only_east.and(&anywhere), only_east);
    let none = only_east.and(&AllowedRegions::new([west.clone()]));
    assert!(none.is_empty() && !none.is_unrestricted() && !none.allow(Some(&east)));
    assert_eq!(both.to_string(), "east,west");
}
