//! Checks the guarantees without faults, under single faults, pairs and all faults, and on seeds of past
//! failures.

use sumacdrift_simulation::{FaultKind, SimulationOptions, SimulationReport, parse_faults, simulate};

fn run(seed: u64, faults: Vec<FaultKind>) -> SimulationReport {
    simulate(&SimulationOptions { seed, programs: 12, faults })
}

fn assert_clean(report: &SimulationReport) {
    assert!(report.is_clean(), "seed {} with {:?}: {report:#?}", report.seed, report.faults);
}

#[test]
fn guarantees_hold_without_faults() {
    let report = run(1, Vec::new());
    assert_clean(&report);
    assert!(report.turns > 0);
}

#[test]
fn guarantees_hold_under_each_fault() {
    for kind in FaultKind::ALL {
        for seed in 1..=6 {
            assert_clean(&run(seed, vec![kind]));
        }
    }
}

#[test]
fn guarantees_hold_under_each_pair_of_faults() {
    for (position, first) in FaultKind::ALL.into_iter().enumerate() {
        for second in FaultKind::ALL.into_iter().skip(position + 1) {
            for seed in 1..=2 {
                assert_clean(&run(seed, vec![first, second]));
            }
        }
    }
}

#[test]
fn guarantees_hold_under_all_faults_together() {
    for seed in 1..=40 {
        assert_clean(&run(seed, FaultKind::ALL.to_vec()));
    }
}

/// Guards against the failures that these seeds and faults once found with 20 programs.
#[test]
fn seeds_of_past_failures_are_clean() {
    let past_failures = [(22, "pause"), (7, "duplicate"), (38, "pause,partition"), (5, "all"), (148, "all")];
    for (seed, list) in past_failures {
        let faults = parse_faults(list).expect("valid list of faults");
        assert_clean(&simulate(&SimulationOptions { seed, programs: 20, faults }));
    }
}

#[test]
fn equal_seeds_give_equal_reports() {
    let faults = FaultKind::ALL.to_vec();
    assert_eq!(run(3, faults.clone()), run(3, faults));
}

#[test]
fn unknown_fault_is_named_in_the_error() {
    let error = parse_faults("crash,meteor").expect_err("unknown fault");
    assert_eq!(error.to_string(), "unknown fault \"meteor\"");
}
