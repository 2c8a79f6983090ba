//! Bound on the clusters that run at once.

use std::sync::{Condvar, Mutex, PoisonError};

/// Clusters at once; each is about ten processes.
const CLUSTERS: usize = 3;

static FREE: Mutex<usize> = Mutex::new(CLUSTERS);
static CHANGED: Condvar = Condvar::new();

/// Room for one cluster until it is dropped.
pub struct Place(());

/// Waits until there is room for a cluster.
pub fn take() -> Place {
    let free = FREE.lock().unwrap_or_else(PoisonError::into_inner);
    let free = CHANGED.wait_while(free, |free| *free == 0);
    *free.unwrap_or_else(PoisonError::into_inner) -= 1;
    Place(())
}

impl Drop for Place {
    fn drop(&mut self) {
        *FREE.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        CHANGED.notify_one();
    }
}
