//! Weights of a service's endpoints.

use std::cmp::Reverse;

use crate::{
    error::Error,
    pattern::Pattern,
    raw,
    source::Source, //
};

/// Weight of an endpoint that no pattern matches.
pub const DEFAULT_WEIGHT: u32 = 1;

/// The weight of the endpoints that match a pattern.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PatternWeight {
    /// Endpoint names that the weight applies to.
    pub pattern: Pattern,
    /// Share of new work, relative to the weights of other endpoints.
    pub weight: u32,
}

impl PatternWeight {
    /// Validates the weights of a service whose endpoint patterns are `endpoints`, and sorts them
    /// most specific first.
    pub(crate) fn list_from_raw(
        source: &Source,
        raw: &raw::Service,
        endpoints: &[Pattern],
    ) -> Result<Box<[Self]>, Error> {
        let mut weights = Vec::with_capacity(raw.weights.len());
        for (text, weight) in &raw.weights {
            let pattern =
                Pattern::parse(text).map_err(|message| source.invalid(weight.span(), message))?;
            if !endpoints.iter().any(|other| other.covers(&pattern)) {
                let message = format!("the weight of `{text}` fits none of `endpoints`");
                return Err(source.contradiction(weight.span(), message));
            }
            let key = format!("weights.{text}");
            weights.push(Self {
                pattern,
                weight: source.in_range(&Some(weight.clone()), &key, 1..=1_000, DEFAULT_WEIGHT)?,
            });
        }
        weights.sort_by_key(|weight| Reverse(weight.pattern.specificity()));
        Ok(weights.into())
    }
}
