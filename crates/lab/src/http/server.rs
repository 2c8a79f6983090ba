//! A listening address that can refuse connections for a while.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

use super::Gate;
use super::connection::{Handler, serve};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Longest time for which the address of a closed listener may be in use: a process that is being started
/// inherits the listener until it runs its program, seconds later on a busy machine.
const IN_USE_LIMIT: Duration = Duration::from_secs(10);

/// Pause between two attempts to bind the address.
const BIND_PAUSE: Duration = Duration::from_millis(2);

/// A running server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and answers requests by `handler`.
    ///
    /// While `gate` is closed, connections are refused and existing ones are closed; the port
    /// stays reserved.
    ///
    /// # Errors
    /// The error of the system when the address cannot be bound.
    pub fn open<H: Handler>(
        address: SocketAddr,
        handler: Arc<H>,
        gate: Arc<Gate>,
    ) -> io::Result<Self> {
        let listener = reserve(address)?.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(run(address, listener, handler, gate));
        Ok(Self { address, task })
    }

    /// Address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends, which happens when its port cannot be used again.
    pub async fn join(&mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds `address` without listening: connections are refused.
fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Binds the address of a listener that has been closed.
async fn reserve_again(address: SocketAddr) -> io::Result<TcpSocket> {
    let until = Instant::now() + IN_USE_LIMIT;
    loop {
        match reserve(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {
                sleep(BIND_PAUSE).await;
            }
            reserved => return reserved,
        }
    }
}

/// Alternates between accepting and refusing connections.
async fn run<H: Handler>(
    address: SocketAddr,
    mut listener: TcpListener,
    handler: Arc<H>,
    gate: Arc<Gate>,
) {
    loop {
        gate.report(true);
        accept_until_closed(listener, &handler, &gate).await;
        let Ok(socket) = reserve_again(address).await else {
            return;
        };
        gate.report(false);
        gate.wanted(true).await;
        let Ok(next) = socket.listen(BACKLOG) else {
            return;
        };
        listener = next;
    }
}

/// Serves connections until the gate closes, then closes them and the listener.
async fn accept_until_closed<H: Handler>(listener: TcpListener, handler: &Arc<H>, gate: &Gate) {
    let mut connections = JoinSet::new();
    let mut closed = pin!(gate.wanted(false));
    loop {
        tokio::select! {
            () = &mut closed => break,
            accepted = listener.accept() => {
                if let Some(stream) = usable(accepted).await {
                    connections.spawn(serve(stream, Arc::clone(handler)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    connections.shutdown().await;
}

/// The accepted connection; pauses when the process is out of file descriptors.
async fn usable(accepted: io::Result<(TcpStream, SocketAddr)>) -> Option<TcpStream> {
    match accepted {
        Ok((stream, _)) => Some(stream),
        Err(_) => {
            sleep(Duration::from_millis(5)).await;
            None
        }
    }
}
