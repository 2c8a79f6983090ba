//! Where credits go.

use std::time::Duration;

use knapweedwall_core::LinkKey;
use knapweedwall_core::agent::{Credits, Move};
use rstest::rstest;

const A: LinkKey = LinkKey(1);
const B: LinkKey = LinkKey(2);
const C: LinkKey = LinkKey(3);
const NOW: Duration = Duration::from_secs(5);

fn moves(credits: &mut Credits) -> Vec<Move> {
    let mut out = Vec::new();
    credits.assign(&mut out);
    out
}

/// All slots are in use by tasks of `A`; `A`, `B` and `C` are connected.
fn busy(slots: u32) -> Credits {
    let mut credits = Credits::new(slots);
    credits.join(A);
    moves(&mut credits);
    for _ in 0..slots {
        assert!(credits.spend(A) && credits.occupy());
    }
    credits.join(B);
    credits.join(C);
    credits
}

#[rstest]
fn idle_credits_are_spread_evenly() {
    let mut credits = Credits::new(8);
    for link in [A, B, C] {
        credits.join(link);
    }
    let out = moves(&mut credits);
    assert_eq!(
        out,
        [Move::Grant(A, 3), Move::Grant(B, 3), Move::Grant(C, 2)]
    );
}

#[rstest]
fn freed_slot_goes_back_without_demand() {
    let mut credits = busy(2);
    credits.release(A);
    assert_eq!(moves(&mut credits), [Move::Grant(A, 1)]);
}

#[rstest]
fn freed_slot_goes_to_the_least_slack() {
    let mut credits = busy(2);
    credits.demand(NOW, B, 100, 900);
    credits.demand(NOW, C, 1, -20);
    credits.release(A);
    assert_eq!(moves(&mut credits), [Move::Grant(C, 1)]);
    credits.release(A);
    assert_eq!(
        moves(&mut credits),
        [Move::Grant(B, 1)],
        "C's task is covered"
    );
}

/// Guards against a demand told long ago that keeps its old slack.
#[rstest]
fn slack_shrinks_with_time() {
    let mut credits = busy(1);
    credits.demand(NOW, B, 1, 900);
    credits.demand(NOW + Duration::from_millis(800), C, 1, 500);
    credits.release(A);
    assert_eq!(moves(&mut credits), [Move::Grant(B, 1)]);
}

#[rstest]
fn equal_slack_shares_in_proportion() {
    let mut credits = busy(1);
    let mut to_b = 0;
    for _ in 0..400 {
        credits.demand(NOW, B, 300, 100);
        credits.demand(NOW, C, 100, 110);
        credits.release(A);
        let Move::Grant(link, 1) = moves(&mut credits)[0] else {
            panic!("one credit is granted");
        };
        to_b += u32::from(link == B);
        assert!(credits.spend(link) && credits.occupy());
    }
    assert!((298..=302).contains(&to_b), "B got {to_b} of 400");
}

/// Guards against a frame for each slot that changes its link and soon changes back.
#[rstest]
fn freed_slots_stay_while_shares_are_about_right() {
    let mut credits = busy(4);
    let mut to_b = 0;
    for round in 0..40 {
        credits.demand(NOW, A, 100, 100);
        credits.demand(NOW, B, 100, 100);
        credits.release(A);
        let Move::Grant(link, 1) = moves(&mut credits)[0] else {
            panic!("one credit is granted");
        };
        assert!(round > 0 || link == A, "the first slot stays");
        to_b += u32::from(link == B);
        assert!(credits.spend(link) && credits.occupy());
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
        credits.demand(NOW, B, of_b, 100);
        credits.demand(NOW, C, of_c, 100);
        credits.release(A);
        let Move::Grant(link, 1) = moves(&mut credits)[0] else {
            panic!("one credit is granted");
        };
        grants.push(link);
        assert!(credits.spend(link) && credits.occupy());
    }
    let to_b = grants[5900..].iter().filter(|link| **link == B).count();
    assert!((48..=52).contains(&to_b), "B got {to_b} of 100");
}

/// Guards against a demand that is served again and again while another process waits: a credit
/// that was used does not bring back the demand it was granted for.
#[rstest]
fn grants_use_up_the_demand() {
    let mut credits = busy(5);
    credits.demand(NOW, B, 3, 10);
    credits.demand(NOW, C, 1, 900);
    for to in [B, B, B, C, A] {
        credits.release(A);
        assert_eq!(moves(&mut credits), [Move::Grant(to, 1)]);
        assert!(credits.spend(to) && credits.occupy());
    }
    credits.demand(NOW, B, 1, 10);
    credits.release(A);
    assert_eq!(moves(&mut credits), [Move::Grant(B, 1)], "told again");
}

/// Guards against a recall of credits that were granted for tasks and are about to be used.
#[rstest]
fn credits_granted_for_demand_are_not_recalled() {
    let mut credits = busy(1);
    credits.demand(NOW, B, 1, 10);
    credits.demand(NOW, C, 1, 10);
    credits.release(A);
    assert_eq!(moves(&mut credits), [Move::Grant(B, 1)]);
    assert_eq!(moves(&mut credits), []);
    credits.demand(NOW, B, 0, 0);
    assert_eq!(moves(&mut credits), [Move::Recall(B, 1)]);
}

#[rstest]
fn unused_credits_are_recalled_for_demand() {
    let mut credits = Credits::new(4);
    credits.join(A);
    credits.join(B);
    moves(&mut credits);
    assert!(credits.spend(B) && credits.occupy() && credits.spend(B) && credits.occupy());
    credits.demand(NOW, B, 5, 10);
    assert_eq!(moves(&mut credits), [Move::Recall(A, 2)]);
    assert_eq!(moves(&mut credits), [], "one recall at a time");
    // A had used one of them already.
    credits.give_back(A, 1);
    assert_eq!(moves(&mut credits), [Move::Grant(B, 1), Move::Recall(A, 1)]);
}

#[rstest]
fn late_joiner_gets_its_share() {
    let mut credits = Credits::new(8);
    credits.join(A);
    moves(&mut credits);
    credits.join(B);
    let mut out = Vec::new();
    credits.rebalance(&mut out);
    assert_eq!(out, [Move::Recall(A, 4)]);
    credits.give_back(A, 4);
    assert_eq!(moves(&mut credits), [Move::Grant(B, 4)]);
}

/// Guards against credits that outlive the slots of an unreachable endpoint.
#[rstest]
fn fewer_slots_recall_credits() {
    let mut credits = Credits::new(4);
    credits.join(A);
    credits.join(B);
    moves(&mut credits);
    credits.set_slots(0);
    assert_eq!(
        moves(&mut credits),
        [Move::Recall(A, 2), Move::Recall(B, 2)]
    );
    assert!(credits.spend(A));
    assert!(!credits.occupy());
}
