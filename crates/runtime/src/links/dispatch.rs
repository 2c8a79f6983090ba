//! Main loop of the link thread: executes the commands of other threads.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use tokio::task::spawn_local;
use tokio::time::timeout;

use super::command_queue::CommandQueue;
use super::link::CloseReason;
use super::manager::LinkManager;
use super::{dial, listen};

/// Runs until [`CommandQueue::shutdown`] is called.
pub(super) async fn run(
    manager: Rc<LinkManager>,
    listener: Option<TcpListener>,
    commands: Arc<CommandQueue>,
) {
    if let Some(listener) = listener {
        spawn_local(listen::run(Rc::clone(&manager), listener));
    }
    for seed in &manager.settings.seeds {
        dial::start(&manager, seed.clone(), dial::RetryPolicy::Forever);
    }
    loop {
        let batch = commands.next().await;
        for (link, body) in batch.frames {
            manager.send(link, body);
        }
        for link in batch.overflows {
            manager.close(link, CloseReason::Lost("command queue full"));
        }
        for (link, code) in batch.closes {
            manager.close(link, CloseReason::Closed(code));
        }
        for address in batch.addresses {
            dial::start(&manager, address, dial::RetryPolicy::Limited);
        }
        if let Some(shutdown_timeout) = batch.shutdown {
            manager.close_all();
            let _flushed = timeout(shutdown_timeout, manager.wait_until_empty()).await;
            return;
        }
    }
}
