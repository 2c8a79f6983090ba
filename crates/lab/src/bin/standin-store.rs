//! Stand-in for the platform's table service and object store.

use std::error::Error;

use clap::Parser;
use knapweedwall_lab::process::announce;
use knapweedwall_lab::standin_store::{Options, StandinStore};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let settings = Options::parse().resolve()?;
    let store = StandinStore::open(&settings).await?;
    announce(store.address(), store.control_address())?;
    store.join().await;
    Ok(())
}
