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
    credits.demand(NOW, B, 300, 100);
    credits.demand(NOW, C, 100, 110);
    let mut to_b = 0;
    for _ in 0..400 {
        credits.release(A);
        let Move::Grant(link, 1) = moves(&mut credits)[0] else {
            panic!("one credit is granted");
        };
        to_b += u32::from(link == B);
        assert!(credits.spend(link) && credits.occupy());
    }
    assert!((298..=302).contains(&to_b), "B got {to_b} of 400");
}

/// Guards against a link that pays for slots it got while its need was larger.
#[rstest]
fn shares_follow_changed_needs() {
    let mut credits = busy(1);
    credits.demand(NOW, B, 10_000, 100);
    credits.demand(NOW, C, 1, 100);
    let mut grants = Vec::new();
    for round in 0..6000 {
        if round == 5900 {
            credits.demand(NOW, B, 50, 100);
            credits.demand(NOW, C, 50, 100);
        }
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
