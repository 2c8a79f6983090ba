//! Stand-in for an endpoint that runs tasks.

use std::error::Error;

use clap::Parser;
use knapweedwall_lab::process::announce;
use knapweedwall_lab::standin_endpoint::{Options, StandinEndpoint};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let settings = Options::parse().resolve()?;
    let endpoint = StandinEndpoint::open(&settings).await?;
    announce(endpoint.address(), endpoint.control_address())?;
    endpoint.join().await;
    Ok(())
}
