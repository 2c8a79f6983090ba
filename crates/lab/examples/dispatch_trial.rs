//! Prints the figures of the dispatch trial: `cargo run --release --example dispatch_trial`,
//! optionally followed by the name of one scenario.

use std::io;

use knapweedwall_lab::dispatch_trial::write_report;

fn main() -> io::Result<()> {
    let only = std::env::args().nth(1);
    write_report(&mut io::stdout().lock(), only.as_deref())
}
