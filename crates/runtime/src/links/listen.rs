//! Accepts connections.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::hub::Hub;
use super::{events, handshake, session};

/// Pause after a failed accept, such as with too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections as long as the thread runs.
pub(super) async fn run(hub: Rc<Hub>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return hub.log(&events::accept_failed(&error)),
    };
    let places = Arc::new(Semaphore::new(hub.settings.limits.accepted));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                hub.log(&events::accept_failed(&error));
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let hub = Rc::clone(&hub);
        spawn_local(async move {
            match handshake::accept(&hub, socket).await {
                Ok(joined) => {
                    session::run(&hub, joined).await;
                }
                Err(error) => {
                    let event = events::refused(&peer.to_string(), error.code(), error.to_string());
                    hub.log(&event);
                }
            }
            drop(place);
        });
    }
}
