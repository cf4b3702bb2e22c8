//! Errors in settings files, key files and documents.

use std::io;

use codes::Code;
use miette::{
    Diagnostic,
    NamedSource,
    SourceSpan, //
};
use thiserror::Error as ThisError;

/// An error in a settings file, a key file or a document.
#[derive(Debug)]
#[derive(Diagnostic, ThisError)]
pub enum Error {
    /// Two TOML keys contradict each other, or one requires the other.
    #[diagnostic(code("1004"))]
    #[error("{message}")]
    Contradiction {
        /// Describes the contradiction.
        message: Box<str>,
        /// Position in the text.
        #[label("here")]
        span: SourceSpan,
        /// The source text.
        #[source_code]
        text: NamedSource<String>,
    },
    /// A name or address is given twice.
    #[diagnostic(code("1005"))]
    #[error("{message}")]
    Repeated {
        /// Describes the repeated name or address.
        message: Box<str>,
        /// Position in the text.
        #[label("given again here")]
        span: SourceSpan,
        /// The source text.
        #[source_code]
        text: NamedSource<String>,
    },
    /// The text is not valid TOML, or has an unknown key or a value of the wrong type.
    #[diagnostic(code("1002"))]
    #[error("{message}")]
    Syntax {
        /// The parser's message.
        message: Box<str>,
        /// Position in the text.
        #[label("here")]
        span: SourceSpan,
        /// The source text.
        #[source_code]
        text: NamedSource<String>,
    },
    /// The file could not be read.
    #[diagnostic(code("1001"))]
    #[error("cannot read {name}: {cause}")]
    Unreadable {
        /// Path of the file.
        name: Box<str>,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// A value is out of range or malformed.
    #[diagnostic(code("1003"))]
    #[error("{message}")]
    Value {
        /// Describes the invalid value.
        message: Box<str>,
        /// Position in the text.
        #[label("here")]
        span: SourceSpan,
        /// The source text.
        #[source_code]
        text: NamedSource<String>,
    },
}

impl Error {
    /// The result code of the error.
    pub const fn result_code(&self) -> Code {
        match self {
            Self::Contradiction { .. } => Code::KeysContradict,
            Self::Repeated { .. } => Code::NameRepeated,
            Self::Syntax { .. } => Code::SyntaxInvalid,
            Self::Unreadable { .. } => Code::FileUnreadable,
            Self::Value { .. } => Code::ValueInvalid,
        }
    }
}
