//! What a command shows.

use std::io::{self, Write};

use serde_json::Value;

use crate::args::Form;

/// Result of a command in both forms.
#[derive(Debug)]
pub(crate) struct Output {
    /// For programs.
    pub(crate) json: Value,
    /// For people; ends with a line end.
    pub(crate) text: String,
    /// Exit code.
    pub(crate) code: u8,
}

impl Output {
    /// A successful result.
    pub(crate) fn new(json: Value, text: String) -> Self {
        Self {
            json,
            text,
            code: 0,
        }
    }

    /// Writes the result to the standard output.
    pub(crate) fn print(&self, form: Form) -> io::Result<()> {
        let mut out = io::stdout().lock();
        match form {
            Form::Table => out.write_all(self.text.as_bytes()),
            Form::Json => writeln!(out, "{:#}", self.json),
        }
    }
}
