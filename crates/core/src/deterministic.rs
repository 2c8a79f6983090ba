//! Hash maps and sets with a deterministic iteration order.
//!
//! The iteration order of a map can decide which task is scheduled first, and a replay of the same
//! inputs must produce the same decisions. The hasher therefore uses a fixed seed. Job keys are
//! hashes already.

use std::collections::{HashMap, HashSet};

use foldhash::fast::FixedState;

/// Hash map whose iteration order is the same in every run.
pub(crate) type DeterministicMap<K, V> = HashMap<K, V, FixedState>;

/// Hash set whose iteration order is the same in every run.
pub(crate) type DeterministicSet<K> = HashSet<K, FixedState>;
