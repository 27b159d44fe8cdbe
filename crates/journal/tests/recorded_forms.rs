//! Compatibility of the segment format with earlier builds.
//!
//! Machines may be rolled back, so the format must not change. Lines of `fixtures/segments.txt` are never edited.

use std::fs;
use std::path::Path;

use sumacdrift_journal::{DirectoryDisk, Journal, JournalSettings, encode_record, read_records};
use sumacdrift_recorded_forms::{Codec, RecordedForms};

const SEGMENT: &str = "Segment";
const SETTINGS: JournalSettings = JournalSettings { capacity_bytes: 1 << 20 };
/// File names of two consecutive segments.
const FIRST_FILE: &str = "000000000003.journal";
const NEXT_FILE: &str = "000000000004.journal";

fn recorded() -> RecordedForms {
    RecordedForms::parse(include_str!("fixtures/segments.txt"))
}

fn records() -> Vec<Vec<u8>> {
    vec![b"first".to_vec(), b"second".to_vec(), vec![0, 255, 10]]
}

fn write(records: &[Vec<u8>]) -> Vec<u8> {
    let mut segment = Vec::new();
    records.iter().for_each(|record| encode_record(record, &mut segment));
    segment
}

fn read(segment: &[u8]) -> Result<Vec<Vec<u8>>, String> {
    let mut records = Vec::new();
    let end = read_records(segment, segment.len() as u64, |record| records.push(record.to_vec()));
    match end.map_err(|error| error.to_string())? {
        end if end == segment.len() as u64 => Ok(records),
        end => Err(format!("torn at {end}")),
    }
}

#[test]
fn recorded_segments_decode_and_encode_unchanged() {
    let mut forms = recorded();
    let codec = Codec { encode: |records: &Vec<Vec<u8>>| write(records), decode: read };
    forms.writes(&codec, SEGMENT, "1", &records());
    forms.writes_bare(&codec, SEGMENT, &Vec::new());
    if let Err(failures) = forms.finish(&[SEGMENT]) {
        panic!("{failures}");
    }
}

fn open(directory: &Path) -> (Journal<DirectoryDisk>, Vec<Vec<u8>>) {
    let mut replayed = Vec::new();
    let disk = DirectoryDisk::open(directory.to_owned()).expect("a disk");
    let opened = Journal::open(disk, SETTINGS, |record| replayed.push(record.to_vec()));
    let (journal, torn_bytes) = opened.expect("a journal");
    assert_eq!(torn_bytes, 0);
    (journal, replayed)
}

#[test]
fn directory_of_an_earlier_build_is_replayed_and_appended_to() {
    let segment = recorded().bytes(SEGMENT, "1");
    let directory = tempfile::tempdir().expect("a temporary directory");
    fs::write(directory.path().join(FIRST_FILE), &segment).expect("a segment");
    let (mut journal, replayed) = open(directory.path());
    assert_eq!(replayed, records());
    journal.commit(records().iter().map(Vec::as_slice)).expect("a commit");
    drop(journal);
    assert_eq!(fs::read(directory.path().join(NEXT_FILE)).expect("a file"), segment);
}
