//! Runs the `mimosausher` binary against a cluster of real daemons.
#![allow(dead_code, reason = "each test file uses only some of the items")]

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

/// Text of a section with one service.
pub const SECTION: &str = r#"# Who serves the desk.
team = "booking"

[[service]] # the only one
name = "booking-desk"
mode = "requests"
hosts = ["booking.example"]
endpoints = ["desk-*"]
"#;

/// One run of the binary, with the expected output and exit code.
pub struct Test {
    args: Vec<String>,
    status: i32,
    stderr: Vec<String>,
    stdout: Option<String>,
}

impl Test {
    /// Creates a run that is expected to succeed.
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

    /// Adds an argument.
    pub fn arg(mut self, arg: impl ToString) -> Self {
        self.args.push(arg.to_string());
        self
    }

    /// Adds arguments.
    pub fn args<const N: usize>(mut self, args: [&str; N]) -> Self {
        self.args.extend(args.map(String::from));
        self
    }

    /// Adds a path as an argument.
    pub fn path(self, path: &Path) -> Self {
        self.arg(path.display())
    }

    /// Sets the expected exit code.
    pub fn status(mut self, status: i32) -> Self {
        self.status = status;
        self
    }

    /// Adds a text that stderr must contain.
    pub fn stderr(mut self, text: impl ToString) -> Self {
        self.stderr.push(text.to_string());
        self
    }

    /// Sets the expected stdout, in full.
    pub fn stdout(mut self, text: impl ToString) -> Self {
        self.stdout = Some(text.to_string());
        self
    }

    /// Runs the binary until stderr no longer contains `text`, checks the last run, and returns its
    /// stdout.
    pub fn retry_while(self, text: &str) -> String {
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

    /// Runs the binary, checks the result, and returns its stdout.
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
            // Error reports are wrapped to the width of the terminal.
            let unwrapped = |text: &str| {
                let words = text.split_whitespace().filter(|word| *word != "│");
                words.collect::<Vec<_>>().join(" ")
            };
            assert!(unwrapped(&stderr).contains(&unwrapped(&text)), "{stderr}");
        }
        stdout
    }
}

/// Starts a store and an entry; returns the cluster and the entry's admin address.
pub fn cluster() -> (Cluster, SocketAddr) {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .unwrap();
    let entry = cluster.entries[0].address("admin");
    (cluster, entry)
}

/// Writes a file into the cluster's folder and returns its path.
pub fn write_file(cluster: &Cluster, name: &str, text: &str) -> PathBuf {
    let path = cluster.folder().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Applies a section through an entry and waits until it is in force there.
pub fn apply_section(cluster: &Cluster, entry: SocketAddr, name: &str, text: &str, revision: u64) {
    let path = write_file(cluster, "applied.toml", text);
    let test = Test::at(entry).args(["apply", "--section", name]);
    test.path(&path).run();
    cluster.await_revision(revision).unwrap();
}

/// Starts a proxy to an instance that drops the responses to the first `drops` edits, after the
/// instance has applied them; returns the proxy's address.
pub fn lossy_proxy(instance: SocketAddr, drops: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut remaining = drops;
        for stream in listener.incoming() {
            remaining = forward(stream.unwrap(), instance, remaining);
        }
    });
    address
}

/// Forwards one request; returns how many responses are still to be dropped.
fn forward(mut client: TcpStream, instance: SocketAddr, remaining: usize) -> usize {
    let mut server = TcpStream::connect(instance).unwrap();
    let mut request = vec![0; 65_536];
    let length = client.read(&mut request).unwrap();
    let edit = request.starts_with(b"POST");
    server.write_all(&request[..length]).unwrap();
    let mut response = vec![0; 65_536];
    // If the instance does not respond yet, the body of the request may still have to be read.
    server
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let count = loop {
        match server.read(&mut response) {
            Ok(count) => break count,
            Err(_) => {
                client
                    .set_read_timeout(Some(Duration::from_millis(10)))
                    .unwrap();
                if let Ok(length) = client.read(&mut request) {
                    server.write_all(&request[..length]).unwrap();
                }
            }
        }
    };
    if edit && remaining > 0 {
        client.shutdown(Shutdown::Both).unwrap();
        return remaining - 1;
    }
    client.write_all(&response[..count]).unwrap();
    let _closed = std::io::copy(&mut server, &mut client);
    remaining
}
