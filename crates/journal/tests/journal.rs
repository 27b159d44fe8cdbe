//! What a journal promises on a disk that loses and tears writes.

mod simulated_disk;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulated_disk::SimulatedDisk;
use sumacdrift_journal::{FolderDisk, Journal, JournalError, JournalSettings, encode_record, read_records};

const SETTINGS: JournalSettings = JournalSettings { capacity_bytes: 1 << 20 };

fn replay(disk: &SimulatedDisk) -> (Journal<SimulatedDisk>, Vec<Vec<u8>>, usize) {
    let mut records = Vec::new();
    let opened = Journal::open(disk.clone(), SETTINGS, |record| records.push(record.to_vec()));
    let (journal, torn) = opened.expect("a journal");
    (journal, records, torn)
}

/// The whole records at the start of a segment, and where they end.
fn whole_records(segment: &[u8]) -> (Vec<Vec<u8>>, usize) {
    let mut records = Vec::new();
    let end = read_records(segment, segment.len() as u64, |record| records.push(record.to_vec()));
    (records, usize::try_from(end.expect("a readable segment")).expect("a small segment"))
}

#[test]
fn records_come_back_in_order() {
    let disk = SimulatedDisk::default();
    let (mut journal, _, _) = replay(&disk);
    journal.commit([&b"first"[..], b"second"]).expect("a commit");
    journal.begin_segment().expect("a segment");
    journal.commit([&b"third"[..]]).expect("a commit");
    let (_, records, torn) = replay(&disk);
    assert_eq!(records, [b"first".to_vec(), b"second".to_vec(), b"third".to_vec()]);
    assert_eq!(torn, 0);
}

#[test]
fn what_was_committed_survives_every_loss_of_power() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let disk = SimulatedDisk::default();
        let mut acknowledged: Vec<Vec<u8>> = Vec::new();
        for _life in 0..4 {
            let (mut journal, records, _) = replay(&disk);
            for record in &acknowledged {
                assert!(records.contains(record), "seed {seed}: a committed record is gone");
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
fn what_was_replayed_once_is_not_lost_by_power() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let disk = SimulatedDisk::default();
        let (mut journal, _, _) = replay(&disk);
        // The process ends before its sync does; the file is as it wrote it.
        disk.fail_next_sync();
        assert!(journal.commit([&b"not synced"[..]]).is_err());
        let (_, replayed, _) = replay(&disk);
        disk.lose_power(&mut random);
        let (_, records, _) = replay(&disk);
        assert_eq!(records, replayed, "seed {seed}: what the process went by is gone");
    }
}

#[test]
fn a_torn_record_ends_its_segment_and_no_other() {
    let disk = SimulatedDisk::default();
    let (mut journal, _, _) = replay(&disk);
    journal.commit([&b"whole"[..]]).expect("a commit");
    disk.append_raw(&[9, 0, 0, 0, 1, 2, 3, 4, b'h', b'a']);
    let (mut journal, records, torn) = replay(&disk);
    assert_eq!(records, [b"whole".to_vec()]);
    assert_eq!(torn, 10);
    journal.commit([&b"later"[..]]).expect("a commit");
    let (_, records, _) = replay(&disk);
    assert_eq!(records, [b"whole".to_vec(), b"later".to_vec()]);
}

#[test]
fn a_flipped_bit_is_noticed() {
    let mut segment = Vec::new();
    encode_record(b"one", &mut segment);
    let first_end = segment.len();
    encode_record(b"two", &mut segment);
    for position in first_end..segment.len() {
        let mut spoiled = segment.clone();
        spoiled[position] ^= 1;
        let (records, end) = whole_records(&spoiled);
        assert_eq!((records, end), (vec![b"one".to_vec()], first_end), "byte {position}");
    }
}

#[test]
fn a_full_journal_refuses_and_goes_on_after_removal() {
    let disk = SimulatedDisk::default();
    let limits = JournalSettings { capacity_bytes: 100 };
    let (mut journal, _) = Journal::open(disk, limits, |_| {}).expect("a journal");
    let record = [7_u8; 80];
    journal.commit([&record[..]]).expect("room for one");
    assert!(matches!(journal.commit([&record[..]]), Err(JournalError::Full(88))));
    let next = journal.begin_segment().expect("a segment");
    journal.remove_below(next).expect("a removal");
    journal.commit([&record[..]]).expect("room again");
}

#[test]
fn after_a_failed_sync_nothing_is_acknowledged() {
    let disk = SimulatedDisk::default();
    let (mut journal, _, _) = replay(&disk);
    disk.fail_next_sync();
    assert!(matches!(journal.commit([&b"lost"[..]]), Err(JournalError::Disk(_))));
    assert!(matches!(journal.commit([&b"next"[..]]), Err(JournalError::Failed)));
}

#[test]
fn a_folder_keeps_segments_as_files() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("journal");
    let open = |records: &mut Vec<Vec<u8>>| {
        let disk = FolderDisk::open(path.clone()).expect("a disk");
        Journal::open(disk, SETTINGS, |record| records.push(record.to_vec())).expect("a journal").0
    };
    let mut journal = open(&mut Vec::new());
    journal.commit([&b"kept"[..]]).expect("a commit");
    let next = journal.begin_segment().expect("a segment");
    journal.commit([&b"newer"[..]]).expect("a commit");
    journal.remove_below(next).expect("a removal");
    let mut records = Vec::new();
    open(&mut records);
    assert_eq!(records, [b"newer".to_vec()]);
}
