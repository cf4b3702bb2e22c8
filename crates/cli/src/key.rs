//! `mimosausher key`: generates an operator's key.

use std::{
    fs::OpenOptions,
    io::Write,
    os::unix::fs::OpenOptionsExt, //
};

use ring::digest::{
    SHA256,
    digest, //
};

use crate::{
    error::Error,
    options::Key, //
};

/// Length of a key in bytes, before it is encoded as hex.
const KEY_BYTES: usize = 32;

/// Permissions of an operator's key file: only its owner may read and write it.
const FILE_MODE: u32 = 0o600;

/// Writes a new key to a file, and prints its `[[key]]` table for the instances' key file.
///
/// # Errors
///
/// [`Error::Exclusive`] or [`Error::Missing`] unless exactly one of `--admin` and `--team` is
/// given, or [`Error::Key`] if the file already exists or cannot be written.
pub fn run(options: &Key) -> Result<(), Error> {
    let owner = match (&options.admin, &options.team) {
        (Some(_), Some(_)) => return Err(Error::Exclusive("--admin", "--team")),
        (Some(name), None) => format!("admin = {name:?}"),
        (None, Some(team)) => format!("team = {team:?}"),
        (None, None) => return Err(Error::Missing("--team")),
    };
    let key = hex(&rand::random::<[u8; KEY_BYTES]>());
    let key_error = |cause| Error::Key {
        cause,
        path: options.file.as_str().into(),
    };
    let mut file = OpenOptions::new()
        .create_new(true)
        .mode(FILE_MODE)
        .write(true)
        .open(&options.file)
        .map_err(key_error)?;
    writeln!(file, "{key}").map_err(key_error)?;
    let hash = digest(&SHA256, key.as_bytes());
    println!("[[key]]\n{owner}\nsha256 = \"{}\"", hex(hash.as_ref()));
    Ok(())
}

/// Reads a key from a file.
///
/// # Errors
///
/// [`Error::Key`] if the file cannot be read.
pub fn read(path: &str) -> Result<Box<str>, Error> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(text.trim().into()),
        Err(cause) => Err(Error::Key {
            cause,
            path: path.into(),
        }),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
