//! The platform inside the test's own process.

use knapweedwall_core::store::Failure;
use knapweedwall_lab::table::{Fault, MemoryPlatform};
use knapweedwall_platform::Platform;
use rstest::rstest;

use crate::fixture::{committed, put_absent, row};

/// Guards against planned faults that report an effect wrongly.
#[rstest]
#[case(Fault::Declined, false, false)]
#[case(Fault::RequestLost, true, false)]
#[case(Fault::ReplyLost, true, true)]
#[tokio::test]
async fn planned_fault(#[case] fault: Fault, #[case] unknown: bool, #[case] applied: bool) {
    let platform = MemoryPlatform::default();
    platform.plan(fault);
    let outcome = platform.call(put_absent("a", b"one")).await;
    assert_eq!(matches!(outcome, Err(Failure::Unknown(_))), unknown);
    assert_eq!(matches!(outcome, Err(Failure::NotApplied(_))), !unknown);
    assert_eq!(row(&platform, "a").await.is_some(), applied);
    committed(platform.call(put_absent("b", b"two")).await);
}
