//! Entry point of `knapweedctl`.

use std::process::ExitCode;

use clap::Parser;
use knapweedwall_cli::{Args, run};

fn main() -> ExitCode {
    run(&Args::parse())
}
