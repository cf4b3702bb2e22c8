//! A few daemons on loopback, for tests and benchmarks.

use std::{
    fmt::Write as _,
    io,
    net::SocketAddr,
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use tempfile::TempDir;

use crate::{
    daemon::Daemon,
    http::{
        Answer,
        call, //
    },
};

/// Time after which a state that does not come about fails the run.
const PATIENCE: Duration = Duration::from_secs(30);

/// Pause between two looks at a state.
const PAUSE: Duration = Duration::from_millis(20);

/// A few daemons on loopback, with their files in a folder that is removed at the end.
#[derive(Debug)]
pub struct Cluster {
    /// The entries.
    pub entries: Vec<Daemon>,
    folder: TempDir,
    /// The stores.
    pub stores: Vec<Daemon>,
}

impl Cluster {
    /// Creates a cluster without daemons.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            entries: Vec::new(),
            folder: TempDir::new()?,
            stores: Vec::new(),
        })
    }

    /// Starts one more entry.
    ///
    /// # Errors
    ///
    /// What the system reported, or the daemon's end before its ports were open.
    pub fn with_entry(mut self, name: &str, centre: &str) -> io::Result<Self> {
        let text = self.settings(name, centre, "entry")
            + "fabric = \"127.0.0.1:0\"\nrequests = \"127.0.0.1:0\"\n";
        self.entries
            .push(Daemon::start(self.folder.path(), name, &text)?);
        Ok(self)
    }

    /// Starts one more store and makes it a voter: by the explicit first start if it is the
    /// first one, and by a change of the members otherwise.
    ///
    /// # Errors
    ///
    /// What the system reported, or the daemon's end before its ports were open, or `TimedOut`
    /// if it does not become a voter.
    pub fn with_store(self, name: &str, centre: &str) -> io::Result<Self> {
        let cluster = self.with_bare_store(name, centre)?;
        let count = cluster.stores.len();
        let Some(store) = cluster.stores.last() else {
            return Ok(cluster);
        };
        let address = json!({"name": name, "inner": store.address("inner")});
        match cluster.stores.first() {
            Some(first) if count > 1 => Self::add(first.address("admin"), &address)?,
            _ => {
                let body = json!({"stores": [address]}).to_string();
                call(
                    store.address("admin"),
                    "POST /v1/init",
                    &[],
                    body.as_bytes(),
                )?;
            }
        }
        cluster.await_voters(count)?;
        Ok(cluster)
    }

    /// Starts one more store that is no member yet.
    ///
    /// # Errors
    ///
    /// What the system reported, or the daemon's end before its ports were open.
    pub fn with_bare_store(mut self, name: &str, centre: &str) -> io::Result<Self> {
        let mut text = self.settings(name, centre, "store");
        let data = self.folder.path().join(format!("{name}-data"));
        let _written = write!(text, "\n[store]\ndata = {data:?}\n");
        self.stores
            .push(Daemon::start(self.folder.path(), name, &text)?);
        Ok(self)
    }

    /// Adds a store, by its name and inner address, through another one.
    ///
    /// # Errors
    ///
    /// What the system reported, or `TimedOut` if it is refused for long.
    pub fn add(instance: SocketAddr, store: &Value) -> io::Result<()> {
        Self::change(instance, &json!({"add": store}))
    }

    /// Removes a store by its name.
    ///
    /// # Errors
    ///
    /// What the system reported, or `TimedOut` if it is refused for long.
    pub fn remove(instance: SocketAddr, name: &str) -> io::Result<()> {
        Self::change(instance, &json!({"remove": name}))
    }

    fn change(instance: SocketAddr, body: &Value) -> io::Result<()> {
        let body = body.to_string();
        let start = Instant::now();
        loop {
            let answer = call(instance, "POST /v1/members", &[], body.as_bytes())?;
            if answer.status == 200 {
                return Ok(());
            }
            if start.elapsed() > PATIENCE {
                return Err(io::Error::new(io::ErrorKind::TimedOut, answer.text()));
            }
            thread::sleep(PAUSE);
        }
    }

    /// Waits until all running stores know a number of voters and a leader with a quorum.
    ///
    /// # Errors
    ///
    /// `TimedOut` if one of them does not.
    pub fn await_voters(&self, count: usize) -> io::Result<()> {
        for store in &self.stores {
            Self::await_page(store.address("admin"), "/v1/members", |page| {
                let members = page["members"].as_array().into_iter().flatten();
                let voters = members.filter(|member| member["voter"] == true);
                voters.count() == count && page["confirmed"] == true
            })?;
        }
        Ok(())
    }

    /// The folder of settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// The addresses of one face of all entries.
    pub fn faces(&self, face: &str) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.address(face))
            .collect()
    }

    /// Sends an edit to an instance.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn edit(
        instance: SocketAddr,
        id: &str,
        section: &str,
        base: u64,
        text: &str,
    ) -> io::Result<Answer> {
        let edit = json!({
            "author": "test",
            "base": base,
            "id": id,
            "section": section,
            "text": text,
        });
        let body = edit.to_string();
        call(instance, "POST /v1/edits", &[], body.as_bytes())
    }

    /// Waits until a page of an instance's admin face fulfils a condition.
    ///
    /// # Errors
    ///
    /// `TimedOut` with the page's last text if it does not come about.
    pub fn await_page(
        instance: SocketAddr,
        path: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> io::Result<Value> {
        let start = Instant::now();
        loop {
            let page = page(instance, path).unwrap_or_default();
            if condition(&page) {
                return Ok(page);
            }
            if start.elapsed() > PATIENCE {
                let text = format!("{path} of {instance}: {page}");
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            thread::sleep(PAUSE);
        }
    }

    /// Waits until all entries have a revision in force.
    ///
    /// # Errors
    ///
    /// `TimedOut` if an entry does not take it into force.
    pub fn await_revision(&self, revision: u64) -> io::Result<()> {
        for entry in &self.entries {
            Self::await_page(entry.address("admin"), "/v1/status", |page| {
                page["revision"].as_u64() >= Some(revision)
            })?;
        }
        Ok(())
    }

    /// Waits until all entries know a number of endpoints.
    ///
    /// # Errors
    ///
    /// `TimedOut` if an entry does not learn of them.
    pub fn await_endpoints(&self, count: usize) -> io::Result<()> {
        for entry in &self.entries {
            Self::await_page(entry.address("admin"), "/v1/endpoints", |page| {
                page.as_array().is_some_and(|list| list.len() == count)
            })?;
        }
        Ok(())
    }

    fn settings(&self, name: &str, centre: &str, role: &str) -> String {
        let seeds: Vec<_> = self
            .stores
            .iter()
            .map(|store| store.address("inner").to_string())
            .collect();
        format!(
            "seeds = {seeds:?}\n\n[instance]\nname = \"{name}\"\ncentre = \"{centre}\"\n\
             roles = [\"{role}\"]\n\n[listen]\nadmin = \"127.0.0.1:0\"\n\
             inner = \"127.0.0.1:0\"\n"
        )
    }
}

/// Reads a page of an instance's admin face as JSON.
fn page(instance: SocketAddr, path: &str) -> io::Result<Value> {
    let answer = call(instance, &format!("GET {path}"), &[], b"")?;
    Ok(serde_json::from_slice(&answer.body)?)
}
