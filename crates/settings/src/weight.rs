//! Weights of a service's endpoints.

use std::cmp::Reverse;

use crate::{
    error::Error,
    pattern::Pattern,
    raw,
    source::Source, //
};

/// Weight of an endpoint that no pattern names.
pub const WEIGHT: u32 = 1;

/// The weight of the endpoints that fit a pattern.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Weight {
    /// Which endpoints.
    pub pattern: Pattern,
    /// Their share, relative to the others' weights.
    pub share: u32,
}

impl Weight {
    /// Checks the weights of a raw service, whose endpoints fit `endpoints`.
    pub(crate) fn check(
        source: &Source,
        raw: &raw::Service,
        endpoints: &[Pattern],
    ) -> Result<Box<[Self]>, Error> {
        let mut weights = Vec::with_capacity(raw.weights.len());
        for (text, share) in &raw.weights {
            let pattern =
                Pattern::check(text).map_err(|advice| source.invalid(share.span(), advice))?;
            if !endpoints.iter().any(|other| other.covers(&pattern)) {
                let advice = format!("the weight of `{text}` fits none of `endpoints`");
                return Err(source.contradiction(share.span(), advice));
            }
            let key = format!("weights.{text}");
            weights.push(Self {
                pattern,
                share: source.within(&Some(share.clone()), &key, 1..=1_000, WEIGHT)?,
            });
        }
        weights.sort_by_key(|weight| Reverse(weight.pattern.rank()));
        Ok(weights.into())
    }
}
