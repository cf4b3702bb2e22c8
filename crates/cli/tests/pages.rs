//! Runs the commands and checks the files in the operators' pages, the README and the examples.

mod harness;

use std::{
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::Command, //
};

use harness::{
    Test,
    cluster, //
};
use serde_json::Value;
use standin::{
    Cluster,
    Daemon,
    call, //
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_page(name: &str) -> String {
    fs::read_to_string(root().join(name)).unwrap()
}

/// Returns the fenced code blocks of a language.
fn blocks(text: &str, language: &str) -> Vec<String> {
    let fence = format!("```{language}\n");
    let parts = text.split(&fence).skip(1);
    parts
        .map(|part| part.split_once("```").unwrap().0.to_owned())
        .collect()
}

fn page_names() -> Vec<String> {
    let folder = fs::read_dir(root().join("docs/operators")).unwrap();
    let mut pages: Vec<_> = folder
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.ends_with(".md"))
        .map(|name| format!("docs/operators/{name}"))
        .collect();
    pages.sort();
    pages
}

fn revision(instance: SocketAddr) -> u64 {
    let response = call(instance, "GET /v1/status", &[], b"").unwrap();
    let status: Value = serde_json::from_slice(&response.body).unwrap();
    status["revision"].as_u64().unwrap()
}

/// Environment in which the commands of a page are run.
struct Shell {
    cluster: Cluster,
    entry: SocketAddr,
    /// Entry with operators' keys, started by the first command that uses `$KEYED`.
    keyed: Option<Daemon>,
}

impl Shell {
    fn new() -> Self {
        let (cluster, entry) = cluster();
        let document = blocks(&read_page("docs/operators/document.md"), "toml");
        fs::write(cluster.folder().join("document.toml"), &document[0]).unwrap();
        Self {
            cluster,
            entry,
            keyed: None,
        }
    }

    /// Runs a command, and waits until its changes are in force.
    fn run(&mut self, line: &str) {
        let folder = self.cluster.folder().to_owned();
        let keys = folder.join("keys.toml");
        if self.keyed.is_none() && line.contains("$KEYED") {
            let seed = self.cluster.stores[0].address("inner");
            let text = format!(
                "seeds = [\"{seed}\"]\n[instance]\nname = \"keyed\"\ncentre = \"porto-a\"\n\
                 roles = [\"entry\"]\n[listen]\nadmin = \"127.0.0.1:0\"\ninner = \"127.0.0.1:0\"\n\
                 fabric = \"127.0.0.1:0\"\nrequests = \"127.0.0.1:0\"\n\
                 [operators]\nkeys = {keys:?}\n"
            );
            self.keyed = Some(Daemon::start(&folder, "keyed", &text).unwrap());
        }
        let binaries = Path::new(env!("CARGO_BIN_EXE_mimosausher"))
            .parent()
            .unwrap();
        let store = &self.cluster.stores[0];
        let keyed = self.keyed.as_ref().map(|keyed| keyed.address("admin"));
        let output = Command::new("bash")
            .args([
                "-euc",
                &format!("PATH={}:$PATH\n{line}", binaries.display()),
            ])
            .current_dir(&folder)
            .env("ENTRY", self.entry.to_string())
            .env(
                "KEYED",
                keyed.map(|keyed| keyed.to_string()).unwrap_or_default(),
            )
            .env("STORE", store.address("admin").to_string())
            .env("STORE_INNER", store.address("inner").to_string())
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        let stdout = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{line}\n{stdout}{stderr}");
        let revision = revision(store.address("admin"));
        self.cluster.await_revision(revision).unwrap();
    }
}

#[test]
fn pages_commands() {
    let mut count = 0;
    for name in page_names() {
        let mut shell = Shell::new();
        for block in blocks(&read_page(&name), "sh") {
            for line in block.lines() {
                shell.run(line);
                count += 1;
            }
        }
    }
    assert!(count > 20, "{count}");
}

#[test]
fn pages_files() {
    let (cluster, _) = cluster();
    let mut count = 0;
    let names = page_names().into_iter().chain(["README.md".into()]);
    for name in names {
        for block in blocks(&read_page(&name), "toml") {
            let path = harness::write_file(&cluster, "block.toml", &block);
            Test::new().arg("check").path(&path).run();
            count += 1;
        }
    }
    assert!(count > 4, "{count}");
}

#[test]
fn pages_examples() {
    let document = root().join("examples/document.toml");
    Test::new().arg("check").path(&document).run();
}
