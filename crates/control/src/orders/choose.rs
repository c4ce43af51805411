//! Chooses the next runner to load weights.

use derive_more::Display;
use ids::{EndpointId, Incarnation, ModelId, WeightsVersion};
use std::collections::BTreeMap;

/// What a runner should serve according to the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The runner.
    pub endpoint: EndpointId,
    /// Its model.
    pub model: ModelId,
    /// Its target weights.
    pub weights: WeightsVersion,
}

/// A runner's state as last reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// The runner.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The model it serves.
    pub model: ModelId,
    /// The weights it currently serves. Absent while it loads and after a crash.
    pub weights: Option<WeightsVersion>,
    /// Whether it is live and not draining.
    pub available: bool,
}

impl Runner {
    fn serves(&self, model: &ModelId) -> bool {
        self.available && self.weights.is_some() && self.model == *model
    }
}

/// Why a runner is not ordered to load its assignment.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Blocked {
    /// It is the last runner that serves the model in the failure domain, and would not serve it while loading.
    #[display("{_0} is the last runner that serves {_1} in this failure domain")]
    LastRunner(EndpointId, ModelId),
}

pub(super) struct Choice {
    pub(super) load: Option<(Assignment, Incarnation)>,
    pub(super) blocked: Vec<Blocked>,
}

/// Prefers runners that serve nothing, because loading them removes no capacity.
pub(super) fn choose(assignments: &[Assignment], runners: &[Runner], busy: &[&EndpointId]) -> Choice {
    let mut blocked = Vec::new();
    let (mut empty, mut serving) = (None, None);
    let by_id: BTreeMap<&EndpointId, &Runner> = runners.iter().map(|runner| (&runner.endpoint, runner)).collect();
    for assignment in assignments
        .iter()
        .filter(|assignment| !busy.contains(&&assignment.endpoint))
    {
        let Some(runner) = by_id.get(&assignment.endpoint).copied() else {
            continue;
        };
        let up_to_date = runner.model == assignment.model && runner.weights.as_ref() == Some(&assignment.weights);
        if up_to_date || !runner.available {
            continue;
        }
        let load = Some((assignment.clone(), runner.incarnation));
        if runner.weights.is_none() {
            empty = empty.or(load);
        } else if is_last(runner, runners, busy) {
            blocked.push(Blocked::LastRunner(runner.endpoint.clone(), runner.model.clone()));
        } else {
            serving = serving.or(load);
        }
    }
    Choice {
        load: empty.or(serving),
        blocked,
    }
}

/// Whether no other runner serves the model. A runner that was just ordered to load does not count, whatever its last
/// report says.
fn is_last(runner: &Runner, runners: &[Runner], busy: &[&EndpointId]) -> bool {
    let others = runners.iter().filter(|other| other.endpoint != runner.endpoint);
    !others
        .filter(|other| !busy.contains(&&other.endpoint))
        .any(|other| other.serves(&runner.model))
}
