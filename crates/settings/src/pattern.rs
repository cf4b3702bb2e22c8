//! Patterns over endpoints' names.

/// A name, or the beginning of names followed by `*`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Pattern(Box<str>);

impl Pattern {
    /// Creates a pattern from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Creates a pattern from a text that an operator wrote.
    ///
    /// # Errors
    ///
    /// A sentence that says what is wrong with the text.
    pub fn check(text: &str) -> Result<Self, Box<str>> {
        let name = text.strip_suffix('*').unwrap_or(text);
        if text.is_empty() {
            return Err("a pattern is empty".into());
        }
        if name.contains('*') {
            return Err(format!("`{text}` has a `*` before its end").into());
        }
        Ok(Self::new(text))
    }

    /// Whether every name that fits `other` fits this pattern too.
    pub fn covers(&self, other: &Self) -> bool {
        match (self.0.strip_suffix('*'), other.0.strip_suffix('*')) {
            (Some(start), Some(name)) => name.starts_with(start),
            (Some(_), None) => self.fits(&other.0),
            (None, _) => self == other,
        }
    }

    /// Whether `name` fits the pattern.
    pub fn fits(&self, name: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => *self.0 == *name,
        }
    }

    /// How exact it is: a name before a beginning, a longer beginning before a shorter one.
    pub(crate) fn rank(&self) -> (bool, usize) {
        (!self.0.ends_with('*'), self.0.len())
    }
}
