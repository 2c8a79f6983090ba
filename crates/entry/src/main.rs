//! The binary `knapweedwall-entry`.

use std::process::ExitCode;

use clap::Parser;
use knapweedwall_entry::{Args, run};

fn main() -> ExitCode {
    run(Args::parse())
}
