//! Accepts connections from other processes.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::manager::LinkManager;
use super::{events, handshake, session};

/// Delay after a failed accept, for example when too many files are open.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections as long as the link thread runs.
pub(super) async fn run(manager: Rc<LinkManager>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return manager.log_event(&events::accept_failed(&error)),
    };
    let permits = Arc::new(Semaphore::new(manager.settings.limits.accepted));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                manager.log_event(&events::accept_failed(&error));
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let manager = Rc::clone(&manager);
        spawn_local(async move {
            match handshake::accept(&manager, socket).await {
                Ok(established) => {
                    session::run(&manager, established).await;
                }
                Err(error) => {
                    let event = events::handshake_failed(
                        &peer.to_string(),
                        error.code(),
                        error.to_string(),
                    );
                    manager.log_event(&event);
                }
            }
            drop(permit);
        });
    }
}
