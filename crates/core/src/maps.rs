//! Hash maps and sets of the decisions.
//!
//! The hash is not seeded at random: the order in which a map is read can decide which task goes
//! first, and a run with the same inputs must decide the same. Job keys are hashes already.

use std::collections::{HashMap, HashSet};

use foldhash::fast::FixedState;

/// A hash map whose order depends on its content only.
pub(crate) type KeyMap<K, V> = HashMap<K, V, FixedState>;

/// A hash set whose order depends on its content only.
pub(crate) type KeySet<K> = HashSet<K, FixedState>;
