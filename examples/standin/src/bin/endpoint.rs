//! Runs one stand-in endpoint until SIGTERM.

use std::{
    net::SocketAddr,
    process::ExitCode,
    thread,
    time::{
        Duration,
        SystemTime, //
    },
};

use gumdrop::Options;
use mimosausher_standin::{
    Announcer,
    Endpoint, //
};

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Command-line arguments.
#[derive(Debug)]
#[derive(Options)]
struct Arguments {
    #[options(help = "admin addresses of instances to announce to")]
    announce: Vec<SocketAddr>,
    #[options(help = "time before each answer, in milliseconds")]
    delay: u64,
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "name of the endpoint", required)]
    name: String,
    #[options(help = "name of the service", required)]
    service: String,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let delay = Duration::from_millis(arguments.delay);
    let endpoint = match Endpoint::start(&arguments.name, delay) {
        Ok(endpoint) => endpoint,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{{\"address\":\"{}\"}}", endpoint.address);
    let mut announcer = Announcer::new(&arguments.name, &arguments.service, endpoint.address);
    announcer.incarnation = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(1, |elapsed| elapsed.as_secs());
    loop {
        for instance in &arguments.announce {
            match announcer.announce(*instance) {
                Ok(()) => break,
                Err(error) => eprintln!("{instance}: {error}"),
            }
        }
        thread::sleep(ANNOUNCE_INTERVAL);
    }
}
