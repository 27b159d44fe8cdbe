//! Segments as earlier builds wrote them are read, and today's are written as they were recorded.
//!
//! A machine may go back to an older build, so a segment has no second form that this one can't read. Lines of
//! `fixtures/segments.txt` are never changed.

use std::fs;
use std::path::Path;

use sumacdrift_journal::{FolderDisk, Journal, JournalSettings, encode_record, read_records};
use sumacdrift_recorded_forms::{Codec, RecordedForms};

const SEGMENT: &str = "Segment";
const SETTINGS: JournalSettings = JournalSettings { capacity_bytes: 1 << 20 };
/// Names of two segments that follow each other.
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
fn recorded_segments_are_read_and_written() {
    let mut forms = recorded();
    let codec = Codec { encode: |records: &Vec<Vec<u8>>| write(records), decode: read };
    forms.writes(&codec, SEGMENT, "1", &records());
    forms.writes_bare(&codec, SEGMENT, &Vec::new());
    if let Err(failures) = forms.finish(&[SEGMENT]) {
        panic!("{failures}");
    }
}

fn open(folder: &Path) -> (Journal<FolderDisk>, Vec<Vec<u8>>) {
    let mut replayed = Vec::new();
    let disk = FolderDisk::open(folder.to_owned()).expect("a disk");
    let opened = Journal::open(disk, SETTINGS, |record| replayed.push(record.to_vec()));
    let (journal, torn_bytes) = opened.expect("a journal");
    assert_eq!(torn_bytes, 0);
    (journal, replayed)
}

#[test]
fn a_folder_of_an_earlier_build_is_replayed_and_gone_on_from() {
    let segment = recorded().bytes(SEGMENT, "1");
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join(FIRST_FILE), &segment).expect("a segment");
    let (mut journal, replayed) = open(folder.path());
    assert_eq!(replayed, records());
    journal.commit(records().iter().map(Vec::as_slice)).expect("a commit");
    drop(journal);
    assert_eq!(fs::read(folder.path().join(NEXT_FILE)).expect("a file"), segment);
}
