//! Loads under way: which slot each uses, and when it has ended.

use super::choose::choose;
use super::slots::SlotStep;
use super::{Assignment, Blocked, LONGEST_ORDER, ORDER_EXPIRES, OrderHolder, REPORT_LAG, Step};
use ids::{EndpointId, Fence, Incarnation};
use std::time::Duration;
use wire::engine::{Action, Order};

/// A load that was ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) slot: usize,
    pub(super) incarnation: Incarnation,
    /// Latest time at which it has certainly ended, if no answer came.
    pub(super) until: Duration,
    pub(super) ended: bool,
}

impl OrderHolder {
    /// A load has ended when its answer came, when the runner began a new life, or when it can't run any more.
    pub(super) fn finish_loads(&mut self, now: Duration) {
        for runner in &self.runners {
            if let Some(load) = self.loads.get_mut(&runner.endpoint) {
                load.ended |= load.incarnation != runner.incarnation;
            }
        }
        let (slots, settling) = (&mut self.slots, &mut self.settling);
        self.loads.retain(|endpoint, load| {
            let over = load.ended || now >= load.until;
            if over {
                slots.give_back(load.slot);
                settling.insert(endpoint.clone(), now + REPORT_LAG);
            }
            !over
        });
        self.settling.retain(|_, until| now < *until);
    }

    pub(super) fn give_orders(&mut self, now: Duration, steps: &mut Vec<Step>) {
        let busy: Vec<&EndpointId> = self.loads.keys().chain(self.settling.keys()).collect();
        let choice = choose(&self.wanted, &self.runners, &busy);
        self.report(choice.blocked, steps);
        let Some((wanted, incarnation)) = choice.load else {
            self.return_slots();
            return;
        };
        let Some(fence) = self
            .lease
            .as_ref()
            .filter(|lease| lease.lasts(now))
            .map(|lease| lease.id)
        else {
            return;
        };
        let used: Vec<usize> = self.loads.values().map(|load| load.slot).collect();
        match self.slots.want(&used, now) {
            SlotStep::Wait => {}
            SlotStep::Read => steps.push(Step::ReadSlots(fence)),
            SlotStep::Take(slot) => steps.push(Step::TakeSlot { slot, lease: fence }),
            SlotStep::Have(slot) => {
                let until = now + LONGEST_ORDER;
                self.loads.insert(
                    wanted.endpoint.clone(),
                    Load {
                        slot,
                        incarnation,
                        until,
                        ended: false,
                    },
                );
                steps.push(send(wanted, incarnation, fence));
            }
        }
    }

    /// Slots that were taken and aren't needed after all.
    fn return_slots(&mut self) {
        let used: Vec<usize> = self.loads.values().map(|load| load.slot).collect();
        for slot in self.slots.unused(&used) {
            self.slots.give_back(slot);
        }
    }

    fn report(&mut self, blocked: Vec<Blocked>, steps: &mut Vec<Step>) {
        if blocked == self.blocked {
            return;
        }
        let new = blocked.iter().filter(|reason| !self.blocked.contains(reason));
        steps.extend(new.cloned().map(Step::Report));
        self.blocked = blocked;
    }
}

fn send(wanted: Assignment, incarnation: Incarnation, fence: Fence) -> Step {
    let action = Action::Load {
        model: wanted.model,
        weights: wanted.weights,
        adapter: None,
    };
    let expires_ms = u64::try_from(ORDER_EXPIRES.as_millis()).unwrap_or(u64::MAX);
    Step::Send {
        endpoint: wanted.endpoint,
        order: Order {
            fence,
            expires_ms,
            incarnation,
            action,
        },
    }
}
