//! Free ports for processes that are started later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpSocket;

/// A port on loopback that nobody else gets as long as this value lives.
///
/// The socket is bound and never listens. With `SO_REUSEADDR` on both, a listener may bind the same
/// port by its number, also again after a restart, while the system gives the port to nobody who
/// asks for any free one.
#[derive(Debug)]
pub struct Port {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl Port {
    /// Reserves a port that the system chose.
    ///
    /// # Errors
    /// When the system has no free port.
    pub fn reserve() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = socket.local_addr()?;
        Ok(Self {
            address,
            _socket: socket,
        })
    }

    /// Its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
