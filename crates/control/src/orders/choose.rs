//! Which runner is to load what next.

use derive_more::Display;
use ids::{EndpointId, Incarnation, ModelId, WeightsVersion};
use std::collections::BTreeMap;

/// What a runner is to serve, by the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The runner.
    pub endpoint: EndpointId,
    /// Its model.
    pub model: ModelId,
    /// The weights wanted.
    pub weights: WeightsVersion,
}

/// A runner as it last reported itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// Who.
    pub endpoint: EndpointId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The model it serves.
    pub model: ModelId,
    /// The weights it really serves; absent while it loads, and after a crash.
    pub weights: Option<WeightsVersion>,
    /// Whether it is live and not leaving.
    pub available: bool,
}

impl Runner {
    fn serves(&self, model: &ModelId) -> bool {
        self.available && self.weights.is_some() && self.model == *model
    }
}

/// Why a runner is not made to load what is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Blocked {
    /// It is the last in the failure domain that serves the model, and would serve nothing while it loads.
    #[display("{_0} is the last runner that serves {_1} in this failure domain")]
    LastRunner(EndpointId, ModelId),
}

pub(super) struct Choice {
    pub(super) load: Option<(Assignment, Incarnation)>,
    pub(super) blocked: Vec<Blocked>,
}

/// Runners that serve nothing come first: loading takes nothing from anyone.
pub(super) fn choose(wanted: &[Assignment], runners: &[Runner], busy: &[&EndpointId]) -> Choice {
    let mut blocked = Vec::new();
    let (mut empty, mut serving) = (None, None);
    let by_id: BTreeMap<&EndpointId, &Runner> = runners.iter().map(|runner| (&runner.endpoint, runner)).collect();
    for wanted in wanted.iter().filter(|wanted| !busy.contains(&&wanted.endpoint)) {
        let Some(runner) = by_id.get(&wanted.endpoint).copied() else {
            continue;
        };
        let right = runner.model == wanted.model && runner.weights.as_ref() == Some(&wanted.weights);
        if right || !runner.available {
            continue;
        }
        let load = Some((wanted.clone(), runner.incarnation));
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

/// Whether no other runner serves the model; one that was just ordered to load no longer counts, whatever its last
/// report says.
fn is_last(runner: &Runner, runners: &[Runner], busy: &[&EndpointId]) -> bool {
    let others = runners.iter().filter(|other| other.endpoint != runner.endpoint);
    !others
        .filter(|other| !busy.contains(&&other.endpoint))
        .any(|other| other.serves(&runner.model))
}
