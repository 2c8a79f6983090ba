//! Entry point of `knapweedwall-soak`.

use std::process::ExitCode;

use clap::Parser;
use knapweedwall_lab::soak::{Args, run};

fn main() -> ExitCode {
    run(&Args::parse())
}
