//! Digests on which hosts agree without any exchange.

use std::hash::{DefaultHasher, Hash, Hasher as _};

/// Returns a digest of a value. All hosts of the same build compute the same one.
pub fn digest(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
