//! Output of the lab.

use std::fmt::Display;
use std::io::{self, Write};

/// Writes a line to the standard output. A closed pipe does not end the run.
pub(super) fn line(text: impl Display) {
    let _ = writeln!(io::stdout().lock(), "{text}");
}

/// Writes a line of progress to the standard error, so that figures can be piped.
pub(super) fn progress(text: impl Display) {
    let _ = writeln!(io::stderr().lock(), "{text}");
}
