//! Credit-based flow control: how many tasks each entry process may start on this worker.
//!
//! One credit stands for one free slot. Granted credits and running tasks together never exceed the
//! slots, except right after the number of slots was lowered; the excess is then recalled.
//!
//! Each grant is subtracted from the demand that its entry process announced. A process whose
//! demand is met gets no further slots ahead of others until it announces its demand again. All
//! grants since the announcement count, not only the credits that are still unused: otherwise each
//! start of a task, which uses a credit, would make the same demand count as unmet again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::peer::LinkKey;

/// Demands whose deadlines are within this time of the earliest one, in milliseconds, share the
/// free slots in proportion to their unmet demand.
const DEADLINE_BAND_MS: i64 = 50;

/// Fixed-point representation of one slot in [`Holder::balance`].
const BALANCE_PER_SLOT: i64 = 1 << 20;

/// A slot freed by a task of a link is granted to the same link again while its balance is less
/// than this many slots below the largest balance. A grant to the same link is sent with the report
/// of the task, while a grant to another link costs an extra frame.
const MAX_BALANCE_GAP_SLOTS: i64 = 4;

/// A credit message to send to an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditAction {
    /// Grants this many credits.
    Grant(LinkKey, u32),
    /// Recalls this many unused credits.
    Recall(LinkKey, u32),
}

/// An entry process that can hold credits.
#[derive(Debug, Default)]
struct Holder {
    /// Credits granted and not yet used.
    granted: u32,
    /// Credits in a recall that the entry process has not answered yet.
    recalled: u32,
    /// Waiting tasks in the last announced demand; 0 if there is no demand.
    waiting: u32,
    /// Waiting tasks for which no credit has been granted since the announcement.
    unmet: u32,
    /// Deadline of the most urgent waiting task, in milliseconds.
    deadline_ms: i64,
    /// Slots freed by its tasks and refused starts since the last assignment.
    freed: u32,
    /// Proportional share of slots minus the slots received; a value of [`BALANCE_PER_SLOT`] stands
    /// for one slot. Negative if more slots than the share were received.
    balance: i64,
    /// Credits granted in the current assignment.
    assigned: u32,
}

impl Holder {
    /// Unused credits that have not been recalled.
    fn recallable(&self) -> u32 {
        self.granted.saturating_sub(self.recalled)
    }
}

/// Allocates free slots as credits to entry processes.
#[derive(Debug)]
pub struct CreditAllocator {
    slots: u32,
    busy: u32,
    holders: BTreeMap<LinkKey, Holder>,
}

impl CreditAllocator {
    /// Creates an allocator without entry processes.
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

    /// Removes an entry process. Its credits become free.
    pub fn remove_link(&mut self, link: LinkKey) {
        self.holders.remove(&link);
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Number of slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of occupied slots.
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

    /// Uses a credit of `link` for a start. Returns `false` if it has none.
    pub fn use_credit(&mut self, link: LinkKey) -> bool {
        let Some(holder) = self.holders.get_mut(&link) else {
            return false;
        };
        let has_credit = holder.granted > 0;
        holder.granted = holder.granted.saturating_sub(1);
        has_credit
    }

    /// Occupies a slot for a run. Returns `false` if all slots are occupied.
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

    /// Records that a start of `link` was refused. The slot of the credit that
    /// [`Self::use_credit`] took for it is free, and is preferably granted to `link` again.
    pub fn record_refused_start(&mut self, link: LinkKey) {
        if let Some(holder) = self.holders.get_mut(&link) {
            holder.freed += 1;
        }
    }

    /// Sets the demand of `link`: tasks that wait for a credit, and the time until their earliest
    /// deadline. 0 waiting tasks end the demand.
    pub fn set_demand(&mut self, now: Duration, link: LinkKey, waiting: u32, slack_ms: i32) {
        let Some(holder) = self.holders.get_mut(&link) else {
            return;
        };
        let now_ms = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        holder.waiting = waiting;
        holder.unmet = waiting;
        holder.deadline_ms = now_ms.saturating_add(i64::from(slack_ms));
    }

    /// Takes back credits that `link` returned, in answer to a recall or unasked.
    pub fn return_credits(&mut self, link: LinkKey, credits: u32) {
        let Some(holder) = self.holders.get_mut(&link) else {
            return;
        };
        holder.granted = holder.granted.saturating_sub(credits);
        holder.recalled = 0;
    }

    /// Grants all free slots as credits, and recalls credits that exceed the slots or that other
    /// links need.
    pub fn assign(&mut self, out: &mut Vec<CreditAction>) {
        if !self.holders.is_empty() {
            self.grant_free_slots();
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

    /// Recalls some credits from the link with the most credits, if no link has demand. Called
    /// about once a second, so that a process that connected late gets its share before it has
    /// tasks.
    pub fn rebalance(&mut self, out: &mut Vec<CreditAction>) {
        if self.holders.values().any(|h| h.waiting > 0) {
            return;
        }
        let Some(least) = self.holders.values().map(|h| h.granted).min() else {
            return;
        };
        let most = self.holders.iter_mut().max_by_key(|(_, h)| h.granted);
        let Some((link, holder)) = most else {
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

    fn grant_free_slots(&mut self) {
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

    /// Picks the link that gets the next slot by its demand: the one with the earliest deadline.
    /// Links with about the same deadline get slots in proportion to their unmet demand, by smooth
    /// weighted round robin.
    fn pick_by_demand(&mut self) -> Option<LinkKey> {
        let with_demand = self.holders.values().filter(|h| h.unmet > 0);
        let earliest = with_demand.map(|h| h.deadline_ms).min()?;
        let latest = earliest.saturating_add(DEADLINE_BAND_MS);
        let competes = |h: &Holder| h.unmet > 0 && h.deadline_ms <= latest;
        let competing = self.holders.values().filter(|h| competes(h));
        let total = competing.map(|h| i64::from(h.unmet)).sum::<i64>();
        let mut best: Option<(i64, LinkKey)> = None;
        for (link, holder) in &mut self.holders {
            if !competes(holder) {
                continue;
            }
            holder.balance += i64::from(holder.unmet) * BALANCE_PER_SLOT / total;
            if best.is_none_or(|(balance, _)| holder.balance > balance) {
                best = Some((holder.balance, *link));
            }
        }
        let (balance, mut link) = best?;
        let keeps_slot = |h: &Holder| {
            h.freed > 0 && balance - h.balance < MAX_BALANCE_GAP_SLOTS * BALANCE_PER_SLOT
        };
        let freed_by = self
            .holders
            .iter()
            .find(|(_, h)| competes(h) && keeps_slot(h));
        if let Some((freed_by, _)) = freed_by {
            link = *freed_by;
        }
        if let Some(holder) = self.holders.get_mut(&link) {
            holder.balance -= BALANCE_PER_SLOT;
        }
        Some(link)
    }

    /// A link whose task freed a slot since the last assignment.
    fn link_with_freed_slot(&self) -> Option<LinkKey> {
        let freed = self.holders.iter().find(|(_, h)| h.freed > 0);
        freed.map(|(link, _)| *link)
    }

    /// Link with the fewest credits.
    fn link_with_fewest_credits(&self) -> Option<LinkKey> {
        let fewest = self.holders.iter().min_by_key(|(_, h)| h.granted);
        fewest.map(|(link, _)| *link)
    }

    /// Recalls the credits that exceed the slots after their number was lowered.
    fn recall_excess(&mut self, out: &mut Vec<CreditAction>) {
        let recalled = self.holders.values().map(|h| h.recalled).sum::<u32>();
        let used = self.busy + self.granted();
        let excess = used.saturating_sub(self.slots).saturating_sub(recalled);
        self.recall(excess, |_| true, out);
    }

    /// Recalls unused credits from links without demand to grant them to links with demand.
    fn recall_for_demand(&mut self, out: &mut Vec<CreditAction>) {
        let need = self.holders.values().map(|h| u64::from(h.unmet));
        let need = u32::try_from(need.sum::<u64>()).unwrap_or(u32::MAX);
        let recalled = self.holders.values().map(|h| h.recalled).sum();
        self.recall(need.saturating_sub(recalled), |h| h.waiting == 0, out);
    }

    /// Recalls up to `credits` from the holders that `is_eligible` accepts and that have no pending
    /// recall.
    fn recall(
        &mut self,
        credits: u32,
        is_eligible: impl Fn(&Holder) -> bool,
        out: &mut Vec<CreditAction>,
    ) {
        let mut remaining = credits;
        for (link, holder) in &mut self.holders {
            if remaining == 0 {
                return;
            }
            if holder.recalled > 0 || !is_eligible(holder) {
                continue;
            }
            let recalled = holder.recallable().min(remaining);
            if recalled == 0 {
                continue;
            }
            holder.recalled = recalled;
            remaining -= recalled;
            out.push(CreditAction::Recall(*link, recalled));
        }
    }
}
