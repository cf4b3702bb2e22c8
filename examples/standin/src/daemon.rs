//! A daemon as a child process, for tests and benchmarks.

use std::{
    collections::BTreeMap,
    env, fs,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
};

use rustix::process::{
    Pid,
    Resource,
    Rlimit,
    kill_process,
    prlimit, //
};

pub use rustix::process::Signal;

/// A running daemon; it is killed when this is dropped.
#[derive(Debug)]
pub struct Daemon {
    addresses: BTreeMap<String, Option<SocketAddr>>,
    child: Child,
    /// The instance's name.
    pub name: Box<str>,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon with a settings text, kept as a file in `folder`, and waits until its
    /// ports are open.
    ///
    /// # Errors
    ///
    /// What the system reported, or the daemon's end before its ports were open.
    pub fn start(folder: &Path, name: &str, settings: &str) -> io::Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        Self::spawn(folder, name, path)
    }

    /// The address of a face: `admin`, `fabric`, `inner` or `requests`.
    ///
    /// # Panics
    ///
    /// Panics if the daemon has no such face.
    pub fn address(&self, face: &str) -> SocketAddr {
        match self.addresses.get(face).copied().flatten() {
            Some(address) => address,
            None => panic!("{} has no face {face}", self.name),
        }
    }

    /// Starts the daemon again after it has ended, on the ports that it had.
    ///
    /// # Errors
    ///
    /// What the system reported, or the daemon's end before its ports were open.
    pub fn restart(&mut self) -> io::Result<()> {
        let mut text = fs::read_to_string(&self.settings)?;
        for (face, address) in &self.addresses {
            if let Some(address) = address {
                let open = format!("{face} = \"127.0.0.1:0\"");
                text = text.replace(&open, &format!("{face} = \"{address}\""));
            }
        }
        fs::write(&self.settings, text)?;
        let folder = self.settings.parent().unwrap_or(Path::new("."));
        let name = self.name.clone();
        *self = Self::spawn(folder, &name, self.settings.clone())?;
        Ok(())
    }

    /// Limits the size of the files that the daemon writes, in bytes; none lifts the limit.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn limit_files(&self, bytes: Option<u64>) -> io::Result<()> {
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Fsize, limit)?;
        Ok(())
    }

    /// Sends a signal to the daemon.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Begins a planned stop and waits for its end.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn stop(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.child.wait()
    }

    /// Kills the daemon without a planned stop.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Number of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn spawn(folder: &Path, name: &str, settings: PathBuf) -> io::Result<Self> {
        let log = fs::File::options()
            .append(true)
            .create(true)
            .open(folder.join(format!("{name}.log")))?;
        let mut child = Command::new(binary("mimosausherd")?)
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        let addresses = match serde_json::from_str(&line) {
            Ok(addresses) => addresses,
            Err(_) => {
                let status = child.wait()?;
                let log = fs::read_to_string(folder.join(format!("{name}.log")))?;
                return Err(io::Error::other(format!("{name}: {status}: {log}")));
            }
        };
        Ok(Self {
            addresses,
            child,
            name: name.into(),
            settings,
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.kill();
    }
}

/// The path of a program that was built beside the running one.
fn binary(name: &str) -> io::Result<PathBuf> {
    let own = env::current_exe()?;
    let found = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| io::Error::other(format!("{name} is not built; run `cargo build`")))
}
