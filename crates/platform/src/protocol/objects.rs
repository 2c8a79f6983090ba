//! Path, key format and size limit of the object store.

/// Path prefix of objects; followed by the key.
pub const OBJECTS_PATH: &str = "/objects/";

/// Maximum size of an object in bytes.
pub const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// Whether `key` is a valid object key: one or more characters of `A-Z a-z 0-9 . _ : - /`.
#[must_use]
pub fn is_object_key(key: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._:-/".contains(c);
    !key.is_empty() && key.chars().all(allowed)
}
