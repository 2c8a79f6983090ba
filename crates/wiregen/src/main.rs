//! Regenerates the message types of the wire crate from its `.proto` file.
//!
//! Run with `cargo run -p knapweedwall-wiregen` from the root of the workspace.

use std::path::Path;

use snafu::{ResultExt, Whatever};

const PROTO: &str = "crates/wire/proto/knapweedwall.proto";
const OUT_DIR: &str = "crates/wire/src/generated";

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let files = protox::compile([PROTO], ["crates/wire/proto"])
        .with_whatever_context(|_| format!("{PROTO} does not compile"))?;
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(Path::new(OUT_DIR))
        .compile_fds(files)
        .with_whatever_context(|_| format!("{OUT_DIR} cannot be written"))
}
