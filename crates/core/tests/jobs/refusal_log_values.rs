//! Guards the values of the log key `refusal`, which differ from the variant names in the code.

use knapweedwall_core::executor::Refusal;
use rstest::rstest;

#[rstest]
#[case(Refusal::Fence, "Fence")]
#[case(Refusal::OldAttempt, "OldAttempt")]
#[case(Refusal::Late, "Late")]
#[case(Refusal::NoRoom, "NoRoom")]
#[case(Refusal::Unhealthy, "Unhealthy")]
#[case(Refusal::WrongInstance, "OtherLife")]
#[case(Refusal::Invalid("status 400".into()), "Invalid(\"status 400\")")]
fn refusals_have_stable_log_values(#[case] refusal: Refusal, #[case] logged: &str) {
    assert_eq!(refusal.to_string(), logged);
}
