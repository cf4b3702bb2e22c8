//! A text together with the name it is reported under.

use std::{
    fs,
    ops::Range,
    path::Path, //
};

use miette::NamedSource;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// A settings or document text, with the name that reports show.
#[derive(Clone, Debug)]
pub struct Source {
    name: Box<str>,
    text: Box<str>,
}

impl Source {
    /// Creates a source from a name and its text.
    pub fn new(name: &str, text: &str) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }

    /// Reads a source from a file.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] if the file cannot be read as UTF-8 text.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Ok(Self::new(&name, &text)),
            Err(cause) => Err(Error::Unreadable {
                name: name.into(),
                cause,
            }),
        }
    }

    /// The text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Parses the text into a generated type.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] with the place of the first fault.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        toml::from_str(&self.text).map_err(|cause| Error::Syntax {
            advice: cause.message().into(),
            place: cause.span().unwrap_or_default().into(),
            text: self.named(),
        })
    }

    /// An error about a value at `place`, in bytes from the text's start.
    pub fn invalid(&self, place: Range<usize>, advice: impl Into<Box<str>>) -> Error {
        Error::Value {
            advice: advice.into(),
            place: place.into(),
            text: self.named(),
        }
    }

    /// An error about two keys that contradict each other, reported at `place`.
    pub fn contradiction(&self, place: Range<usize>, advice: impl Into<Box<str>>) -> Error {
        Error::Contradiction {
            advice: advice.into(),
            place: place.into(),
            text: self.named(),
        }
    }

    /// An error about a name or address that is given a second time at `place`.
    pub fn repeated(&self, place: Range<usize>, advice: impl Into<Box<str>>) -> Error {
        Error::Repeated {
            advice: advice.into(),
            place: place.into(),
            text: self.named(),
        }
    }

    fn named(&self) -> NamedSource<String> {
        NamedSource::new(&self.name, self.text.to_string()).with_language("TOML")
    }
}
