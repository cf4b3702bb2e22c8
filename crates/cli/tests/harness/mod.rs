//! Runs the real binary, and what it needs around it.
#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        Output, //
    },
    thread,
    time::Duration, //
};

use standin::Cluster;

/// A section with one service.
pub const SECTION: &str = r#"# Who serves the desk.
team = "booking"

[[service]] # the only one
name = "booking-desk"
mode = "requests"
hosts = ["booking.example"]
endpoints = ["desk-*"]
"#;

/// One run of the command line, with what it should print.
pub struct Test {
    args: Vec<String>,
    status: i32,
    stderr: Vec<String>,
    stdout: Option<String>,
}

impl Test {
    /// Creates a run that succeeds.
    pub fn new() -> Self {
        Self {
            args: Vec::new(),
            status: 0,
            stderr: Vec::new(),
            stdout: None,
        }
    }

    /// Creates a run against an instance.
    pub fn at(instance: SocketAddr) -> Self {
        Self::new().arg("--instance").arg(instance)
    }

    /// Adds a word of the command line.
    pub fn arg(mut self, arg: impl ToString) -> Self {
        self.args.push(arg.to_string());
        self
    }

    /// Adds words of the command line.
    pub fn args<const N: usize>(mut self, args: [&str; N]) -> Self {
        self.args.extend(args.map(String::from));
        self
    }

    /// Adds a file's path.
    pub fn path(self, path: &Path) -> Self {
        self.arg(path.display())
    }

    /// Sets the exit code.
    pub fn status(mut self, status: i32) -> Self {
        self.status = status;
        self
    }

    /// Adds a text that the errors must hold.
    pub fn stderr(mut self, text: impl ToString) -> Self {
        self.stderr.push(text.to_string());
        self
    }

    /// Sets the whole output.
    pub fn stdout(mut self, text: impl ToString) -> Self {
        self.stdout = Some(text.to_string());
        self
    }

    /// Runs the binary again until it is no longer refused with `text`, checks what it printed,
    /// and returns the output.
    pub fn run_past(self, text: &str) -> String {
        let mut output = self.output();
        while String::from_utf8_lossy(&output.stderr).contains(text) {
            thread::sleep(Duration::from_millis(20));
            output = self.output();
        }
        self.check(output)
    }

    fn output(&self) -> Output {
        Command::new(env!("CARGO_BIN_EXE_mimosausher"))
            .args(&self.args)
            .env("NO_COLOR", "1")
            .output()
            .unwrap()
    }

    /// Runs the binary, checks what it printed, and returns the output.
    pub fn run(self) -> String {
        let output = self.output();
        self.check(output)
    }

    fn check(self, output: Output) -> String {
        let stdout = String::from_utf8(output.stdout).unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        let code = output.status.code();
        assert_eq!(code, Some(self.status), "{:?}\n{stdout}{stderr}", self.args);
        if let Some(text) = self.stdout {
            assert_eq!(stdout, text, "{stderr}");
        }
        for text in self.stderr {
            // Reports are wrapped to the terminal's width.
            let plain = |text: &str| {
                let words = text.split_whitespace().filter(|word| *word != "│");
                words.collect::<Vec<_>>().join(" ")
            };
            assert!(plain(&stderr).contains(&plain(&text)), "{stderr}");
        }
        stdout
    }
}

/// A store and an entry, with the entry's admin address.
pub fn cluster() -> (Cluster, SocketAddr) {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .unwrap();
    let entry = cluster.entries[0].address("admin");
    (cluster, entry)
}

/// Writes a file into the cluster's folder.
pub fn file(cluster: &Cluster, name: &str, text: &str) -> PathBuf {
    let path = cluster.folder().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Applies a section through an entry and waits until it is in force there.
pub fn apply(cluster: &Cluster, entry: SocketAddr, name: &str, text: &str, revision: u64) {
    let path = file(cluster, "applied.toml", text);
    let test = Test::at(entry).args(["apply", "--section", name]);
    test.path(&path).run();
    cluster.await_revision(revision).unwrap();
}

/// Passes connections on to an instance, and loses the answers to the first `lost` edits after
/// they were carried out.
pub fn losing(instance: SocketAddr, lost: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut left = lost;
        for stream in listener.incoming() {
            left = pass(stream.unwrap(), instance, left);
        }
    });
    address
}

/// Passes one request on; returns how many answers are still to be lost.
fn pass(mut caller: TcpStream, instance: SocketAddr, left: usize) -> usize {
    let mut server = TcpStream::connect(instance).unwrap();
    let mut request = vec![0; 65_536];
    let length = caller.read(&mut request).unwrap();
    let edit = request.starts_with(b"POST");
    server.write_all(&request[..length]).unwrap();
    let mut answer = vec![0; 65_536];
    // A request whose body comes in a second packet is not whole yet.
    server
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let count = loop {
        match server.read(&mut answer) {
            Ok(count) => break count,
            Err(_) => {
                caller
                    .set_read_timeout(Some(Duration::from_millis(10)))
                    .unwrap();
                if let Ok(length) = caller.read(&mut request) {
                    server.write_all(&request[..length]).unwrap();
                }
            }
        }
    };
    if edit && left > 0 {
        caller.shutdown(Shutdown::Both).unwrap();
        return left - 1;
    }
    caller.write_all(&answer[..count]).unwrap();
    let _closed = std::io::copy(&mut server, &mut caller);
    left
}
