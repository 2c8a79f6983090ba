//! Carries out the commands of other threads.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use tokio::task::spawn_local;
use tokio::time::timeout;

use super::commands::Commands;
use super::hub::Hub;
use super::live::Ending;
use super::{dial, listen};

/// Runs until [`Commands::finish`] is called.
pub(super) async fn run(hub: Rc<Hub>, listener: Option<TcpListener>, commands: Arc<Commands>) {
    if let Some(listener) = listener {
        spawn_local(listen::run(Rc::clone(&hub), listener));
    }
    for seed in &hub.settings.seeds {
        dial::start(&hub, seed.clone(), dial::Persistence::Always);
    }
    loop {
        let batch = commands.next().await;
        for (link, body) in batch.frames {
            hub.send(link, body);
        }
        for link in batch.overflows {
            hub.end(link, Ending::Lost("command queue full"));
        }
        for (link, code) in batch.closes {
            hub.end(link, Ending::Closed(code));
        }
        for address in batch.addresses {
            dial::start(&hub, address, dial::Persistence::Limited);
        }
        if let Some(limit) = batch.finish {
            hub.end_all();
            let _in_time = timeout(limit, hub.empty()).await;
            return;
        }
    }
}
