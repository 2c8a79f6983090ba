//! Free ports for processes that are started later.

use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{LazyLock, Mutex, PoisonError};

/// Ports handed out by this process.
static TAKEN: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// Reserves a port on loopback that the system chose.
///
/// One connection is opened and closed from the listener's side. It leaves the port in the state
/// TIME-WAIT, in which the system gives it to nobody who asks for any free port for 60 s, while a
/// listener with `SO_REUSEADDR` (as those of std and tokio) may bind it by number.
///
/// # Errors
/// When the system has no free port.
pub fn reserve() -> io::Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let client = TcpStream::connect(address)?;
        let (accepted, _) = listener.accept()?;
        drop(accepted);
        drop(client);
        let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        if taken.insert(address.port()) {
            return Ok(address);
        }
    }
}
