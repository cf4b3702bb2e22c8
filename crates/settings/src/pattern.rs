//! Patterns over endpoints' names.

/// A name, or the beginning of names followed by `*`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Pattern(Box<str>);

impl Pattern {
    /// Creates a pattern from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Whether `name` fits the pattern.
    pub fn fits(&self, name: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => *self.0 == *name,
        }
    }
}
