//! The data folder: corruption, lost files and locking.

use std::{
    fs,
    io::Write as _,
    path::Path, //
};

use mimosausher_store::{
    Ballot,
    ClusterId,
    DataFolder,
    EncodedSnapshot,
    Entry,
    Error,
    Index,
    Payload,
    Position,
    Record,
    Saved,
    StoreId,
    Term, //
};
use tempfile::TempDir;

fn position(index: u64) -> Position {
    Position {
        term: Term(1),
        index: Index(index),
    }
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        payload: Payload::Blank,
        position: position(index),
    })
}

fn ballot(term: u64) -> Record {
    Record::Ballot(Ballot {
        term: Term(term),
        vote: Some(StoreId(9)),
    })
}

fn open(path: &Path) -> Result<(DataFolder, Saved), Error> {
    DataFolder::open(path, StoreId(5))
}

/// A folder with three synced batches, and the end offsets of the first two.
fn filled() -> (TempDir, [u64; 2]) {
    let dir = TempDir::new().unwrap();
    let (mut folder, saved) = open(dir.path()).unwrap();
    assert_eq!(saved, Saved::default());
    let log = dir.path().join("log");
    folder
        .append(&[Record::Cluster(ClusterId(3)), ballot(1)])
        .unwrap();
    let first = fs::metadata(&log).unwrap().len();
    folder.append(&[entry(1), entry(2)]).unwrap();
    let second = fs::metadata(&log).unwrap().len();
    folder.append(&[entry(3), ballot(2)]).unwrap();
    (dir, [first, second])
}

fn flip_bit(path: &Path, offset: u64) {
    let mut bytes = fs::read(path).unwrap();
    bytes[offset as usize] ^= 1;
    fs::write(path, bytes).unwrap();
}

#[test]
fn open_existing_folder() {
    let (dir, _) = filled();
    let (folder, saved) = DataFolder::open(dir.path(), StoreId(6)).unwrap();
    assert_eq!(folder.id(), StoreId(5));
    assert_eq!(saved.ballot.term, Term(2));
    assert_eq!(saved.cluster, Some(ClusterId(3)));
    assert_eq!(saved.entries.len(), 3);
}

#[test]
fn open_torn_tail() {
    let (dir, [_, second]) = filled();
    let log = dir.path().join("log");
    let whole = fs::read(&log).unwrap();
    for length in second as usize..whole.len() {
        fs::write(&log, &whole[..length]).unwrap();
        let (mut folder, saved) = open(dir.path()).unwrap();
        assert_eq!((saved.entries.len(), saved.ballot.term), (2, Term(1)));
        folder.append(&[entry(3)]).unwrap();
        drop(folder);
        assert_eq!(open(dir.path()).unwrap().1.entries.len(), 3);
    }
}

#[test]
fn open_zeroed_tail() {
    let (dir, _) = filled();
    let log = dir.path().join("log");
    let mut file = fs::OpenOptions::new().append(true).open(log).unwrap();
    file.write_all(&[0; 100]).unwrap();
    assert_eq!(open(dir.path()).unwrap().1.entries.len(), 3);
}

#[test]
fn open_damaged_record() {
    let (dir, [first, second]) = filled();
    let log = dir.path().join("log");
    let whole = fs::read(&log).unwrap();
    for at in first..second {
        fs::write(&log, &whole).unwrap();
        flip_bit(&log, at);
        match open(dir.path()) {
            Err(Error::Damaged { offset, path }) => {
                assert_eq!((offset, &path), (first, &log), "byte {at}");
            }
            other => panic!("byte {at}: {other:?}"),
        }
    }
    let text = open(dir.path()).unwrap_err().to_string();
    assert_eq!(text, format!("{log:?} is damaged at byte {first}"));
}

#[test]
fn open_lost_file() {
    for name in ["log", "store"] {
        let (dir, _) = filled();
        fs::remove_file(dir.path().join(name)).unwrap();
        let error = open(dir.path()).unwrap_err();
        assert!(matches!(error, Error::Damaged { .. }), "{name}: {error}");
    }
}

#[test]
fn open_emptied_log() {
    let (dir, _) = filled();
    fs::write(dir.path().join("log"), b"").unwrap();
    let error = open(dir.path()).unwrap_err();
    assert!(matches!(error, Error::Damaged { offset: 0, .. }));
}

#[test]
fn open_other_format() {
    let (dir, _) = filled();
    flip_bit(&dir.path().join("log"), 7);
    let error = open(dir.path()).unwrap_err();
    assert!(matches!(error, Error::Damaged { offset: 0, .. }));
}

#[test]
fn open_used_folder() {
    let (dir, _) = filled();
    let held = open(dir.path()).unwrap();
    let error = open(dir.path()).unwrap_err();
    assert!(matches!(error, Error::Locked { .. }));
    drop(held);
    open(dir.path()).unwrap();
}

#[test]
fn replace_snapshot() {
    let (dir, _) = filled();
    let (mut folder, mut saved) = open(dir.path()).unwrap();
    saved.snapshot = Some(EncodedSnapshot {
        bytes: [1, 2, 3].into(),
        position: position(2),
    });
    saved
        .entries
        .retain(|entry| entry.position.index > Index(2));
    folder.replace(&saved).unwrap();
    folder.append(&[entry(4)]).unwrap();
    drop(folder);
    let (_, held) = open(dir.path()).unwrap();
    assert_eq!(held.snapshot, saved.snapshot);
    assert_eq!(held.ballot, saved.ballot);
    assert_eq!(held.entries.len(), 2);
    fs::remove_file(dir.path().join("snapshot")).unwrap();
    let error = open(dir.path()).unwrap_err();
    assert!(matches!(error, Error::Damaged { .. }), "{error}");
}

#[test]
fn replace_interrupted() {
    let (dir, _) = filled();
    let (mut folder, mut saved) = open(dir.path()).unwrap();
    let log = dir.path().join("log");
    let before = fs::read(&log).unwrap();
    saved.snapshot = Some(EncodedSnapshot {
        bytes: [1, 2, 3].into(),
        position: position(2),
    });
    folder.replace(&saved).unwrap();
    drop(folder);
    // The snapshot has been replaced, but the log has not.
    fs::write(&log, before).unwrap();
    fs::write(dir.path().join("log.new"), b"part").unwrap();
    let (_, held) = open(dir.path()).unwrap();
    assert_eq!(held.snapshot, saved.snapshot);
    let positions: Vec<_> = held.entries.iter().map(|entry| entry.position).collect();
    assert_eq!(positions, [position(3)]);
}
