//! Names with small keys.

use hashbrown::HashMap;
use slotmap::{
    Key,
    SlotMap, //
};

/// Names with small keys.
#[derive(Clone, Debug)]
pub(crate) struct Interner<K: Key> {
    keys: HashMap<Box<str>, K>,
    names: SlotMap<K, Box<str>>,
}

impl<K: Key> Interner<K> {
    /// The key of a name, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.names.insert(name.into());
        self.keys.insert(name.into(), key);
        key
    }
}

impl<K: Key> Default for Interner<K> {
    fn default() -> Self {
        Self {
            keys: HashMap::new(),
            names: SlotMap::with_key(),
        }
    }
}
