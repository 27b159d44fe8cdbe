//! Names of mechanisms, and sets of switched-off ones.

use sumacdrift_types::{DisabledMechanisms, Mechanism, mechanism_names};

#[test]
fn every_name_parses_to_its_mechanism_and_back() {
    for name in mechanism_names() {
        let mechanism: Mechanism = name.parse().expect("known mechanism");
        assert_eq!(mechanism.to_string(), name);
        let disabled: DisabledMechanisms = [mechanism].into_iter().collect();
        let allowed =
            mechanism_names().filter(|other| disabled.is_enabled(other.parse().expect("known mechanism")));
        assert_eq!(allowed.count(), mechanism_names().count() - 1, "{name}");
    }
}

#[test]
fn the_error_for_an_unknown_name_lists_the_known_ones() {
    let error = "affinity".parse::<Mechanism>().expect_err("unknown mechanism");
    let text = error.to_string();
    assert!(text.contains("affinity") && text.contains("held-prompts"), "{text}");
}

#[test]
fn nothing_is_disabled_by_default() {
    assert!(
        mechanism_names()
            .all(|name| DisabledMechanisms::default().is_enabled(name.parse().expect("known mechanism")))
    );
}

/// Guards against mechanisms that the operators' documentation lacks.
#[test]
fn every_name_is_in_the_configuration_page() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    for name in mechanism_names() {
        assert!(page.contains(&format!("`{name}`")), "{name} is not documented");
    }
}
