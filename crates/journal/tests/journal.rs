//! Durability of a journal on a disk that loses and tears unsynced writes.

mod simulated_disk;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulated_disk::SimulatedDisk;
use sumacdrift_journal::{
    DirectoryDisk, Journal, JournalError, JournalSettings, encode_record, read_records,
};

const SETTINGS: JournalSettings = JournalSettings { capacity_bytes: 1 << 20 };

fn reopen(disk: &SimulatedDisk) -> (Journal<SimulatedDisk>, Vec<Vec<u8>>, usize) {
    let mut records = Vec::new();
    let opened = Journal::open(disk.clone(), SETTINGS, |record| records.push(record.to_vec()));
    let (journal, torn) = opened.expect("a journal");
    (journal, records, torn)
}

/// The intact records at the start of a segment, and their total length.
fn intact_records(segment: &[u8]) -> (Vec<Vec<u8>>, usize) {
    let mut records = Vec::new();
    let end = read_records(segment, segment.len() as u64, |record| records.push(record.to_vec()));
    (records, usize::try_from(end.expect("a readable segment")).expect("a small segment"))
}

#[test]
fn records_are_replayed_in_order() {
    let disk = SimulatedDisk::default();
    let (mut journal, _, _) = reopen(&disk);
    journal.commit([&b"first"[..], b"second"]).expect("a commit");
    journal.start_segment().expect("a segment");
    journal.commit([&b"third"[..]]).expect("a commit");
    let (_, records, torn) = reopen(&disk);
    assert_eq!(records, [b"first".to_vec(), b"second".to_vec(), b"third".to_vec()]);
    assert_eq!(torn, 0);
}

#[test]
fn committed_records_survive_power_loss() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let disk = SimulatedDisk::default();
        let mut acknowledged: Vec<Vec<u8>> = Vec::new();
        for _restart in 0..4 {
            let (mut journal, records, _) = reopen(&disk);
            for record in &acknowledged {
                assert!(records.contains(record), "seed {seed}: a committed record was lost");
            }
            for _ in 0..random.random_range(1..6) {
                let record = vec![random.random_range(1..=255_u8); random.random_range(1..200)];
                if random.random_bool(0.2) {
                    disk.fail_next_sync();
                }
                let outcome = journal.commit([&record[..]]);
                if outcome.is_ok() {
                    acknowledged.push(record);
                }
            }
            disk.lose_power(&mut random);
        }
    }
}

#[test]
fn replayed_records_survive_power_loss() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let disk = SimulatedDisk::default();
        let (mut journal, _, _) = reopen(&disk);
        // The process dies before its sync completes; the written bytes are still readable.
        disk.fail_next_sync();
        assert!(journal.commit([&b"not synced"[..]]).is_err());
        let (_, replayed, _) = reopen(&disk);
        disk.lose_power(&mut random);
        let (_, records, _) = reopen(&disk);
        assert_eq!(records, replayed, "seed {seed}: a replayed record was lost");
    }
}

#[test]
fn torn_record_ends_only_its_own_segment() {
    let disk = SimulatedDisk::default();
    let (mut journal, _, _) = reopen(&disk);
    journal.commit([&b"whole"[..]]).expect("a commit");
    disk.append_raw(&[9, 0, 0, 0, 1, 2, 3, 4, b'h', b'a']);
    let (mut journal, records, torn) = reopen(&disk);
    assert_eq!(records, [b"whole".to_vec()]);
    assert_eq!(torn, 10);
    journal.commit([&b"later"[..]]).expect("a commit");
    let (_, records, _) = reopen(&disk);
    assert_eq!(records, [b"whole".to_vec(), b"later".to_vec()]);
}

#[test]
fn flipped_bits_are_detected() {
    let mut segment = Vec::new();
    encode_record(b"one", &mut segment);
    let first_end = segment.len();
    encode_record(b"two", &mut segment);
    for position in first_end..segment.len() {
        let mut corrupted = segment.clone();
        corrupted[position] ^= 1;
        let (records, end) = intact_records(&corrupted);
        assert_eq!((records, end), (vec![b"one".to_vec()], first_end), "byte {position}");
    }
}

#[test]
fn full_journal_accepts_commits_after_removal() {
    let disk = SimulatedDisk::default();
    let settings = JournalSettings { capacity_bytes: 100 };
    let (mut journal, _) = Journal::open(disk, settings, |_| {}).expect("a journal");
    let record = [7_u8; 80];
    journal.commit([&record[..]]).expect("a commit within capacity");
    assert!(matches!(journal.commit([&record[..]]), Err(JournalError::Full(88))));
    let next = journal.start_segment().expect("a segment");
    journal.remove_below(next).expect("a removal");
    journal.commit([&record[..]]).expect("a commit after the removal");
}

#[test]
fn commits_fail_after_a_failed_sync() {
    let disk = SimulatedDisk::default();
    let (mut journal, _, _) = reopen(&disk);
    disk.fail_next_sync();
    assert!(matches!(journal.commit([&b"lost"[..]]), Err(JournalError::Disk(_))));
    assert!(matches!(journal.commit([&b"next"[..]]), Err(JournalError::Failed)));
}

#[test]
fn segments_are_stored_as_files() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("journal");
    let open = |records: &mut Vec<Vec<u8>>| {
        let disk = DirectoryDisk::open(path.clone()).expect("a disk");
        Journal::open(disk, SETTINGS, |record| records.push(record.to_vec())).expect("a journal").0
    };
    let mut journal = open(&mut Vec::new());
    journal.commit([&b"kept"[..]]).expect("a commit");
    let next = journal.start_segment().expect("a segment");
    journal.commit([&b"newer"[..]]).expect("a commit");
    journal.remove_below(next).expect("a removal");
    let mut records = Vec::new();
    open(&mut records);
    assert_eq!(records, [b"newer".to_vec()]);
}
