//! A cluster of daemons on loopback, for tests and benchmarks.

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
        Response,
        call, //
    },
};

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Daemons on loopback, with their files in a temporary folder that is removed on drop.
#[derive(Debug)]
pub struct Cluster {
    /// Running entries.
    pub entries: Vec<Daemon>,
    folder: TempDir,
    /// Running stores.
    pub stores: Vec<Daemon>,
}

impl Cluster {
    /// Creates a cluster without daemons.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the temporary folder can't be created.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            entries: Vec::new(),
            folder: TempDir::new()?,
            stores: Vec::new(),
        })
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or an error with the log if the daemon exits before its ports are
    /// open.
    pub fn with_entry(mut self, name: &str, centre: &str) -> io::Result<Self> {
        let text = self.settings(name, centre, "entry")
            + "fabric = \"127.0.0.1:0\"\nrequests = \"127.0.0.1:0\"\n";
        self.entries
            .push(Daemon::start(self.folder.path(), name, &text)?);
        Ok(self)
    }

    /// Starts a store and makes it a voter: the first store initialises the cluster, each later one
    /// is added to the members.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, an error with the log if the daemon exits before its ports are open,
    /// or `TimedOut` if the store doesn't become a voter.
    pub fn with_store(self, name: &str, centre: &str) -> io::Result<Self> {
        let cluster = self.with_nonmember(name, centre)?;
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

    /// Starts a store that isn't a member yet.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or an error with the log if the daemon exits before its ports are
    /// open.
    pub fn with_nonmember(mut self, name: &str, centre: &str) -> io::Result<Self> {
        let mut text = self.settings(name, centre, "store");
        let data = self.folder.path().join(format!("{name}-data"));
        let _written = write!(text, "\n[store]\ndata = {data:?}\n");
        self.stores
            .push(Daemon::start(self.folder.path(), name, &text)?);
        Ok(self)
    }

    /// Adds a store to the members by name and inner address, through another store.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or `TimedOut` if the change is still refused after the timeout.
    pub fn add(instance: SocketAddr, store: &Value) -> io::Result<()> {
        Self::change_members(instance, &json!({"add": store}))
    }

    /// Removes a store from the members by name.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or `TimedOut` if the change is still refused after the timeout.
    pub fn remove(instance: SocketAddr, name: &str) -> io::Result<()> {
        Self::change_members(instance, &json!({"remove": name}))
    }

    fn change_members(instance: SocketAddr, body: &Value) -> io::Result<()> {
        let body = body.to_string();
        let start = Instant::now();
        loop {
            let response = call(instance, "POST /v1/members", &[], body.as_bytes())?;
            if response.status == 200 {
                return Ok(());
            }
            if start.elapsed() > TIMEOUT {
                return Err(io::Error::new(io::ErrorKind::TimedOut, response.text()));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until all running stores report `count` voters and a leader with a quorum.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` if one of them doesn't in time.
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

    /// Folder with the daemons' settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Addresses of one listener of all entries.
    pub fn addresses(&self, listener: &str) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.address(listener))
            .collect()
    }

    /// Sends an edit to an instance.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the call fails.
    pub fn edit(
        instance: SocketAddr,
        id: &str,
        section: &str,
        base: u64,
        text: &str,
    ) -> io::Result<Response> {
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

    /// Polls a page of an instance's admin API until it meets a condition.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` with the last page if the condition isn't met in time.
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
            if start.elapsed() > TIMEOUT {
                let text = format!("{path} of {instance}: {page}");
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until all entries have at least this revision in force.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` if an entry doesn't reach it in time.
    pub fn await_revision(&self, revision: u64) -> io::Result<()> {
        for entry in &self.entries {
            Self::await_page(entry.address("admin"), "/v1/status", |page| {
                page["revision"].as_u64() >= Some(revision)
            })?;
        }
        Ok(())
    }

    /// Waits until all entries list exactly `count` endpoints.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` if an entry doesn't in time.
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

/// Reads a page of an instance's admin API as JSON.
fn page(instance: SocketAddr, path: &str) -> io::Result<Value> {
    let response = call(instance, &format!("GET {path}"), &[], b"")?;
    Ok(serde_json::from_slice(&response.body)?)
}
