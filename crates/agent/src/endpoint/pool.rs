//! Idle connections to the endpoint.

use std::sync::{Mutex, PoisonError};

use super::connection::Connection;

/// Idle connections, at most one for each slot; a connection beyond that is closed.
#[derive(Debug)]
pub(super) struct Pool {
    limit: usize,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// The connection that was used last among those that can take a request. Others are closed.
    pub(super) fn take(&self) -> Option<Connection> {
        loop {
            let connection = self.lock().pop()?;
            if connection.is_clean() {
                return Some(connection);
            }
        }
    }

    pub(super) fn put(&self, connection: Connection) {
        let mut idle = self.lock();
        if idle.len() < self.limit {
            idle.push(connection);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
