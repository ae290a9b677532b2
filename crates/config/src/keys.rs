//! Workspace keys of the form `wk_NAME_SECRET`, where the name is public.

use rand::Rng as _;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;
use wasabi_core::{
    errors::{Code, Error, Result},
    units::KeyId,
};

const PREFIX: &str = "wk_";
/// The length of a secret, and of a SHA-256 digest.
const SECRET_BYTES: usize = 32;

/// A new key; its secret is shown to the operator once and not stored.
pub struct NewKey {
    /// The public part of the key.
    pub name: KeyId,
    /// The whole key, as callers send it.
    pub secret: String,
    /// The digest for the release note.
    pub digest: String,
}

/// Generates a key with a secret of 256 random bits.
pub fn fresh() -> NewKey {
    let mut rng = rand::rng();
    let name = format!("k{:016x}", rng.random::<u64>());
    let random: [u8; SECRET_BYTES] = rng.random();
    let secret = format!("{PREFIX}{name}_{}", hex::encode(random));
    let digest = digest(&secret);
    NewKey { name: name.parse().expect("hexadecimal digits are a name"), secret, digest }
}

/// Returns the SHA-256 digest of a whole key in lower-case hexadecimal digits.
pub fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Returns the public part of a whole key; fails with `KeyUnknown` if the key is malformed.
pub fn name(key: &str) -> Result<KeyId> {
    let unknown = || Error::new(Code::KeyUnknown, "");
    let rest = key.strip_prefix(PREFIX).ok_or_else(unknown)?;
    let (name, _) = rest.rsplit_once('_').ok_or_else(unknown)?;
    name.parse().map_err(|_| unknown())
}

/// Returns whether a whole key has the digest `expected`; the comparison takes constant time.
pub fn matches(key: &str, expected: &str) -> bool {
    digest(key).as_bytes().ct_eq(expected.as_bytes()).into()
}

/// Returns whether `text` is a SHA-256 digest in lower-case hexadecimal digits.
pub fn is_digest(text: &str) -> bool {
    hex::decode(text).is_ok_and(|bytes| bytes.len() == SECRET_BYTES) && text == text.to_lowercase()
}
