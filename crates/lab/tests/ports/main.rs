//! Ports of stand-ins while processes are being started. A program of its own: a process inherits the
//! connections of all tests beside it until it runs its program, and they are not closed until then.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

#[allow(
    dead_code,
    reason = "the tests of the endpoint use the rest of the client"
)]
#[path = "../endpoint/client.rs"]
mod client;
mod refused_ports;
