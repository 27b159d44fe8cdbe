//! Names of mechanisms, and sets of those that are switched off.

use sumacdrift_types::{Mechanism, SwitchedOff, mechanism_names};

#[test]
fn every_name_is_read_as_it_is_written() {
    for name in mechanism_names() {
        let mechanism: Mechanism = name.parse().expect("a mechanism");
        assert_eq!(mechanism.to_string(), name);
        let off: SwitchedOff = [mechanism].into_iter().collect();
        let allowed = mechanism_names().filter(|other| off.allows(other.parse().expect("a mechanism")));
        assert_eq!(allowed.count(), mechanism_names().count() - 1, "{name}");
    }
}

#[test]
fn an_unknown_name_is_told_with_those_that_are_known() {
    let error = "affinity".parse::<Mechanism>().expect_err("no such mechanism");
    let text = error.to_string();
    assert!(text.contains("affinity") && text.contains("held-prompts"), "{text}");
}

#[test]
fn nothing_is_switched_off_by_default() {
    assert!(mechanism_names().all(|name| SwitchedOff::default().allows(name.parse().expect("a mechanism"))));
}

/// The operators' page must know every switch.
#[test]
fn every_name_stands_in_the_configuration_page() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    for name in mechanism_names() {
        assert!(page.contains(&format!("`{name}`")), "{name} is missing");
    }
}
