//! `mimosausher apply`: documents, sections, versions, conflicts and refusals.

mod harness;

use harness::{
    SECTION,
    Test,
    apply_section,
    cluster,
    write_file, //
};

const DOCUMENT: &str = r#"# Both teams.

# The first section.
[section.assignments]
team = "assignments" # theirs

[[section.assignments.service]]
name = "assignment-documents"
mode = "requests"
hosts = ["documents.example"]
endpoints = [
    "documents-*", # all
]

# The second section.
[section.booking]
team = "booking"

[[section.booking.service]]
name = "booking-desk"
mode = "requests"
hosts = ["booking.example"]
endpoints = ["desk-*"]

[section.booking.service.limits]
queue = 8
# At the end.
"#;

#[test]
fn apply_document() {
    let (cluster, entry) = cluster();
    let path = write_file(&cluster, "document.toml", DOCUMENT);
    Test::at(entry)
        .arg("apply")
        .path(&path)
        .stdout(
            "section assignments: accepted as version 1, revision 1\n\
             section booking: accepted as version 1, revision 2\n",
        )
        .run();
    cluster.await_revision(2).unwrap();
    let text = Test::at(entry).args(["get", "booking"]).run();
    assert_eq!(
        text,
        "# section booking version 1\n# The second section.\nteam = \"booking\"\n\n\
         [[service]]\nname = \"booking-desk\"\nmode = \"requests\"\n\
         hosts = [\"booking.example\"]\nendpoints = [\"desk-*\"]\n\n\
         [service.limits]\nqueue = 8\n# At the end.\n"
    );
    let text = Test::at(entry).arg("get").run();
    assert!(text.contains("    \"documents-*\", # all\n"), "{text}");
    let path = write_file(&cluster, "again.toml", &text);
    Test::at(entry)
        .arg("apply")
        .path(&path)
        .stdout("section assignments: unchanged\nsection booking: unchanged\n")
        .run();
    Test::new().arg("check").path(&path).run();
}

#[test]
fn apply_conflict() {
    let (cluster, entry) = cluster();
    apply_section(&cluster, entry, "booking", SECTION, 1);
    let mine = Test::at(entry).args(["get", "booking"]).run();
    let theirs = SECTION.replace("desk-*", "other-*");
    apply_section(&cluster, entry, "booking", &theirs, 2);
    let path = write_file(&cluster, "mine.toml", &mine.replace("desk-*", "mine-*"));
    Test::at(entry)
        .args(["apply", "--section", "booking"])
        .path(&path)
        .status(4)
        .stdout(
            "section booking: refused, 5001 The section has changed since the edit's base version. \
             section `booking` is at version 2, the edit was made from version 1\n\
             --- booking version 1\n+++ booking version 2\n@@ -5,4 +5,4 @@\n \
             name = \"booking-desk\"\n mode = \"requests\"\n hosts = [\"booking.example\"]\n\
             -endpoints = [\"desk-*\"]\n+endpoints = [\"other-*\"]\n",
        )
        .run();
}

#[test]
fn apply_invalid() {
    let (cluster, entry) = cluster();
    let path = write_file(&cluster, "bad.toml", &SECTION.replace("\"desk-*\"", ""));
    Test::at(entry)
        .args(["apply", "--section", "booking"])
        .path(&path)
        .status(3)
        .stderr("`endpoints` is empty")
        .stderr("bad.toml:8:13")
        .run();
    let path = write_file(&cluster, "host.toml", SECTION);
    Test::at(entry)
        .args(["apply", "--section", "booking"])
        .path(&path)
        .run();
    cluster.await_revision(1).unwrap();
    let other = SECTION.replace("booking-desk", "other-desk");
    let path = write_file(&cluster, "host.toml", &other);
    Test::at(entry)
        .args(["apply", "--section", "other"])
        .path(&path)
        .status(4)
        .stdout(
            "section other: refused, 5002 The document would not be valid after the edit. \
             `other-desk` and `booking-desk` share the host booking.example\n",
        )
        .run();
}

#[test]
fn apply_json() {
    let (cluster, entry) = cluster();
    let path = write_file(&cluster, "section.toml", SECTION);
    Test::at(entry)
        .args(["--json", "apply", "--section", "booking", "--id", "e1"])
        .path(&path)
        .stdout(
            "{\"edit\":\"e1/booking\",\"outcome\":{\"accepted\":{\"revision\":1,\"version\":1}},\
             \"section\":\"booking\"}\n",
        )
        .run();
}

#[test]
fn remove_section() {
    let (cluster, entry) = cluster();
    apply_section(&cluster, entry, "booking", SECTION, 1);
    Test::at(entry)
        .args(["remove", "booking"])
        .stdout("section booking: accepted as version 2, revision 2\n")
        .run();
    cluster.await_revision(2).unwrap();
    Test::at(entry).arg("get").stdout("").run();
    Test::at(entry)
        .args(["remove", "booking"])
        .status(3)
        .stderr("the document has no section `booking`")
        .run();
}
