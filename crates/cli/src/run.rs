//! Reads the command line and runs one subcommand.

use std::{
    ffi::OsString,
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
    check,
    client::Client,
    endpoints,
    error::Error,
    exit::Exit,
    get,
    options::{
        Options,
        Subcommand, //
    },
    status, //
};

/// Runs the command line.
pub fn run() -> ExitCode {
    let words: Vec<_> = std::env::args_os()
        .skip(1)
        .map(OsString::into_string)
        .map(|word| word.unwrap_or_else(|word| word.to_string_lossy().into_owned()))
        .collect();
    let options = match Options::parse_args(&words, ParsingStyle::AllOptions) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("mimosausher: {error}; see `mimosausher --help`");
            return Exit::Usage.into();
        }
    };
    if options.help_requested() {
        help(&options);
        return Exit::Success.into();
    }
    if options.version {
        println!("mimosausher {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success.into();
    }
    match command(&options) {
        Ok(exit) => exit.into(),
        Err(error) => {
            let exit = error.exit();
            eprintln!("{:?}", Report::new(error));
            exit.into()
        }
    }
}

fn command(options: &Options) -> Result<Exit, Error> {
    let json = options.json;
    let runtime = Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(async {
        match options.command.as_ref() {
            None => {
                eprintln!("mimosausher: a subcommand is needed; see `mimosausher --help`");
                return Ok(Exit::Usage);
            }
            Some(Subcommand::Apply(own)) => return apply::run(client(options)?, own, json).await,
            Some(Subcommand::Check(own)) => check::run(own)?,
            Some(Subcommand::Endpoints(_)) => endpoints::run(client(options)?, json).await?,
            Some(Subcommand::Get(own)) => get::run(client(options)?, own, json).await?,
            Some(Subcommand::Status(_)) => status::run(client(options)?, json).await?,
        }
        Ok(Exit::Success)
    })
}

fn client(options: &Options) -> Result<Client, Error> {
    options
        .instance
        .map(Client::new)
        .ok_or(Error::Missing("--instance"))
}

fn help(options: &Options) {
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
