//! Properties of credits under any order of events.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedwall_core::LinkKey;
use knapweedwall_core::agent::{CreditAction, CreditAllocator};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Join(u64),
    Leave(u64),
    Start(u64),
    End(usize),
    Demand(u64, u32, i32),
    Return(u64, u32),
    Rebalance,
}

fn step() -> impl Strategy<Value = Step> {
    let link = 0..4_u64;
    prop_oneof![
        1 => link.clone().prop_map(Step::Join),
        1 => link.clone().prop_map(Step::Leave),
        6 => link.clone().prop_map(Step::Start),
        5 => (0..8_usize).prop_map(Step::End),
        3 => (link.clone(), 0..6_u32, -100..500_i32).prop_map(|(l, w, s)| Step::Demand(l, w, s)),
        3 => (link, 0..4_u32).prop_map(|(l, n)| Step::Return(l, n)),
        1 => Just(Step::Rebalance),
    ]
}

/// Credits as the entry processes hold them, and running tasks by the link that started them.
#[derive(Default)]
struct Model {
    held: BTreeMap<LinkKey, u32>,
    waiting: BTreeMap<LinkKey, u32>,
    /// Told tasks for which no credit has been granted since.
    unmet: BTreeMap<LinkKey, u32>,
    recalled: BTreeMap<LinkKey, u32>,
    /// Whether the last assignment granted more to a link than it had told.
    undemanded: bool,
    running: Vec<LinkKey>,
}

impl Model {
    fn apply(&mut self, credits: &mut CreditAllocator, step: &Step, out: &mut Vec<CreditAction>) {
        match *step {
            Step::Join(n) => {
                credits.add_link(LinkKey(n));
                self.held.entry(LinkKey(n)).or_default();
            }
            Step::Leave(n) => {
                let link = LinkKey(n);
                credits.remove_link(link);
                self.held.remove(&link);
                self.waiting.remove(&link);
                self.unmet.remove(&link);
                self.recalled.remove(&link);
            }
            Step::Start(n) => self.start(credits, LinkKey(n)),
            Step::End(n) if n < self.running.len() => {
                credits.release_slot(self.running.swap_remove(n));
            }
            Step::End(_) => {}
            Step::Demand(n, waiting, slack) => {
                credits.set_demand(Duration::from_secs(9), LinkKey(n), waiting, slack);
                if self.held.contains_key(&LinkKey(n)) {
                    self.waiting.insert(LinkKey(n), waiting);
                    self.unmet.insert(LinkKey(n), waiting);
                }
            }
            Step::Return(n, most) => {
                let link = LinkKey(n);
                if let Some(recalled) = self.recalled.remove(&link) {
                    let held = self.held.get_mut(&link).unwrap();
                    let back = recalled.min(most).min(*held);
                    *held -= back;
                    credits.return_credits(link, back);
                }
            }
            Step::Rebalance => credits.rebalance(out),
        }
    }

    fn start(&mut self, credits: &mut CreditAllocator, link: LinkKey) {
        let spent = credits.use_credit(link);
        let held = self.held.get(&link).is_some_and(|n| *n > 0);
        assert_eq!(
            spent, held,
            "a held credit is good for a start, and only one"
        );
        if spent {
            *self.held.get_mut(&link).unwrap() -= 1;
            assert!(credits.occupy_slot(), "a credit is a free slot");
            self.running.push(link);
        }
    }

    fn take(&mut self, step: &CreditAction) {
        match *step {
            CreditAction::Grant(link, n) => {
                *self.held.get_mut(&link).unwrap() += n;
                let unmet = self.unmet.entry(link).or_default();
                self.undemanded |= n > *unmet;
                *unmet = unmet.saturating_sub(n);
            }
            CreditAction::Recall(link, n) => {
                let before = self.recalled.insert(link, n);
                assert_eq!(before, None, "one recall at a time");
            }
        }
    }

    fn check(&self, credits: &CreditAllocator, slots: u32) {
        let held = self.held.values().sum::<u32>();
        let running = u32::try_from(self.running.len()).unwrap();
        assert_eq!(credits.busy(), running);
        assert_eq!(credits.granted(), held);
        assert!(
            held + running <= slots,
            "granted and running exceed the slots"
        );
        if !self.held.is_empty() {
            assert_eq!(held + running, slots, "a free slot is granted to nobody");
        }
    }

    /// Any demand that unused credits of others could serve has recalls under way.
    fn check_demand(&self) {
        let need = self.unmet.values().sum::<u32>();
        let mut spare = 0;
        for (link, held) in &self.held {
            let waiting = self.waiting.get(link).copied().unwrap_or(0);
            if waiting == 0 && !self.recalled.contains_key(link) {
                spare += held;
            }
        }
        let recalled = self.recalled.values().sum::<u32>();
        assert!(
            need == 0 || !self.undemanded,
            "credits are granted without demand while {need} tasks wait"
        );
        let served = need <= recalled || spare == 0;
        assert!(served, "need {need}, recalled {recalled}, spare {spare}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against more grants than slots, lost credits and demand that nobody serves.
    #[test]
    fn credits_are_kept_and_demand_is_served(
        slots in 1..9_u32,
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut credits = CreditAllocator::new(slots);
        let mut model = Model::default();
        for step in steps {
            let mut out = Vec::new();
            model.apply(&mut credits, &step, &mut out);
            credits.assign(&mut out);
            model.undemanded = false;
            for step in &out {
                model.take(step);
            }
            model.check(&credits, slots);
            model.check_demand();
        }
    }
}
