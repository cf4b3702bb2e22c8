//! Sends one request and one sprayed flow, and prints what came back and from where.

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
    Caller,
    Fabric,
    call, //
};

/// Packets that each flow consists of.
const PACKETS: usize = 8;

/// What the command line holds.
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
    let mut right = true;
    for entry in &arguments.requests {
        let answer = call(*entry, "GET /", &[("host", &arguments.host)], b"")?;
        println!(
            "request via {entry}: {} from {}",
            answer.status,
            answer.text()
        );
        right &= answer.status == 200;
    }
    let Some(destination) = arguments.destination else {
        return Ok(right);
    };
    let mut fabric = Fabric::new(&arguments.fabric)?;
    let caller = Caller::new(destination)?;
    let mut entries = BTreeSet::new();
    let mut endpoints = BTreeSet::new();
    for _ in 0..PACKETS {
        let (entry, endpoint) = caller.exchange(&mut fabric)?;
        println!("packet via {entry}: answered by {endpoint}");
        entries.insert(entry);
        endpoints.insert(endpoint);
    }
    println!(
        "flow of {PACKETS} packets over {} entries: {} endpoint(s)",
        entries.len(),
        endpoints.len()
    );
    Ok(right && entries.len() == arguments.fabric.len() && endpoints.len() == 1)
}
