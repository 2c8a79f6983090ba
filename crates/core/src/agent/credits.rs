//! Slot credits: which entry process may start how many tasks here.
//!
//! One credit is one free slot. Granted credits and running tasks together never exceed the
//! slots, except right after the number of slots was lowered; the excess is then recalled.
//!
//! Each grant counts against the demand that its entry process told. One whose demand is used up
//! gets no more slots ahead of others until it tells its demand again; counting its unused credits
//! instead would serve the same demand anew after every start.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::peer::LinkKey;

/// Demands whose due times differ by less than this share slots in proportion to their waiting
/// tasks, in milliseconds.
const SLACK_BAND_MS: i64 = 50;

/// One slot in the share counters of the proportional choice.
const SHARE_UNIT: i64 = 1 << 20;

/// Slots by which a link may get ahead of its share before a slot that its own task freed goes to
/// another link: a slot that stays is granted with the report, one that moves costs a frame.
const AHEAD_SLOTS: i64 = 4;

/// A credit that goes to or is asked back from an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditAction {
    /// Grants this many credits.
    Grant(LinkKey, u32),
    /// Asks for this many unused credits back.
    Recall(LinkKey, u32),
}

/// An entry process that can hold credits.
#[derive(Debug, Default)]
struct Holder {
    /// Credits granted and not yet used.
    granted: u32,
    /// Credits asked back and not yet answered.
    recalled: u32,
    /// Tasks that wait for a credit, as last told; 0 when it has no demand.
    waiting: u32,
    /// Those of them for which no credit has been granted since.
    unmet: u32,
    /// Time at which the most urgent of them misses its target, in milliseconds.
    due_ms: i64,
    /// Slots that its tasks freed since the last assignment.
    freed: u32,
    /// Slots that its need entitled it to beyond those it got, in units of [`SHARE_UNIT`].
    share: i64,
    /// Credits of the assignment being made.
    assigned: u32,
}

impl Holder {
    /// Unused credits that have not been asked back.
    fn spare(&self) -> u32 {
        self.granted.saturating_sub(self.recalled)
    }
}

/// Slots, credits and demand.
#[derive(Debug)]
pub struct CreditAllocator {
    slots: u32,
    busy: u32,
    holders: BTreeMap<LinkKey, Holder>,
}

impl CreditAllocator {
    /// No holder, nothing granted.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            busy: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Adds an entry process.
    pub fn add_link(&mut self, link: LinkKey) {
        self.holders.entry(link).or_default();
    }

    /// Removes an entry process; its credits are free again.
    pub fn remove_link(&mut self, link: LinkKey) {
        self.holders.remove(&link);
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Slots in use.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Credits granted to all entry processes.
    #[must_use]
    pub fn granted(&self) -> u32 {
        self.holders.values().map(|h| h.granted).sum()
    }

    /// Credits granted to one entry process.
    #[must_use]
    pub fn granted_to(&self, link: LinkKey) -> u32 {
        self.holders.get(&link).map_or(0, |h| h.granted)
    }

    /// Uses a credit of `link` for a start; `false` when it has none.
    pub fn use_credit(&mut self, link: LinkKey) -> bool {
        let Some(holder) = self.holders.get_mut(&link) else {
            return false;
        };
        let spent = holder.granted > 0;
        holder.granted = holder.granted.saturating_sub(1);
        spent
    }

    /// Takes a slot for a run; `false` when all are in use.
    pub fn occupy_slot(&mut self) -> bool {
        let free = self.busy < self.slots;
        self.busy += u32::from(free);
        free
    }

    /// Frees the slot of a run that `link` started.
    pub fn release_slot(&mut self, link: LinkKey) {
        self.busy = self.busy.saturating_sub(1);
        if let Some(holder) = self.holders.get_mut(&link) {
            holder.freed += 1;
        }
    }

    /// Takes back the credit that a refused start of `link` used.
    pub fn reclaim_refused(&mut self, link: LinkKey) {
        if let Some(holder) = self.holders.get_mut(&link) {
            holder.freed += 1;
        }
    }

    /// Notes that `link` has tasks that wait without a credit; `waiting` = 0 ends the demand.
    pub fn set_demand(&mut self, now: Duration, link: LinkKey, waiting: u32, slack_ms: i32) {
        let Some(holder) = self.holders.get_mut(&link) else {
            return;
        };
        let now_ms = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        holder.waiting = waiting;
        holder.unmet = waiting;
        holder.due_ms = now_ms.saturating_add(i64::from(slack_ms));
    }

    /// Takes credits back that `link` returned, in answer to a recall or by itself.
    pub fn return_credits(&mut self, link: LinkKey, credits: u32) {
        let Some(holder) = self.holders.get_mut(&link) else {
            return;
        };
        holder.granted = holder.granted.saturating_sub(credits);
        holder.recalled = 0;
    }

    /// Grants all free slots and recalls credits that are needed elsewhere.
    pub fn assign(&mut self, out: &mut Vec<CreditAction>) {
        if !self.holders.is_empty() {
            self.grant_free();
        }
        for (link, holder) in &mut self.holders {
            holder.freed = 0;
            if holder.assigned > 0 {
                out.push(CreditAction::Grant(*link, holder.assigned));
                holder.assigned = 0;
            }
        }
        self.recall_excess(out);
        self.recall_for_demand(out);
    }

    /// Asks holders of many unused credits for some of them, when nobody has demand. Called about
    /// once a second, so that a process that connected late gets its share before it has tasks.
    pub fn rebalance(&mut self, out: &mut Vec<CreditAction>) {
        if self.holders.values().any(|h| h.waiting > 0) {
            return;
        }
        let Some(least) = self.holders.values().map(|h| h.granted).min() else {
            return;
        };
        let richest = self.holders.iter_mut().max_by_key(|(_, h)| h.granted);
        let Some((link, holder)) = richest else {
            return;
        };
        let surplus = (holder.granted - least) / 2;
        if surplus > 0 && holder.recalled == 0 {
            holder.recalled = surplus;
            out.push(CreditAction::Recall(*link, surplus));
        }
    }

    fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.busy + self.granted())
    }

    fn grant_free(&mut self) {
        for _ in 0..self.free_slots() {
            let link = self
                .pick_by_demand()
                .or_else(|| self.link_with_freed_slot());
            let Some(link) = link.or_else(|| self.link_with_fewest_credits()) else {
                return;
            };
            if let Some(holder) = self.holders.get_mut(&link) {
                holder.granted += 1;
                holder.unmet = holder.unmet.saturating_sub(1);
                holder.assigned += 1;
                holder.freed = holder.freed.saturating_sub(1);
            }
        }
    }

    /// Link with demand that gets the next slot: the one with the earliest due time, or, among
    /// those due at about the same time, each in proportion to its need (smooth weighted
    /// round robin).
    fn pick_by_demand(&mut self) -> Option<LinkKey> {
        let needy = self.holders.values().filter(|h| h.unmet > 0);
        let earliest = needy.map(|h| h.due_ms).min()?;
        let latest = earliest.saturating_add(SLACK_BAND_MS);
        let competes = |h: &Holder| h.unmet > 0 && h.due_ms <= latest;
        let needs = self.holders.values().filter(|h| competes(h));
        let total = needs.map(|h| i64::from(h.unmet)).sum::<i64>();
        let mut best: Option<(i64, LinkKey)> = None;
        for (link, holder) in &mut self.holders {
            if !competes(holder) {
                continue;
            }
            holder.share += i64::from(holder.unmet) * SHARE_UNIT / total;
            if best.is_none_or(|(share, _)| holder.share > share) {
                best = Some((holder.share, *link));
            }
        }
        let (share, mut link) = best?;
        let stays = |h: &Holder| h.freed > 0 && share - h.share < AHEAD_SLOTS * SHARE_UNIT;
        let stay = self.holders.iter().find(|(_, h)| competes(h) && stays(h));
        if let Some((home, _)) = stay {
            link = *home;
        }
        if let Some(holder) = self.holders.get_mut(&link) {
            holder.share -= SHARE_UNIT;
        }
        Some(link)
    }

    /// Link whose task freed a slot.
    fn link_with_freed_slot(&self) -> Option<LinkKey> {
        let freed = self.holders.iter().find(|(_, h)| h.freed > 0);
        freed.map(|(link, _)| *link)
    }

    /// Link with the fewest credits.
    fn link_with_fewest_credits(&self) -> Option<LinkKey> {
        let poorest = self.holders.iter().min_by_key(|(_, h)| h.granted);
        poorest.map(|(link, _)| *link)
    }

    /// Recalls what exceeds the slots after their number was lowered.
    fn recall_excess(&mut self, out: &mut Vec<CreditAction>) {
        let recalled = self.holders.values().map(|h| h.recalled).sum::<u32>();
        let used = self.busy + self.granted();
        let excess = used.saturating_sub(self.slots).saturating_sub(recalled);
        self.recall(excess, |_| true, out);
    }

    /// Recalls unused credits from holders without demand for those with demand.
    fn recall_for_demand(&mut self, out: &mut Vec<CreditAction>) {
        let need = self.holders.values().map(|h| u64::from(h.unmet));
        let need = u32::try_from(need.sum::<u64>()).unwrap_or(u32::MAX);
        let recalled = self.holders.values().map(|h| h.recalled).sum();
        self.recall(need.saturating_sub(recalled), |h| h.waiting == 0, out);
    }

    /// Recalls up to `credits` from the holders that `from` accepts, one recall at a time each.
    fn recall(
        &mut self,
        credits: u32,
        from: impl Fn(&Holder) -> bool,
        out: &mut Vec<CreditAction>,
    ) {
        let mut left = credits;
        for (link, holder) in &mut self.holders {
            if left == 0 {
                return;
            }
            if holder.recalled > 0 || !from(holder) {
                continue;
            }
            let share = holder.spare().min(left);
            if share == 0 {
                continue;
            }
            holder.recalled = share;
            left -= share;
            out.push(CreditAction::Recall(*link, share));
        }
    }
}
