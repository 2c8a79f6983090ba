//! Regenerates the message types of the wire crate from its `.proto` file.
//!
//! Run with `cargo run -p knapweedwall-wiregen` from the root of the workspace.

use std::path::Path;

use snafu::{ResultExt, Whatever};

const PROTO_FILE: &str = "crates/wire/proto/knapweedwall.proto";
const INCLUDE_DIR: &str = "crates/wire/proto";
const OUT_DIR: &str = "crates/wire/src/generated";

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let descriptors = protox::compile([PROTO_FILE], [INCLUDE_DIR])
        .with_whatever_context(|_| format!("failed to compile {PROTO_FILE}"))?;
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(Path::new(OUT_DIR))
        .compile_fds(descriptors)
        .with_whatever_context(|_| format!("failed to generate code in {OUT_DIR}"))
}
