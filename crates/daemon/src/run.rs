//! Starting, running and stopping the daemon.

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
    Handlers,
    Signal,
    Signals, //
};
use settings::Settings;

use crate::{
    admin::Admin,
    around,
    datagrams,
    error::Error,
    exit::Exit,
    fabric,
    flows,
    follower,
    inner,
    listeners::Listeners,
    logs,
    node::Node,
    options::Options,
    requests::Requests, //
};

/// Runs the daemon as the command line says.
pub fn run() -> ExitCode {
    let words: Vec<_> = std::env::args_os()
        .skip(1)
        .map(OsString::into_string)
        .map(|word| word.unwrap_or_else(|word| word.to_string_lossy().into_owned()))
        .collect();
    match Options::parse_args(&words, ParsingStyle::AllOptions) {
        Ok(options) => command(&options).into(),
        Err(error) => {
            eprintln!("mimosausherd: {error}");
            Exit::Usage.into()
        }
    }
}

fn command(options: &Options) -> Exit {
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
    let handlers = match Handlers::new() {
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

fn start(settings: Settings, handlers: Handlers) -> Result<(), Error> {
    let _log = logs::start(&settings.log)?;
    let timers = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .map_err(Error::Runtime)?;
    let _entered = timers.enter();
    let runtime = Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(serve(settings, handlers))
}

/// Runs all roles until the planned stop is done.
async fn serve(settings: Settings, handlers: Handlers) -> Result<(), Error> {
    let signals = Signals::new(handlers).map_err(Error::Runtime)?;
    let listeners = Listeners::open(&settings.listen).await?;
    let addresses = listeners.addresses().map_err(Error::Runtime)?;
    let (node, folder) = Node::new(settings, addresses)?;
    let node = Rc::new(node);
    let socket = Rc::new(listeners.datagrams);
    // The cell is empty: this is the only place that sets it.
    let _set = node.socket.set(socket.clone());
    spawn(datagrams::receive(node.clone(), socket)).detach();
    spawn(datagrams::beat(node.clone())).detach();
    if let Some(folder) = folder {
        spawn(around::run(node.clone(), folder)).detach();
    }
    spawn(inner::accept(node.clone(), listeners.calls)).detach();
    spawn(follower::follow(node.clone())).detach();
    spawn(stop_on_signal(node.clone(), signals)).detach();
    let admin = process::serve(node.stop.clone(), listeners.admin, Admin::new(node.clone()));
    let admin = spawn(admin);
    let asked = listeners.faces.is_some() && node.claims.ask_unused().await;
    let callers = listeners.faces.map(|faces| {
        spawn(node.claims.clone().maintain(asked)).detach();
        let fabric = Rc::new(faces.fabric);
        spawn(fabric::forward(node.clone(), fabric.clone())).detach();
        let flows = spawn(flows::tend(node.clone(), fabric));
        let handler = Requests::new(node.clone());
        let requests = spawn(process::serve(node.stop.clone(), faces.requests, handler));
        (flows, requests)
    });
    if let Ok(line) = serde_json::to_string(&node.addresses) {
        println!("{line}");
    }
    log::info!(name = &*node.settings.instance.name; "started");
    if let Some((flows, requests)) = callers {
        let _ended = requests.await;
        node.claims.idle().await;
        let _ended = flows.await;
        flows::linger(&node).await;
    }
    let _ended = admin.await;
    log::info!("stopped");
    Ok(())
}

async fn stop_on_signal(node: Rc<Node>, mut signals: Signals) {
    loop {
        match signals.next().await {
            Ok(Signal::Reload) => log::info!("the settings are read at the start only"),
            Ok(Signal::Stop) if node.stop.begun() => log::info!("already stopping"),
            Ok(Signal::Stop) => {
                log::info!("stopping");
                node.stop.begin();
                datagrams::leave(&node).await;
            }
            Err(error) => return log::error!("no signals can be received: {error}"),
        }
    }
}
