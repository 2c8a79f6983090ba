//! Runs the scripts in `scripts`. Each guards the promises under the faults that it names.

use std::path::Path;

use knapweedwall_lab::scenario::Scenario;
use rstest::rstest;

use crate::place;

#[rstest]
#[case("owner-kill")]
#[case("owner-pause")]
#[case("agent-death")]
#[case("store-outage")]
#[case("lost-replies")]
#[case("resubmission")]
#[case("cut-links")]
fn script(#[case] name: &str) {
    let _place = place::take();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/system/scripts");
    let mut scenario = Scenario::open().unwrap();
    goldenscript::run(&mut scenario, path.join(format!("{name}.txt"))).unwrap();
}
