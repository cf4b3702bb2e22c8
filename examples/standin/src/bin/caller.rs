//! Sends a request through each entry and one sprayed flow; prints each reply and the endpoint that
//! sent it.

use std::{
    collections::BTreeSet,
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    process::ExitCode, //
};

use gumdrop::Options;
use mimosausher_standin::{
    Client,
    Fabric,
    call, //
};

/// Number of packets in the flow.
const PACKETS: usize = 8;

/// Command-line arguments.
#[derive(Debug)]
#[derive(Options)]
struct Arguments {
    #[options(help = "address and port of the service's flows", required)]
    destination: Option<SocketAddrV4>,
    #[options(help = "fabric addresses of the entries")]
    fabric: Vec<SocketAddr>,
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "host name of the service's requests", short = "H", required)]
    host: String,
    #[options(help = "requests addresses of the entries")]
    requests: Vec<SocketAddr>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> io::Result<bool> {
    let mut passed = true;
    for entry in &arguments.requests {
        let response = call(*entry, "GET /", &[("host", &arguments.host)], b"")?;
        println!(
            "request via {entry}: {} from {}",
            response.status,
            response.text()
        );
        passed &= response.status == 200;
    }
    let Some(destination) = arguments.destination else {
        return Ok(passed);
    };
    let mut fabric = Fabric::new(&arguments.fabric)?;
    let client = Client::new(destination)?;
    let mut entries = BTreeSet::new();
    let mut endpoints = BTreeSet::new();
    for _ in 0..PACKETS {
        let (entry, endpoint) = client.exchange(&mut fabric)?;
        println!("packet via {entry}: answered by {endpoint}");
        entries.insert(entry);
        endpoints.insert(endpoint);
    }
    println!(
        "flow of {PACKETS} packets over {} entries: {} endpoint(s)",
        entries.len(),
        endpoints.len()
    );
    Ok(passed && entries.len() == arguments.fabric.len() && endpoints.len() == 1)
}
