//! `mimosausher init` and `members`: initialising the log, adding and removing stores.

mod harness;

use std::net::SocketAddr;

use harness::Test;
use standin::Daemon;
use tempfile::TempDir;

/// Starts a store that is not a member of any log.
fn store(folder: &TempDir, name: &str) -> Daemon {
    let data = folder.path().join(format!("{name}-data"));
    let text = format!(
        "[instance]\nname = \"{name}\"\ncentre = \"porto-a\"\nroles = [\"store\"]\n\
         [listen]\nadmin = \"127.0.0.1:0\"\ninner = \"127.0.0.1:0\"\n[store]\ndata = {data:?}\n"
    );
    Daemon::start(folder.path(), name, &text).unwrap()
}

/// Parses the names and roles from the table of stores.
fn roles(text: &str) -> Vec<(String, String)> {
    let cells = |line: &str| {
        let mut cells = line.split_whitespace().map(String::from);
        (cells.next().unwrap(), cells.next().unwrap())
    };
    text.lines().skip(1).map(cells).collect()
}

fn store_arg(store: &Daemon) -> String {
    let inner: SocketAddr = store.address("inner");
    format!("{}={inner}", store.name)
}

#[test]
fn init_three_stores() {
    let folder = TempDir::new().unwrap();
    let stores = ["store-1", "store-2", "store-3"].map(|name| store(&folder, name));
    let [one, two, three] = &stores;
    let admin = one.address("admin");
    Test::at(admin)
        .args(["rollback", "booking", "1"])
        .status(4)
        .stderr("5011 There is no such section or version.")
        .run();
    let test = Test::at(admin).arg("init");
    let test = test.arg(store_arg(one)).arg(store_arg(two));
    let text = test.run();
    let pair = |name: &str, role: &str| (name.to_owned(), role.to_owned());
    assert_eq!(
        roles(&text),
        [pair("store-1", "leader"), pair("store-2", "voter")]
    );
    Test::at(admin)
        .args(["members", "--add"])
        .arg(store_arg(three))
        .retry_while("an earlier change of the members");
    // Only one membership change runs at a time: the new store has to become a voter first.
    let text = Test::at(admin)
        .args(["members", "--remove", "store-2"])
        .retry_while("an earlier change of the members");
    let remaining: Vec<_> = roles(&text).into_iter().map(|(name, _)| name).collect();
    assert_eq!(remaining, ["store-1", "store-3"]);
    let text = Test::at(admin).args(["--json", "members"]).run();
    let members: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(members["leader"], "store-1");
}

#[test]
fn init_unlisted_store() {
    let folder = TempDir::new().unwrap();
    let one = store(&folder, "store-1");
    Test::at(one.address("admin"))
        .args(["init", "store-9=127.0.0.1:1"])
        .status(4)
        .stderr("1003 A value is outside its range or form. store `store-1` is not among the listed ones")
        .run();
}
