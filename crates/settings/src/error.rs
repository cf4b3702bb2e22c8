//! What can be wrong with a settings file or a document.

use std::io;

use codes::Code;
use miette::{
    Diagnostic,
    NamedSource,
    SourceSpan, //
};
use thiserror::Error as ThisError;

/// A refusal of a settings file or a document.
#[derive(Debug)]
#[derive(Diagnostic, ThisError)]
pub enum Error {
    /// Two keys contradict each other, or one needs the other.
    #[diagnostic(code("1004"))]
    #[error("{advice}")]
    Contradiction {
        /// What contradicts what.
        advice: Box<str>,
        /// Where in the text.
        #[label("here")]
        place: SourceSpan,
        /// The text.
        #[source_code]
        text: NamedSource<String>,
    },
    /// A name or address is given twice.
    #[diagnostic(code("1005"))]
    #[error("{advice}")]
    Repeated {
        /// What is given twice.
        advice: Box<str>,
        /// Where in the text.
        #[label("given again here")]
        place: SourceSpan,
        /// The text.
        #[source_code]
        text: NamedSource<String>,
    },
    /// The text is not valid TOML, or holds an unknown or mistyped key.
    #[diagnostic(code("1002"))]
    #[error("{advice}")]
    Syntax {
        /// What the parser found.
        advice: Box<str>,
        /// Where in the text.
        #[label("here")]
        place: SourceSpan,
        /// The text.
        #[source_code]
        text: NamedSource<String>,
    },
    /// The file could not be read.
    #[diagnostic(code("1001"))]
    #[error("cannot read {name}: {cause}")]
    Unreadable {
        /// The file's name.
        name: Box<str>,
        /// What the system reported.
        cause: io::Error,
    },
    /// A value is outside its range or form.
    #[diagnostic(code("1003"))]
    #[error("{advice}")]
    Value {
        /// What is wrong with it.
        advice: Box<str>,
        /// Where in the text.
        #[label("here")]
        place: SourceSpan,
        /// The text.
        #[source_code]
        text: NamedSource<String>,
    },
}

impl Error {
    /// The numbered result code.
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
