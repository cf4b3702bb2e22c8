//! Queries of addresses.

use hyper::Uri;

/// The value of a key in an address's query.
pub fn query_value<'a>(uri: &'a Uri, key: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}
