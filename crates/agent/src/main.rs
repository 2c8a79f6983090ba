//! Agent process beside an endpoint.

use clap::Parser;
use knapweedwall_agent::{Options, Result, run};

#[snafu::report]
fn main() -> Result<()> {
    run(Options::parse())
}
