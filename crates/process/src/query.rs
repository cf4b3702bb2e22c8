//! URI query strings.

use hyper::Uri;

/// Returns the first value of `key` in a URI's query, without percent-decoding.
pub fn query_value<'a>(uri: &'a Uri, key: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}
