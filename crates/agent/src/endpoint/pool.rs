//! Pool of idle connections to the endpoint.

use std::sync::{Mutex, MutexGuard, PoisonError};

use super::connection::Connection;

/// Pool of at most `max_idle` idle connections; connections released beyond that are closed.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    max_idle: usize,
    idle: Mutex<Vec<Connection>>,
}

impl ConnectionPool {
    pub(super) fn new(max_idle: usize) -> Self {
        Self {
            max_idle,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Removes the most recently used connection that can accept a request. Connections that
    /// cannot are closed.
    pub(super) fn acquire(&self) -> Option<Connection> {
        loop {
            let connection = self.lock().pop()?;
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool.
    pub(super) fn release(&self, connection: Connection) {
        let mut idle = self.lock();
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
