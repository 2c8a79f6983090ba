//! Handlers for the signals that stop the process or reload its settings.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::iterator::Signals;

/// Signals that stop the process.
const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];

/// Exit code of a process that is ended by a second SIGINT.
const INTERRUPTED_EXIT_CODE: i32 = 1;

/// Calls `stop` on the first SIGTERM or SIGINT. A second SIGINT ends the process at once. Further SIGTERMs do
/// nothing: supervisors repeat them, and requests that the process has accepted must not be cut off by that.
///
/// # Errors
/// The error of the operating system if the handlers cannot be installed.
pub fn spawn_stop_handler(stop: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let interrupted = Arc::new(AtomicBool::new(false));
    // The actions run in the order of registration: the first SIGINT finds the flag unset and sets it, the
    // second one finds it set and ends the process.
    flag::register_conditional_shutdown(SIGINT, INTERRUPTED_EXIT_CODE, Arc::clone(&interrupted))?;
    flag::register(SIGINT, interrupted)?;
    let mut signals = Signals::new(STOP_SIGNALS)?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            let mut stop = Some(stop);
            for _ in signals.forever() {
                if let Some(stop) = stop.take() {
                    stop();
                }
            }
        })?;
    Ok(())
}

/// Calls `reload` on each SIGHUP, which no longer ends the process.
///
/// # Errors
/// The error of the operating system if the handler cannot be installed.
pub fn spawn_reload_handler(mut reload: impl FnMut() + Send + 'static) -> io::Result<()> {
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
