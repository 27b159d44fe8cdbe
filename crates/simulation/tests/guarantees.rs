//! The ten guarantees under faults, alone and in pairs, and seeds that once failed.

use sumacdrift_simulation::{FaultKind, SimulationOptions, SimulationReport, parse_faults, simulate};

fn run(seed: u64, faults: Vec<FaultKind>) -> SimulationReport {
    simulate(&SimulationOptions { seed, programs: 12, faults })
}

fn assert_clean(report: &SimulationReport) {
    assert!(report.is_clean(), "seed {} with {:?}: {report:#?}", report.seed, report.faults);
}

#[test]
fn nothing_is_violated_without_faults() {
    let report = run(1, Vec::new());
    assert_clean(&report);
    assert!(report.turns > 0);
}

#[test]
fn every_fault_alone_is_borne() {
    for kind in FaultKind::ALL {
        for seed in 1..=6 {
            assert_clean(&run(seed, vec![kind]));
        }
    }
}

#[test]
fn every_pair_of_faults_is_borne() {
    for (position, first) in FaultKind::ALL.into_iter().enumerate() {
        for second in FaultKind::ALL.into_iter().skip(position + 1) {
            for seed in 1..=2 {
                assert_clean(&run(seed, vec![first, second]));
            }
        }
    }
}

#[test]
fn all_faults_together_are_borne() {
    for seed in 1..=40 {
        assert_clean(&run(seed, FaultKind::ALL.to_vec()));
    }
}

/// Seeds that found faults of the system, with the numbers of programs that they failed with.
#[test]
fn seeds_that_once_failed_stay_clean() {
    let once_failed = [(22, "pause"), (7, "duplicate"), (38, "pause,partition"), (5, "all"), (148, "all")];
    for (seed, list) in once_failed {
        let faults = parse_faults(list).expect("a list of faults");
        assert_clean(&simulate(&SimulationOptions { seed, programs: 20, faults }));
    }
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let faults = FaultKind::ALL.to_vec();
    assert_eq!(run(3, faults.clone()), run(3, faults));
}

#[test]
fn an_unknown_fault_is_named() {
    let error = parse_faults("crash,meteor").expect_err("meteor is no fault");
    assert_eq!(error.to_string(), "there is no fault \"meteor\"");
}
