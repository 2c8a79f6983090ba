//! Report that a process is ready.

use std::io::{self, Write};
use std::net::SocketAddr;

/// Prints `listening ADDRESS` and `control ADDRESS` on standard output.
///
/// # Errors
/// The error of the system when standard output cannot be written.
pub fn announce(listening: SocketAddr, control: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening {listening}")?;
    writeln!(out, "control {control}")?;
    out.flush()
}
