//! Named source texts for diagnostics.

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

/// Text of a settings file, key file or document, with the name that diagnostics show.
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

    /// Deserializes the text from TOML.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] with the position of the first error.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        toml::from_str(&self.text).map_err(|cause| Error::Syntax {
            message: cause.message().into(),
            span: cause.span().unwrap_or_default().into(),
            text: self.named_source(),
        })
    }

    /// Creates an error about the value at `span`, a byte range of the text.
    pub fn invalid(&self, span: Range<usize>, message: impl Into<Box<str>>) -> Error {
        Error::Value {
            message: message.into(),
            span: span.into(),
            text: self.named_source(),
        }
    }

    /// Creates an error about contradicting keys, reported at `span`.
    pub fn contradiction(&self, span: Range<usize>, message: impl Into<Box<str>>) -> Error {
        Error::Contradiction {
            message: message.into(),
            span: span.into(),
            text: self.named_source(),
        }
    }

    /// Creates an error about a name or address that is repeated at `span`.
    pub fn repeated(&self, span: Range<usize>, message: impl Into<Box<str>>) -> Error {
        Error::Repeated {
            message: message.into(),
            span: span.into(),
            text: self.named_source(),
        }
    }

    /// Returns the number of an optional key, or `default` if the key is missing.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] if the number is outside `range`.
    pub(crate) fn in_range<T: TryFrom<u64>>(
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
            Ok(converted) if range.contains(&number) => Ok(converted),
            Ok(_) | Err(_) => {
                let (min, max) = (range.start(), range.end());
                let message = format!("`{key}` is {number}; it may be {min} to {max}");
                Err(self.invalid(value.span(), message))
            }
        }
    }

    fn named_source(&self) -> NamedSource<String> {
        NamedSource::new(&self.name, self.text.to_string()).with_language("TOML")
    }
}
