//! Patterns that match endpoint names.

/// An endpoint name, or a name prefix followed by `*`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Pattern(Box<str>);

impl Pattern {
    /// Creates a pattern without validating its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Validates the text of a pattern.
    ///
    /// # Errors
    ///
    /// A message if the text is empty or has a `*` before its end.
    pub fn parse(text: &str) -> Result<Self, Box<str>> {
        let name = text.strip_suffix('*').unwrap_or(text);
        if text.is_empty() {
            return Err("a pattern is empty".into());
        }
        if name.contains('*') {
            return Err(format!("`{text}` has a `*` before its end").into());
        }
        Ok(Self::new(text))
    }

    /// Whether this pattern matches every name that `other` matches.
    pub fn covers(&self, other: &Self) -> bool {
        match (self.0.strip_suffix('*'), other.0.strip_suffix('*')) {
            (Some(prefix), Some(other)) => other.starts_with(prefix),
            (Some(_), None) => self.matches(&other.0),
            (None, _) => self == other,
        }
    }

    /// Whether the pattern matches `name`.
    pub fn matches(&self, name: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix),
            None => *self.0 == *name,
        }
    }

    /// Sort key by specificity: full names above prefixes, longer texts above shorter ones.
    pub(crate) fn specificity(&self) -> (bool, usize) {
        (!self.0.ends_with('*'), self.0.len())
    }
}
