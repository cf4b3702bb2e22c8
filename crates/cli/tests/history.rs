//! `mimosausher history`, `rollback`, `audit`, `diff` and `watch`.

mod harness;

use std::thread;

use harness::{
    SECTION,
    Test,
    apply_section,
    cluster,
    write_file, //
};

/// Splits a table into cells; checks and removes the column `time_column`.
fn cells(text: &str, time_column: usize) -> Vec<Vec<String>> {
    text.lines()
        .map(|line| {
            let mut cells: Vec<_> = line
                .split("  ")
                .map(str::trim)
                .filter(|cell| !cell.is_empty())
                .map(String::from)
                .collect();
            let time = cells.remove(time_column);
            assert!(
                time == "TIME" || (time.len() == 24 && time.ends_with('Z')),
                "{text}"
            );
            cells
        })
        .collect()
}

#[test]
fn rollback_older_version() {
    let (cluster, entry) = cluster();
    apply_section(&cluster, entry, "booking", SECTION, 1);
    apply_section(
        &cluster,
        entry,
        "booking",
        &SECTION.replace("desk-*", "b-*"),
        2,
    );
    Test::at(entry)
        .args(["rollback", "--author", "ana", "booking", "1"])
        .stdout("section booking: accepted as version 3, revision 3\n")
        .run();
    cluster.await_revision(3).unwrap();
    Test::at(entry)
        .args(["get", "booking"])
        .stdout(format!("# section booking version 3\n{SECTION}"))
        .run();
    Test::at(entry)
        .args(["history", "booking", "1"])
        .stdout(SECTION)
        .run();
    let table = Test::at(entry).args(["history", "booking"]).run();
    assert_eq!(
        cells(&table, 1),
        [
            ["VERSION", "AUTHOR", "LINES"],
            ["1", "operator", "8"],
            ["2", "operator", "8"],
            ["3", "ana", "8"],
        ]
    );
    Test::at(entry)
        .args(["rollback", "booking", "7"])
        .status(3)
        .stderr("section `booking` has no version 7, or it is no longer kept")
        .run();
    Test::at(entry)
        .args(["history", "other"])
        .status(4)
        .stderr("5011 There is no such section or version. there is no section `other`")
        .run();
}

#[test]
fn audit_refused_edit() {
    let (cluster, entry) = cluster();
    apply_section(&cluster, entry, "booking", SECTION, 1);
    let path = write_file(&cluster, "mine.toml", &SECTION.replace("desk", "mine"));
    Test::at(entry)
        .args([
            "apply",
            "--section",
            "booking",
            "--base",
            "0",
            "--id",
            "late",
        ])
        .path(&path)
        .status(4)
        .run();
    let table = Test::at(entry).args(["audit", "booking"]).run();
    let rows = cells(&table, 0);
    assert_eq!(rows[0], ["AUTHOR", "SECTION", "BASE", "RESULT", "ID"]);
    assert_eq!(
        rows[1][..4],
        ["operator", "booking", "0", "version 1, revision 1"]
    );
    assert_eq!(
        rows[2],
        [
            "operator",
            "booking",
            "0",
            "refused, 5001 EditConflict",
            "late/booking"
        ]
    );
    let table = Test::at(entry).args(["audit", "--count", "1"]).run();
    assert_eq!(cells(&table, 0)[1..], rows[2..]);
    let text = Test::at(entry).args(["--json", "audit", "other"]).run();
    assert_eq!(text, "[]\n");
}

#[test]
fn diff_section() {
    let (cluster, entry) = cluster();
    apply_section(&cluster, entry, "booking", SECTION, 1);
    let path = write_file(&cluster, "mine.toml", &SECTION.replace("desk-*", "mine-*"));
    Test::at(entry)
        .args(["diff", "--section", "booking"])
        .path(&path)
        .stdout(format!(
            "--- booking version 1\n+++ {}\n@@ -5,4 +5,4 @@\n name = \"booking-desk\"\n \
             mode = \"requests\"\n hosts = [\"booking.example\"]\n-endpoints = [\"desk-*\"]\n\
             +endpoints = [\"mine-*\"]\n",
            path.display()
        ))
        .run();
}

#[test]
fn watch_revisions() {
    let (cluster, entry) = cluster();
    apply_section(&cluster, entry, "booking", SECTION, 1);
    let watch = |count: &'static str| {
        thread::spawn(move || Test::at(entry).args(["watch", "--count", count]).run())
    };
    assert_eq!(
        watch("1").join().unwrap(),
        "revision 1: booking version 1\n"
    );
    let watcher = watch("2");
    let mut revision = 1;
    while !watcher.is_finished() {
        revision += 1;
        let text = SECTION.replace("desk-*", &format!("desk-{revision}-*"));
        apply_section(&cluster, entry, "booking", &text, revision);
    }
    let text = watcher.join().unwrap();
    let revisions: Vec<u64> = text
        .lines()
        .map(|line| {
            let (number, change) = line
                .strip_prefix("revision ")
                .unwrap()
                .split_once(": ")
                .unwrap();
            assert_eq!(change, format!("booking version {number}"));
            number.parse().unwrap()
        })
        .collect();
    assert!(
        revisions.len() == 2 && revisions[0] < revisions[1],
        "{text}"
    );
}
