//! Fields at the end of a message that earlier versions of this program don't send.

use serde::{
    Deserialize,
    Deserializer, //
};

/// Reads a trailing field; its default if the sender did not send it.
///
/// # Errors
///
/// None.
pub fn or_default<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
