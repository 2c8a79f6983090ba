//! The proxy and its controls.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::pump::{open, pump};
use super::rules::{Direction, Rules};

/// A running proxy; it closes its connections when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    rules: watch::Sender<Rules>,
}

impl Proxy {
    /// Listens on a port that the system chooses and leads connections to `target`.
    ///
    /// # Errors
    /// When the system refuses a listener or a thread.
    pub fn open(target: SocketAddr) -> io::Result<Self> {
        Self::listen(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Listens on `address` and leads connections to `target`.
    ///
    /// # Errors
    /// When the system refuses the listener or a thread.
    pub fn listen(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (rules, receiver) = watch::channel(Rules::default());
        let target = Arc::new(Mutex::new(target));
        let shared = Arc::clone(&target);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::Builder::new().name(format!("proxy-{}", address.port()));
        thread.spawn(move || runtime.block_on(serve(listener, shared, receiver)))?;
        Ok(Self {
            address,
            target,
            rules,
        })
    }

    /// Address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads new connections to another target.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Holds bytes of one direction until [`Proxy::repair`].
    pub fn cut(&self, direction: Direction) {
        self.rules.send_modify(|rules| match direction {
            Direction::Forward => rules.cut_forward = true,
            Direction::Backward => rules.cut_backward = true,
        });
    }

    /// Adds a delay to the way of every byte.
    pub fn delay(&self, delay: Duration) {
        self.rules.send_modify(|rules| rules.delay = delay);
    }

    /// Ends all faults; held bytes are delivered.
    pub fn repair(&self) {
        self.rules.send_modify(|rules| {
            *rules = Rules {
                resets: rules.resets,
                breaks: rules.breaks,
                silences: rules.silences,
                ..Rules::default()
            }
        });
    }

    /// Holds all bytes of the present connections for good; new connections are not concerned.
    pub fn silence(&self) {
        self.rules.send_modify(|rules| rules.silences += 1);
    }

    /// Resets the connecting side of all present connections. The side to the target stays open and
    /// sends nothing until the target closes it or [`Proxy::reset`], so that the target does not notice.
    pub fn break_near(&self) {
        self.rules.send_modify(|rules| rules.breaks += 1);
    }

    /// Resets all present connections (RST on both sides).
    pub fn reset(&self) {
        self.rules.send_modify(|rules| rules.resets += 1);
    }
}

async fn serve(
    listener: StdListener,
    target: Arc<Mutex<SocketAddr>>,
    mut rules: watch::Receiver<Rules>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
                tokio::spawn(connection(client, target, rules.clone()));
            }
            changed = rules.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn connection(mut client: TcpStream, target: SocketAddr, mut rules: watch::Receiver<Rules>) {
    let Rules {
        resets,
        breaks,
        silences,
        ..
    } = *rules.borrow_and_update();
    if open(&mut rules, (Direction::Forward, silences))
        .await
        .is_none()
    {
        return;
    }
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    for stream in [&client, &server] {
        // Without this option the connection is only slower.
        let _ = stream.set_nodelay(true);
    }
    let mut reset = rules.clone();
    tokio::select! {
        () = relay(&mut client, &mut server, silences, &rules) => return,
        _ = reset.wait_for(|rules| (rules.resets, rules.breaks) != (resets, breaks)) => {}
    }
    // Closing a socket that does not linger sends RST; if this fails it sends FIN.
    let _ = client.set_zero_linger();
    drop(client);
    // Answers are read, so that the target does not notice by a full buffer.
    let mut unread = tokio::io::sink();
    tokio::select! {
        _ = tokio::io::copy(&mut server, &mut unread) => {}
        _ = reset.wait_for(|rules| rules.resets != resets) => {}
    }
    let _ = server.set_zero_linger();
}

async fn relay(
    client: &mut TcpStream,
    server: &mut TcpStream,
    silences: u64,
    rules: &watch::Receiver<Rules>,
) {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    tokio::join!(
        pump(
            client_read,
            server_write,
            (Direction::Forward, silences),
            rules.clone()
        ),
        pump(
            server_read,
            client_write,
            (Direction::Backward, silences),
            rules.clone()
        ),
    );
}
