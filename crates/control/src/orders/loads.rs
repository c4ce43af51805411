//! Loads in progress: which slot each uses, and when it ends.

use super::choose::choose;
use super::slots::SlotStep;
use super::{Assignment, Blocked, MAX_ORDER_DURATION, MAX_REPORT_LAG, ORDER_EXPIRY, OrderHolder, Step};
use ids::{EndpointId, Fence, Incarnation};
use std::time::Duration;
use wire::engine::{Action, Order};

/// A load that was ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) slot: usize,
    pub(super) incarnation: Incarnation,
    /// Time by which it has ended even if no answer arrives.
    pub(super) until: Duration,
    pub(super) ended: bool,
}

impl OrderHolder {
    /// Removes loads that have ended: those answered, those whose runner restarted, and those past their maximum
    /// duration.
    pub(super) fn finish_loads(&mut self, now: Duration) {
        for runner in &self.runners {
            if let Some(load) = self.loads.get_mut(&runner.endpoint) {
                load.ended |= load.incarnation != runner.incarnation;
            }
        }
        let (slots, awaiting_report) = (&mut self.slots, &mut self.awaiting_report);
        self.loads.retain(|endpoint, load| {
            let ended = load.ended || now >= load.until;
            if ended {
                slots.release(load.slot);
                awaiting_report.insert(endpoint.clone(), now + MAX_REPORT_LAG);
            }
            !ended
        });
        self.awaiting_report.retain(|_, until| now < *until);
    }

    pub(super) fn issue_orders(&mut self, now: Duration, steps: &mut Vec<Step>) {
        let busy: Vec<&EndpointId> = self.loads.keys().chain(self.awaiting_report.keys()).collect();
        let choice = choose(&self.assignments, &self.runners, &busy);
        self.report_blocked(choice.blocked, steps);
        let Some((assignment, incarnation)) = choice.load else {
            self.release_unused_slots();
            return;
        };
        let Some(fence) = self
            .lease
            .as_ref()
            .filter(|lease| lease.permits_orders(now))
            .map(|lease| lease.id)
        else {
            return;
        };
        let used: Vec<usize> = self.loads.values().map(|load| load.slot).collect();
        match self.slots.request(&used, now) {
            SlotStep::Wait => {}
            SlotStep::Read => steps.push(Step::ReadSlots(fence)),
            SlotStep::Take(slot) => steps.push(Step::TakeSlot { slot, lease: fence }),
            SlotStep::Use(slot) => {
                let until = now + MAX_ORDER_DURATION;
                self.loads.insert(
                    assignment.endpoint.clone(),
                    Load {
                        slot,
                        incarnation,
                        until,
                        ended: false,
                    },
                );
                steps.push(load_order(assignment, incarnation, fence));
            }
        }
    }

    /// Releases slots that were taken but are not needed.
    fn release_unused_slots(&mut self) {
        let used: Vec<usize> = self.loads.values().map(|load| load.slot).collect();
        for slot in self.slots.unused(&used) {
            self.slots.release(slot);
        }
    }

    fn report_blocked(&mut self, blocked: Vec<Blocked>, steps: &mut Vec<Step>) {
        if blocked == self.blocked {
            return;
        }
        let new = blocked.iter().filter(|reason| !self.blocked.contains(reason));
        steps.extend(new.cloned().map(Step::Report));
        self.blocked = blocked;
    }
}

fn load_order(assignment: Assignment, incarnation: Incarnation, fence: Fence) -> Step {
    let action = Action::Load {
        model: assignment.model,
        weights: assignment.weights,
        adapter: None,
    };
    let expires_ms = u64::try_from(ORDER_EXPIRY.as_millis()).unwrap_or(u64::MAX);
    Step::Send {
        endpoint: assignment.endpoint,
        order: Order {
            fence,
            expires_ms,
            incarnation,
            action,
        },
    }
}
