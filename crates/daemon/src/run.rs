//! Start-up, run time and shutdown of the daemon.

use std::{
    ffi::OsString,
    path::Path,
    process::ExitCode,
    rc::Rc, //
};

use compio::runtime::{
    Runtime,
    spawn, //
};
use gumdrop::{
    Options as _,
    ParsingStyle, //
};
use miette::Report;
use process::{
    Signal,
    SignalHandlers,
    Signals, //
};
use settings::Settings;

use crate::{
    admin::AdminHandler,
    datagrams,
    error::Error,
    exit::Exit,
    fabric,
    flow_maintenance,
    follower,
    listeners::Listeners,
    logging,
    node::Node,
    options::Options,
    replica_io,
    requests::RequestHandler,
    rpc_server, //
};

/// Runs the daemon with the process's command line.
pub fn run() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os()
        .skip(1)
        .map(OsString::into_string)
        .map(|argument| argument.unwrap_or_else(|argument| argument.to_string_lossy().into_owned()))
        .collect();
    match Options::parse_args(&arguments, ParsingStyle::AllOptions) {
        Ok(options) => execute(&options).into(),
        Err(error) => {
            eprintln!("mimosausherd: {error}");
            Exit::Usage.into()
        }
    }
}

fn execute(options: &Options) -> Exit {
    if options.help {
        println!(
            "Usage: mimosausherd [OPTIONS] SETTINGS\n\n{}",
            Options::usage()
        );
        return Exit::Success;
    }
    if options.version {
        println!("mimosausherd {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success;
    }
    let Some(path) = &options.settings else {
        eprintln!("mimosausherd: a settings file is needed; see --help");
        return Exit::Usage;
    };
    let handlers = match SignalHandlers::new() {
        Ok(handlers) => handlers,
        Err(error) => {
            eprintln!("mimosausherd: {error}");
            return Exit::Failure;
        }
    };
    let settings = match Settings::read(Path::new(path)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", Report::new(error));
            return Exit::Settings;
        }
    };
    if options.check {
        return Exit::Success;
    }
    match start(settings, handlers) {
        Ok(()) => Exit::Success,
        Err(error) => {
            eprintln!("mimosausherd: {error}");
            Exit::Failure
        }
    }
}

fn start(settings: Settings, handlers: SignalHandlers) -> Result<(), Error> {
    let _log = logging::start(&settings.log)?;
    // The deadlines of tarpc need the timers of a Tokio runtime.
    let timers = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .map_err(Error::Runtime)?;
    let _entered = timers.enter();
    let runtime = Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(serve(settings, handlers))
}

/// Runs all roles until the graceful shutdown is complete.
async fn serve(settings: Settings, handlers: SignalHandlers) -> Result<(), Error> {
    let signals = Signals::new(handlers).map_err(Error::Runtime)?;
    let listeners = Listeners::open(&settings.listen).await?;
    let addresses = listeners.addresses().map_err(Error::Runtime)?;
    let (node, folder) = Node::new(settings, addresses)?;
    let node = Rc::new(node);
    let socket = Rc::new(listeners.datagrams);
    // The cell is still empty, since nothing else sets it.
    let _set = node.socket.set(socket.clone());
    spawn(datagrams::receive(node.clone(), socket)).detach();
    spawn(datagrams::run_ticks(node.clone())).detach();
    if let Some(folder) = folder {
        spawn(replica_io::run(node.clone(), folder)).detach();
    }
    spawn(rpc_server::accept(node.clone(), listeners.rpc)).detach();
    spawn(follower::follow(node.clone())).detach();
    spawn(handle_signals(node.clone(), signals)).detach();
    let admin = process::serve(
        node.shutdown.clone(),
        listeners.admin,
        AdminHandler::new(node.clone()),
    );
    let admin = spawn(admin);
    let unused_known = listeners.entry.is_some() && node.claims.query_unused().await;
    let entry_tasks = listeners.entry.map(|entry| {
        spawn(node.claims.clone().maintain(unused_known)).detach();
        let fabric = Rc::new(entry.fabric);
        spawn(fabric::forward(node.clone(), fabric.clone())).detach();
        let flows = spawn(flow_maintenance::run(node.clone(), fabric));
        let handler = RequestHandler::new(node.clone());
        let requests = spawn(process::serve(
            node.shutdown.clone(),
            entry.requests,
            handler,
        ));
        (flows, requests)
    });
    if let Ok(line) = serde_json::to_string(&node.addresses) {
        println!("{line}");
    }
    log::info!(name = &*node.settings.instance.name; "started");
    if let Some((flows, requests)) = entry_tasks {
        let _ended = requests.await;
        node.claims.wait_reported().await;
        let _ended = flows.await;
        flow_maintenance::linger(&node).await;
    }
    let _ended = admin.await;
    log::info!("stopped");
    Ok(())
}

async fn handle_signals(node: Rc<Node>, mut signals: Signals) {
    loop {
        match signals.next().await {
            Ok(Signal::Reload) => {
                log::info!("ignoring SIGHUP: the settings are read at start-up only")
            }
            Ok(Signal::Stop) if node.shutdown.begun() => {
                log::info!("the shutdown is already in progress")
            }
            Ok(Signal::Stop) => {
                log::info!("stopping");
                node.shutdown.begin();
                datagrams::leave(&node).await;
            }
            Err(error) => return log::error!("cannot receive signals: {error}"),
        }
    }
}
