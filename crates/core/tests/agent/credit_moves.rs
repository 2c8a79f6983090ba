//! Where credits go.

use std::time::Duration;

use knapweedwall_core::LinkKey;
use knapweedwall_core::agent::{CreditAction, CreditAllocator};
use rstest::rstest;

const A: LinkKey = LinkKey(1);
const B: LinkKey = LinkKey(2);
const C: LinkKey = LinkKey(3);
const NOW: Duration = Duration::from_secs(5);

fn moves(credits: &mut CreditAllocator) -> Vec<CreditAction> {
    let mut out = Vec::new();
    credits.assign(&mut out);
    out
}

/// All slots are in use by tasks of `A`; `A`, `B` and `C` are connected.
fn busy(slots: u32) -> CreditAllocator {
    let mut credits = CreditAllocator::new(slots);
    credits.add_link(A);
    moves(&mut credits);
    for _ in 0..slots {
        assert!(credits.use_credit(A) && credits.occupy_slot());
    }
    credits.add_link(B);
    credits.add_link(C);
    credits
}

#[rstest]
fn idle_credits_are_spread_evenly() {
    let mut credits = CreditAllocator::new(8);
    for link in [A, B, C] {
        credits.add_link(link);
    }
    let out = moves(&mut credits);
    assert_eq!(
        out,
        [
            CreditAction::Grant(A, 3),
            CreditAction::Grant(B, 3),
            CreditAction::Grant(C, 2)
        ]
    );
}

#[rstest]
fn freed_slot_goes_back_without_demand() {
    let mut credits = busy(2);
    credits.release_slot(A);
    assert_eq!(moves(&mut credits), [CreditAction::Grant(A, 1)]);
}

#[rstest]
fn freed_slot_goes_to_the_least_slack() {
    let mut credits = busy(2);
    credits.set_demand(NOW, B, 100, 900);
    credits.set_demand(NOW, C, 1, -20);
    credits.release_slot(A);
    assert_eq!(moves(&mut credits), [CreditAction::Grant(C, 1)]);
    credits.release_slot(A);
    assert_eq!(
        moves(&mut credits),
        [CreditAction::Grant(B, 1)],
        "C's task is covered"
    );
}

/// Guards against a demand told long ago that keeps its old slack.
#[rstest]
fn slack_shrinks_with_time() {
    let mut credits = busy(1);
    credits.set_demand(NOW, B, 1, 900);
    credits.set_demand(NOW + Duration::from_millis(800), C, 1, 500);
    credits.release_slot(A);
    assert_eq!(moves(&mut credits), [CreditAction::Grant(B, 1)]);
}

#[rstest]
fn equal_slack_shares_in_proportion() {
    let mut credits = busy(1);
    let mut to_b = 0;
    for _ in 0..400 {
        credits.set_demand(NOW, B, 300, 100);
        credits.set_demand(NOW, C, 100, 110);
        credits.release_slot(A);
        let CreditAction::Grant(link, 1) = moves(&mut credits)[0] else {
            panic!("one credit is granted");
        };
        to_b += u32::from(link == B);
        assert!(credits.use_credit(link) && credits.occupy_slot());
    }
    assert!((298..=302).contains(&to_b), "B got {to_b} of 400");
}

/// Guards against a frame for each slot that changes its link and soon changes back.
#[rstest]
fn freed_slots_stay_while_shares_are_about_right() {
    let mut credits = busy(4);
    let mut to_b = 0;
    for round in 0..40 {
        credits.set_demand(NOW, A, 100, 100);
        credits.set_demand(NOW, B, 100, 100);
        credits.release_slot(A);
        let CreditAction::Grant(link, 1) = moves(&mut credits)[0] else {
            panic!("one credit is granted");
        };
        assert!(round > 0 || link == A, "the first slot stays");
        to_b += u32::from(link == B);
        assert!(credits.use_credit(link) && credits.occupy_slot());
    }
    assert!((16..=20).contains(&to_b), "B got {to_b} of 40");
}

/// Guards against a link that pays for slots it got while its need was larger.
#[rstest]
fn shares_follow_changed_needs() {
    let mut credits = busy(1);
    let mut grants = Vec::new();
    for round in 0..6000 {
        let (of_b, of_c) = if round < 5900 { (10_000, 1) } else { (50, 50) };
        credits.set_demand(NOW, B, of_b, 100);
        credits.set_demand(NOW, C, of_c, 100);
        credits.release_slot(A);
        let CreditAction::Grant(link, 1) = moves(&mut credits)[0] else {
            panic!("one credit is granted");
        };
        grants.push(link);
        assert!(credits.use_credit(link) && credits.occupy_slot());
    }
    let to_b = grants[5900..].iter().filter(|link| **link == B).count();
    assert!((48..=52).contains(&to_b), "B got {to_b} of 100");
}

/// Guards against a demand that is served again and again while another process waits: a credit
/// that was used does not bring back the demand it was granted for.
#[rstest]
fn grants_use_up_the_demand() {
    let mut credits = busy(5);
    credits.set_demand(NOW, B, 3, 10);
    credits.set_demand(NOW, C, 1, 900);
    for to in [B, B, B, C, A] {
        credits.release_slot(A);
        assert_eq!(moves(&mut credits), [CreditAction::Grant(to, 1)]);
        assert!(credits.use_credit(to) && credits.occupy_slot());
    }
    credits.set_demand(NOW, B, 1, 10);
    credits.release_slot(A);
    assert_eq!(
        moves(&mut credits),
        [CreditAction::Grant(B, 1)],
        "told again"
    );
}

/// Guards against a recall of credits that were granted for tasks and are about to be used.
#[rstest]
fn credits_granted_for_demand_are_not_recalled() {
    let mut credits = busy(1);
    credits.set_demand(NOW, B, 1, 10);
    credits.set_demand(NOW, C, 1, 10);
    credits.release_slot(A);
    assert_eq!(moves(&mut credits), [CreditAction::Grant(B, 1)]);
    assert_eq!(moves(&mut credits), []);
    credits.set_demand(NOW, B, 0, 0);
    assert_eq!(moves(&mut credits), [CreditAction::Recall(B, 1)]);
}

#[rstest]
fn unused_credits_are_recalled_for_demand() {
    let mut credits = CreditAllocator::new(4);
    credits.add_link(A);
    credits.add_link(B);
    moves(&mut credits);
    assert!(
        credits.use_credit(B)
            && credits.occupy_slot()
            && credits.use_credit(B)
            && credits.occupy_slot()
    );
    credits.set_demand(NOW, B, 5, 10);
    assert_eq!(moves(&mut credits), [CreditAction::Recall(A, 2)]);
    assert_eq!(moves(&mut credits), [], "one recall at a time");
    // A had used one of them already.
    credits.return_credits(A, 1);
    assert_eq!(
        moves(&mut credits),
        [CreditAction::Grant(B, 1), CreditAction::Recall(A, 1)]
    );
}

#[rstest]
fn late_joiner_gets_its_share() {
    let mut credits = CreditAllocator::new(8);
    credits.add_link(A);
    moves(&mut credits);
    credits.add_link(B);
    let mut out = Vec::new();
    credits.rebalance(&mut out);
    assert_eq!(out, [CreditAction::Recall(A, 4)]);
    credits.return_credits(A, 4);
    assert_eq!(moves(&mut credits), [CreditAction::Grant(B, 4)]);
}

/// Guards against credits that outlive the slots of an unreachable endpoint.
#[rstest]
fn fewer_slots_recall_credits() {
    let mut credits = CreditAllocator::new(4);
    credits.add_link(A);
    credits.add_link(B);
    moves(&mut credits);
    credits.set_slots(0);
    assert_eq!(
        moves(&mut credits),
        [CreditAction::Recall(A, 2), CreditAction::Recall(B, 2)]
    );
    assert!(credits.use_credit(A));
    assert!(!credits.occupy_slot());
}
