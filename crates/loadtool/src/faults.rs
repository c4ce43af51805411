//! Generates the fault schedule from a seed, in advance. Does no I/O and reads no clock.

use crate::scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::time::Duration;
use wire::{engine, platform, service};

/// Share of the run at its end without new faults, so that lasting effects of faults are visible.
const QUIET_SHARE: f64 = 0.15;
const MIN_DURATION_S: f64 = 0.5;
const MAX_DURATION_S: f64 = 3.0;
const KINDS: u32 = 14;

/// A scheduled change of a fault.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fault {
    /// Time since the start.
    pub at: Duration,
    /// The action.
    pub what: Action,
}

/// A fault action on one process, identified by its number.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Action {
    /// Sets faults of an engine.
    Engine(usize, engine::Fault),
    /// Sets faults of a runner.
    Runner(usize, service::Fault),
    /// Sets faults of the platform.
    Platform(platform::Fault),
    /// Kills a router and restarts it.
    Router(usize),
}

/// Generates the faults of a run, about one per `interval` seconds, ordered by time.
pub fn schedule(scenario: &Scenario, seed: u64, seconds: f64, interval: f64) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
    let mut all = Vec::new();
    let last = seconds * (1.0 - QUIET_SHARE);
    let mut at = interval;
    while at + MAX_DURATION_S < last {
        let length = random.random_range(MIN_DURATION_S..MAX_DURATION_S);
        let (on, off) = draw(&mut random, scenario);
        all.push(Fault {
            at: Duration::from_secs_f64(at),
            what: on,
        });
        all.extend(off.map(|what| Fault {
            at: Duration::from_secs_f64(at + length),
            what,
        }));
        at += interval * random.random_range(0.5..1.5);
    }
    all.sort_by_key(|fault| fault.at);
    all
}

/// Draws a fault, and the action that ends it if it doesn't end by itself.
fn draw(random: &mut ChaCha8Rng, scenario: &Scenario) -> (Action, Option<Action>) {
    let engine = random.random_range(0..scenario.engines.count);
    let runner = random.random_range(0..scenario.service.count);
    let router = random.random_range(0..scenario.routers);
    let count = random.random_range(1..4);
    let at_engine = |fault| Action::Engine(engine, fault);
    let at_runner = |fault| Action::Runner(runner, fault);
    let hang = |on| engine::Fault {
        hang: Some(on),
        ..Default::default()
    };
    let leaving = |on| engine::Fault {
        leaving: Some(on),
        ..Default::default()
    };
    let slow = |percent| engine::Fault {
        slow_percent: Some(percent),
        ..Default::default()
    };
    let down = |on| {
        Action::Platform(platform::Fault {
            down: Some(on),
            ..Default::default()
        })
    };
    let delay = |ms| {
        Action::Platform(platform::Fault {
            delay_ms: Some(ms),
            ..Default::default()
        })
    };
    match random.random_range(0..KINDS) {
        0 => (
            at_engine(engine::Fault {
                crash: Some(true),
                ..Default::default()
            }),
            None,
        ),
        1 => (at_engine(hang(true)), Some(at_engine(hang(false)))),
        2 => (at_engine(slow(400)), Some(at_engine(slow(100)))),
        3 => (at_engine(leaving(true)), Some(at_engine(leaving(false)))),
        4 => {
            let break_at = Some(random.random_range(0..u64::from(scenario.prompts.max_tokens)));
            (
                at_engine(engine::Fault {
                    break_streams: Some(count),
                    break_at,
                    ..Default::default()
                }),
                None,
            )
        }
        5 => (
            at_engine(engine::Fault {
                cross_answers: Some(count),
                ..Default::default()
            }),
            None,
        ),
        6 => (
            at_engine(engine::Fault {
                cut_answers: Some(count),
                ..Default::default()
            }),
            None,
        ),
        7 => (
            at_engine(engine::Fault {
                lose_events_percent: Some(30),
                ..Default::default()
            }),
            None,
        ),
        8 => {
            let cut_at = Some(cut_at(random.random_range(0..5)));
            (
                at_runner(service::Fault {
                    cut: Some(count),
                    cut_at,
                    ..Default::default()
                }),
                None,
            )
        }
        9 => (
            at_runner(service::Fault {
                cross_answers: Some(count),
                ..Default::default()
            }),
            None,
        ),
        10 => (down(true), Some(down(false))),
        11 => (delay(300), Some(delay(0))),
        12 => (
            Action::Platform(platform::Fault {
                lose_answers: Some(count),
                ..Default::default()
            }),
            None,
        ),
        _ => (Action::Router(router), None),
    }
}

fn cut_at(number: u32) -> service::CutAt {
    match number {
        0 => service::CutAt::BeforeWork,
        1 => service::CutAt::BeforeHead,
        2 => service::CutAt::InHead,
        3 => service::CutAt::AfterHead,
        _ => service::CutAt::InBody,
    }
}
