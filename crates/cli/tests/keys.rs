//! Operators' keys, and TLS for connections to instances.

mod harness;

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        UdpSocket, //
    },
    path::Path,
};

use harness::{
    SECTION,
    Test,
    cluster,
    write_file, //
};
use standin::{
    Cluster,
    Daemon, //
};

/// Starts an entry with additional tables in its settings.
fn entry(cluster: &Cluster, tables: &str) -> Daemon {
    let seed = cluster.stores[0].address("inner");
    let text = format!(
        "seeds = [\"{seed}\"]\n[instance]\nname = \"entry-keys\"\ncentre = \"porto-a\"\n\
         roles = [\"entry\"]\n[listen]\nadmin = \"127.0.0.1:0\"\ninner = \"127.0.0.1:0\"\n\
         fabric = \"127.0.0.1:0\"\nrequests = \"127.0.0.1:0\"\n{tables}"
    );
    Daemon::start(cluster.folder(), "entry-keys", &text).unwrap()
}

/// Creates a key for an owner, in a file of the owner's name; returns the `[[key]]` table for the
/// instances' key file.
fn key(cluster: &Cluster, option: &str, name: &str) -> String {
    let path = cluster.folder().join(name);
    Test::new().args(["key", option, name]).path(&path).run()
}

#[test]
fn key_other_team() {
    let (cluster, _) = cluster();
    let tables = key(&cluster, "--team", "booking") + &key(&cluster, "--team", "documents");
    let tables = tables + &key(&cluster, "--admin", "ana");
    let keys = write_file(&cluster, "keys.toml", &tables);
    let entry = entry(&cluster, &format!("[operators]\nkeys = {keys:?}\n"));
    let admin = entry.address("admin");
    let section = write_file(&cluster, "section.toml", SECTION);
    let apply = |owner: &str, id: &str| {
        let test = Test::at(admin).arg("--key-file");
        let test = test.path(&cluster.folder().join(owner));
        let test = test.args([
            "apply",
            "--section",
            "booking",
            "--author",
            "eve",
            "--id",
            id,
        ]);
        test.path(&section)
    };
    let refused = "section booking: refused, 5003 The key may not edit this section. section \
                   `booking` belongs to team `booking`, the key to team `documents`\n";
    apply("documents", "e1").status(4).stdout(refused).run();
    apply("booking", "e2")
        .stdout("section booking: accepted as version 1, revision 1\n")
        .run();
    apply("documents", "e3").status(4).stdout(refused).run();
    apply("ana", "e4")
        .arg("--base")
        .arg(1)
        .stdout("section booking: accepted as version 2, revision 2\n")
        .run();
    let audit = Test::at(admin)
        .arg("--key-file")
        .path(&cluster.folder().join("ana"));
    let text = audit.arg("audit").run();
    let authors: Vec<_> = text
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().nth(1).unwrap())
        .collect();
    assert_eq!(authors, ["documents", "booking", "documents", "ana"]);
}

#[test]
fn key_missing_or_unknown() {
    let (cluster, _) = cluster();
    let keys = write_file(&cluster, "keys.toml", &key(&cluster, "--team", "booking"));
    key(&cluster, "--team", "unknown");
    let entry = entry(&cluster, &format!("[operators]\nkeys = {keys:?}\n"));
    let admin = entry.address("admin");
    let refused = "refused: 5010 The key is missing or not known. the header `authorization` \
                   has no known key";
    for command in ["get", "audit", "status", "members"] {
        Test::at(admin).arg(command).status(4).stderr(refused).run();
        Test::at(admin)
            .arg("--key-file")
            .path(&cluster.folder().join("unknown"))
            .arg(command)
            .status(4)
            .stderr(refused)
            .run();
    }
    Test::at(admin)
        .arg("--key-file")
        .path(&cluster.folder().join("booking"))
        .args(["init", "store-1=127.0.0.1:7103"])
        .status(4)
        .stderr(
            "5003 The key may not edit this section. the key of team `booking` is not an admin's",
        )
        .run();
    Test::at(admin)
        .arg("--key-file")
        .path(Path::new("/nonexistent"))
        .arg("get")
        .status(3)
        .stderr("cannot use the key file /nonexistent")
        .run();
    let existing = cluster.folder().join("booking");
    Test::new()
        .args(["key", "--team", "booking"])
        .path(&existing)
        .status(3)
        .stderr("cannot use the key file")
        .run();
}

#[test]
fn apply_non_loopback() {
    // Connects from a non-loopback address of this machine, as another machine would do. Without a
    // route there is no such address, and the test passes without checking anything.
    let socket = UdpSocket::bind("0.0.0.0:0").unwrap();
    let local = socket
        .connect("198.51.100.1:9")
        .and_then(|()| socket.local_addr());
    let Ok(local) = local else {
        return;
    };
    let (cluster, _) = cluster();
    // The entry is started only to write the settings that the open one is started from.
    let entry = entry(&cluster, "");
    let settings = cluster.folder().join("entry-keys.toml");
    let text = std::fs::read_to_string(settings).unwrap();
    let text = text.replace("admin = \"127.0.0.1:0\"", "admin = \"0.0.0.0:0\"");
    let text = text.replace("entry-keys", "entry-open");
    drop(entry);
    let entry = Daemon::start(cluster.folder(), "entry-open", &text).unwrap();
    let port = entry.address("admin").port();
    let section = write_file(&cluster, "section.toml", SECTION);
    let apply = |ip: IpAddr| {
        let test = Test::at(SocketAddr::new(ip, port));
        test.args(["apply", "--section", "booking"]).path(&section)
    };
    apply(local.ip())
        .status(4)
        .stderr(
            "5010 The key is missing or not known. an instance without keys takes changes from \
             loopback addresses only",
        )
        .run();
    apply(IpAddr::V4(Ipv4Addr::LOCALHOST))
        .stdout("section booking: accepted as version 1, revision 1\n")
        .run();
}

#[test]
fn tls_untrusted_authority() {
    let (cluster, _) = cluster();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/tls");
    let (certificate, key) = (folder.join("instance.pem"), folder.join("instance.key"));
    let tables = format!("[tls]\ncertificate = {certificate:?}\nkey = {key:?}\n");
    let entry = entry(&cluster, &tables);
    let admin = entry.address("admin");
    let section = write_file(&cluster, "section.toml", SECTION);
    let apply = |ca: &Path| {
        let test = Test::at(admin).arg("--ca").path(ca);
        test.args(["apply", "--section", "booking"]).path(&section)
    };
    apply(&certificate)
        .status(1)
        .stderr("cannot be reached")
        .run();
    apply(&folder.join("authority.pem"))
        .stdout("section booking: accepted as version 1, revision 1\n")
        .run();
    apply(&key).status(3).stderr("no certificate found").run();
    Test::at(admin).arg("get").status(1).run();
}
