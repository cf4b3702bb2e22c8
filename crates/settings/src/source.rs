//! A text together with the name it is reported under.

use std::{
    fs,
    ops::{
        Range,
        RangeInclusive, //
    },
    path::Path, //
};

use miette::NamedSource;
use serde::de::DeserializeOwned;
use toml::Spanned;

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

    /// The number of an optional key, or `default` if it is not given.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] for a number out of `range`.
    pub(crate) fn within<T: TryFrom<u64>>(
        &self,
        value: &Option<Spanned<u64>>,
        key: &str,
        range: RangeInclusive<u64>,
        default: T,
    ) -> Result<T, Error> {
        let Some(value) = value else {
            return Ok(default);
        };
        let number = *value.get_ref();
        match T::try_from(number) {
            Ok(found) if range.contains(&number) => Ok(found),
            Ok(_) | Err(_) => {
                let (least, most) = (range.start(), range.end());
                let advice = format!("`{key}` is {number}; it may be {least} to {most}");
                Err(self.invalid(value.span(), advice))
            }
        }
    }

    fn named(&self) -> NamedSource<String> {
        NamedSource::new(&self.name, self.text.to_string()).with_language("TOML")
    }
}
