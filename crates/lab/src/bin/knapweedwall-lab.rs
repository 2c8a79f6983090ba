//! Entry point of `knapweedwall-lab`.

use std::process::ExitCode;

use clap::Parser;
use knapweedwall_lab::lab::{Args, run};

fn main() -> ExitCode {
    run(&Args::parse())
}
