//! Nearness of zones, and sets of allowed regions.

use std::sync::Arc;

use sumacdrift_types::{AllowedRegions, Nearness, Places, RegionName};

fn region(name: &str) -> RegionName {
    RegionName::new(name).expect("valid name")
}

fn places() -> Places {
    let zones = [("e1", "east"), ("e2", "east"), ("w1", "west")];
    Places::new(zones.map(|(zone, name)| (Arc::from(zone), region(name))))
}

#[test]
fn nearness_follows_zones_and_regions() {
    let places = places();
    assert_eq!(places.nearness("e1", "e1"), Nearness::Zone);
    assert_eq!(places.nearness("e1", "e2"), Nearness::Region);
    assert_eq!(places.nearness("e1", "w1"), Nearness::Elsewhere);
    assert_eq!(places.nearness("e1", "unknown"), Nearness::Elsewhere);
    assert_eq!(
        Places::default().nearness("a", "b"),
        Nearness::Region,
        "a fleet without configured regions is one region"
    );
}

#[test]
fn the_intersection_allows_only_regions_that_both_sets_allow() {
    let (east, west) = (region("east"), region("west"));
    let both = AllowedRegions::only([east.clone(), west.clone()]);
    let anywhere = AllowedRegions::only([]);
    assert!(anywhere.are_all() && anywhere.allow(None) && anywhere.allow(Some(&west)));
    let only_east = both.and(&AllowedRegions::only([east.clone()]));
    assert!(only_east.allow(Some(&east)) && !only_east.allow(Some(&west)) && !only_east.allow(None));
    assert_eq!(anywhere.and(&only_east), only_east);
    assert_eq!(only_east.and(&anywhere), only_east);
    let none = only_east.and(&AllowedRegions::only([west.clone()]));
    assert!(none.is_empty() && !none.are_all() && !none.allow(Some(&east)));
    assert_eq!(both.to_string(), "east,west");
}
