//! The file of operators' keys.

use std::path::Path;

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Length of a key's digest in bytes.
pub const DIGEST_BYTES: usize = 32;

/// Whose key it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Holder {
    /// An operator who may edit every section.
    Admin(Box<str>),
    /// A team, which may edit its own sections.
    Team(Box<str>),
}

impl Holder {
    /// The holder's name, as the audit trail shows it.
    pub fn name(&self) -> &str {
        match self {
            Self::Admin(name) | Self::Team(name) => name,
        }
    }
}

/// One operator's key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// SHA-256 of the key's text.
    pub digest: [u8; DIGEST_BYTES],
    /// Whose key it is.
    pub holder: Holder,
}

/// The keys that an instance knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Keys {
    /// The keys, in the order of the file.
    pub keys: Box<[Key]>,
}

impl Keys {
    /// Reads and checks a file of keys.
    ///
    /// # Errors
    ///
    /// Any refusal of [`Error`].
    pub fn read(path: &Path) -> Result<Self, Error> {
        Self::parse(&Source::read(path)?)
    }

    /// Checks the text of a file of keys.
    ///
    /// # Errors
    ///
    /// Any refusal of [`Error`], with its place in the text.
    pub fn parse(source: &Source) -> Result<Self, Error> {
        let raw: raw::Keys = source.parse()?;
        let mut keys = Vec::<Key>::with_capacity(raw.key.len());
        for key in &raw.key {
            let place = key.get_ref().sha256.span();
            let key = check(source, key.get_ref())?;
            if keys.iter().any(|other| other.digest == key.digest) {
                return Err(source.repeated(place, "the digest is given twice"));
            }
            keys.push(key);
        }
        Ok(Self { keys: keys.into() })
    }
}

fn check(source: &Source, raw: &raw::Key) -> Result<Key, Error> {
    let place = raw.sha256.span();
    let holder = match (&raw.admin, &raw.team) {
        (Some(name), None) if !name.is_empty() => Holder::Admin(name.clone()),
        (None, Some(name)) if !name.is_empty() => Holder::Team(name.clone()),
        (Some(_), None) => return Err(source.invalid(place, "`admin` is empty")),
        (None, Some(_)) => return Err(source.invalid(place, "`team` is empty")),
        (Some(_), Some(_)) | (None, None) => {
            return Err(source.contradiction(place, "a key needs either `admin` or `team`"));
        }
    };
    match digest(raw.sha256.get_ref()) {
        Some(digest) => Ok(Key { digest, holder }),
        None => Err(source.invalid(place, "`sha256` is not 64 hexadecimal digits")),
    }
}

fn digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    let mut digest = [0; DIGEST_BYTES];
    if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        let pair = text.get(2 * index..2 * index + 2)?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(digest)
}
