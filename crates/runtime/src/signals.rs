//! Signals that ask the process to stop or to read its settings again.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::iterator::Signals;

/// Signals that ask for a stop.
const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];

/// Exit code when a second signal ends the process.
const SECOND_SIGNAL_EXIT_CODE: i32 = 1;

/// Calls `stop` on the first SIGTERM or SIGINT. A second one ends the process at once.
///
/// # Errors
/// The error of the operating system when the handlers cannot be installed.
pub fn spawn(stop: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let armed = Arc::new(AtomicBool::new(false));
    for signal in STOP_SIGNALS {
        // Handlers run in this order: the first signal finds the flag unset and sets it.
        flag::register_conditional_shutdown(signal, SECOND_SIGNAL_EXIT_CODE, Arc::clone(&armed))?;
        flag::register(signal, Arc::clone(&armed))?;
    }
    let mut signals = Signals::new(STOP_SIGNALS)?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            if signals.forever().next().is_some() {
                stop();
            }
        })?;
    Ok(())
}

/// Calls `reload` on each SIGHUP, which does not end the process any more.
///
/// # Errors
/// The error of the operating system when the handler cannot be installed.
pub fn spawn_reload(mut reload: impl FnMut() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGHUP])?;
    thread::Builder::new()
        .name("reload".into())
        .spawn(move || {
            for _ in signals.forever() {
                reload();
            }
        })?;
    Ok(())
}
