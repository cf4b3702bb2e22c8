//! A daemon that runs as a child process, for tests and benchmarks.

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

/// A running daemon, killed on drop.
#[derive(Debug)]
pub struct Daemon {
    addresses: BTreeMap<String, Option<SocketAddr>>,
    child: Child,
    /// Name of the instance.
    pub name: Box<str>,
    settings: PathBuf,
}

impl Daemon {
    /// Writes the settings to a file in `folder`, starts a daemon with it and waits until its ports
    /// are open.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or an error with the log if the daemon exits before its ports are
    /// open.
    pub fn start(folder: &Path, name: &str, settings: &str) -> io::Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        Self::spawn(folder, name, path)
    }

    /// Address of a listener: `admin`, `fabric`, `inner` or `requests`.
    ///
    /// # Panics
    ///
    /// Panics if the daemon has no such listener.
    pub fn address(&self, listener: &str) -> SocketAddr {
        match self.addresses.get(listener).copied().flatten() {
            Some(address) => address,
            None => panic!("{} has no {listener} listener", self.name),
        }
    }

    /// Starts the daemon again after it has exited, on the same ports.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or an error with the log if the daemon exits before its ports are
    /// open.
    pub fn restart(&mut self) -> io::Result<()> {
        let mut text = fs::read_to_string(&self.settings)?;
        for (listener, address) in &self.addresses {
            if let Some(address) = address {
                let any_port = format!("{listener} = \"127.0.0.1:0\"");
                text = text.replace(&any_port, &format!("{listener} = \"{address}\""));
            }
        }
        fs::write(&self.settings, text)?;
        let folder = self.settings.parent().unwrap_or(Path::new("."));
        let name = self.name.clone();
        *self = Self::spawn(folder, &name, self.settings.clone())?;
        Ok(())
    }

    /// Limits the size in bytes of each file that the daemon writes; `None` removes the limit.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the system call fails.
    pub fn limit_file_size(&self, bytes: Option<u64>) -> io::Result<()> {
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
    /// Returns an I/O error if the system call fails.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Sends SIGTERM and waits until the daemon exits.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the system call fails.
    pub fn stop(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.child.wait()
    }

    /// Sends SIGKILL and waits until the daemon exits.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the system call fails.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Process ID.
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
        // It may have exited already.
        let _exited = self.kill();
    }
}

/// Path of a program in the folder of the running executable or in its parent.
fn binary(name: &str) -> io::Result<PathBuf> {
    let executable = env::current_exe()?;
    let found = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| io::Error::other(format!("{name} is not built; run `cargo build`")))
}
