//! Parses the command line and runs the subcommand.

use std::{
    ffi::OsString,
    path::Path,
    process::ExitCode, //
};

use compio::runtime::Runtime;
use gumdrop::{
    Options as _,
    ParsingStyle, //
};
use miette::Report;

use crate::{
    apply,
    audit,
    check,
    client::Client,
    diff,
    endpoints,
    error::Error,
    exit::Exit,
    get,
    history,
    init,
    key,
    members,
    options::{
        Options,
        Subcommand, //
    },
    remove,
    rollback,
    status,
    tls,
    watch, //
};

/// Parses the process's arguments, runs the subcommand and returns the exit code.
pub fn run() -> ExitCode {
    let args: Vec<_> = std::env::args_os()
        .skip(1)
        .map(OsString::into_string)
        .map(|arg| arg.unwrap_or_else(|arg| arg.to_string_lossy().into_owned()))
        .collect();
    let options = match Options::parse_args(&args, ParsingStyle::AllOptions) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("mimosausher: {error}; see `mimosausher --help`");
            return Exit::Usage.into();
        }
    };
    if options.help_requested() {
        print_help(&options);
        return Exit::Success.into();
    }
    if options.version {
        println!("mimosausher {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success.into();
    }
    match run_command(&options) {
        Ok(exit) => exit.into(),
        Err(error) => {
            let exit = error.exit();
            eprintln!("{:?}", Report::new(error));
            exit.into()
        }
    }
}

fn run_command(options: &Options) -> Result<Exit, Error> {
    let json = options.json;
    let runtime = Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(async {
        match options.command.as_ref() {
            None => {
                eprintln!("mimosausher: a subcommand is needed; see `mimosausher --help`");
                return Ok(Exit::Usage);
            }
            Some(Subcommand::Apply(args)) => return apply::run(client(options)?, args, json).await,
            Some(Subcommand::Audit(args)) => audit::run(client(options)?, args, json).await?,
            Some(Subcommand::Check(args)) => check::run(args)?,
            Some(Subcommand::Diff(args)) => diff::run(client(options)?, args, json).await?,
            Some(Subcommand::Endpoints(_)) => endpoints::run(client(options)?, json).await?,
            Some(Subcommand::Get(args)) => get::run(client(options)?, args, json).await?,
            Some(Subcommand::History(args)) => history::run(client(options)?, args, json).await?,
            Some(Subcommand::Init(args)) => init::run(client(options)?, args, json).await?,
            Some(Subcommand::Key(args)) => key::run(args)?,
            Some(Subcommand::Members(args)) => members::run(client(options)?, args, json).await?,
            Some(Subcommand::Remove(args)) => {
                return remove::run(client(options)?, args, json).await;
            }
            Some(Subcommand::Rollback(args)) => {
                return rollback::run(client(options)?, args, json).await;
            }
            Some(Subcommand::Status(_)) => status::run(client(options)?, json).await?,
            Some(Subcommand::Watch(args)) => watch::run(client(options)?, args, json).await?,
        }
        Ok(Exit::Success)
    })
}

fn client(options: &Options) -> Result<Client, Error> {
    if options.instance.is_empty() {
        return Err(Error::Missing("--instance"));
    }
    let key = options.key_file.as_deref().map(key::read).transpose()?;
    let ca = options.ca.as_deref().map(Path::new);
    let tls = ca.map(tls::connector).transpose()?;
    Ok(Client::new(&options.instance).with_key(key).with_tls(tls))
}

fn print_help(options: &Options) {
    match options.command_name() {
        Some(name) => println!(
            "Usage: mimosausher [OPTIONS] {name} [ARGUMENTS]\n\n{}",
            options.self_usage()
        ),
        None => println!(
            "Usage: mimosausher [OPTIONS] COMMAND [ARGUMENTS]\n\n{}\n\nCommands:\n{}",
            Options::usage(),
            Options::command_list().unwrap_or_default()
        ),
    }
}
