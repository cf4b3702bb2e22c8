//! Edits whose answer is lost.

mod harness;

use harness::{
    SECTION,
    Test,
    cluster,
    file,
    losing, //
};

#[test]
fn apply_lost_answer() {
    let (cluster, entry) = cluster();
    let path = file(&cluster, "section.toml", SECTION);
    Test::at(losing(entry, 1))
        .args(["apply", "--section", "booking"])
        .path(&path)
        .stdout("section booking: accepted as version 1, revision 1\n")
        .run();
}

#[test]
fn apply_every_answer_lost() {
    let (cluster, entry) = cluster();
    let path = file(&cluster, "section.toml", SECTION);
    let apply = |instance| {
        let test = Test::at(instance).args(["apply", "--section", "booking", "--id", "e1"]);
        test.path(&path)
    };
    apply(losing(entry, 9))
        .status(5)
        .stdout("")
        .stderr(
            "the outcome of the edit of section `booking` is not known; resend it with `--id e1` \
             to learn it",
        )
        .run();
    cluster.await_revision(1).unwrap();
    apply(entry)
        .stdout("section booking: accepted as version 1, revision 1\n")
        .run();
}

#[test]
fn apply_unreachable() {
    let (cluster, entry) = cluster();
    let path = file(&cluster, "section.toml", SECTION);
    Test::new()
        .args(["--instance", "127.0.0.1:1", "apply", "--section", "booking"])
        .path(&path)
        .status(1)
        .stderr("127.0.0.1:1 cannot be reached")
        .run();
    Test::new()
        .args(["--instance", "127.0.0.1:1", "--instance"])
        .arg(entry)
        .args(["apply", "--section", "booking"])
        .path(&path)
        .stdout("section booking: accepted as version 1, revision 1\n")
        .run();
}
