//! Edits whose response is lost, and instances that cannot be reached.

mod harness;

use harness::{
    SECTION,
    Test,
    cluster,
    lossy_proxy,
    write_file, //
};

#[test]
fn apply_lost_response() {
    let (cluster, entry) = cluster();
    let path = write_file(&cluster, "section.toml", SECTION);
    Test::at(lossy_proxy(entry, 1))
        .args(["apply", "--section", "booking"])
        .path(&path)
        .stdout("section booking: accepted as version 1, revision 1\n")
        .run();
}

#[test]
fn apply_every_response_lost() {
    let (cluster, entry) = cluster();
    let path = write_file(&cluster, "section.toml", SECTION);
    let apply = |instance| {
        let test = Test::at(instance).args(["apply", "--section", "booking", "--id", "e1"]);
        test.path(&path)
    };
    apply(lossy_proxy(entry, 9))
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
    let path = write_file(&cluster, "section.toml", SECTION);
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
