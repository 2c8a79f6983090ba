//! Hash maps and sets with a deterministic iteration order.
//!
//! The iteration order of a map can decide which task is scheduled first, and a replay of the same
//! inputs must produce the same decisions. The hasher therefore uses a fixed seed. A fast hasher
//! suffices for the keys: short strings, integers, and job keys, which are hashes themselves.

use std::collections::{HashMap, HashSet};

use foldhash::fast::FixedState;

/// Hash map whose iteration order depends only on the operations on it, not on the process.
pub(crate) type DeterministicMap<K, V> = HashMap<K, V, FixedState>;

/// Hash set whose iteration order depends only on the operations on it, not on the process.
pub(crate) type DeterministicSet<K> = HashSet<K, FixedState>;
