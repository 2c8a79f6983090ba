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

/// Exit code of a process that is ended by a second stop signal.
const SECOND_SIGNAL_EXIT_CODE: i32 = 1;

/// Calls `stop` on the first SIGTERM or SIGINT. A second one ends the process at once.
///
/// # Errors
/// The error of the operating system if the handlers cannot be installed.
pub fn spawn_stop_handler(stop: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in STOP_SIGNALS {
        // The actions run in the order of registration: the first signal finds the flag unset and
        // sets it, the second one finds it set and ends the process.
        flag::register_conditional_shutdown(
            signal,
            SECOND_SIGNAL_EXIT_CODE,
            Arc::clone(&stop_requested),
        )?;
        flag::register(signal, Arc::clone(&stop_requested))?;
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
