//! Paths and limits of the object store.

/// Path in front of an object's key.
pub const OBJECTS_PATH: &str = "/objects/";

/// Largest object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// Whether `key` can name an object: characters of `A-Z a-z 0-9 . _ : - /`, at least one.
#[must_use]
pub fn is_object_key(key: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._:-/".contains(c);
    !key.is_empty() && key.chars().all(allowed)
}
