//! Start order of jobs, compared with a naive queue that examines every job each time, and long random runs in which
//! every ticket must end exactly once.

use admission::{Admission, Cancelled, Job, Mechanisms, Next, Offer, Outcome, ServiceModel, Settings, Ticket, Tokens};
use ids::{Priority, WorkspaceId};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Fixed seed, so that each run tests the same cases.
const SEED: u64 = 12;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

const WORKSPACES: u8 = 4;
const SLOTS: u32 = 3;

#[derive(Debug, Clone, Copy)]
enum Step {
    Offer { workspace: u8, rank: u8, output: u16 },
    FinishOldest,
    CancelNewest,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 8 {
            0..=4 => Self::Offer {
                workspace: u8::arbitrary(source) % WORKSPACES,
                rank: u8::arbitrary(source) % 10,
                output: u16::arbitrary(source) % 500,
            },
            5..=6 => Self::FinishOldest,
            _ => Self::CancelNewest,
        }
    }
}

fn job(workspace: u8, rank: u8, output: u64, deadline: Option<Duration>) -> Job {
    let weight = u32::from(workspace) + 1;
    let tokens = Tokens { uncached: 100, output };
    let workspace = WorkspaceId::from(format!("w{workspace}"));
    Job {
        workspace,
        weight,
        priority: Priority(rank),
        tokens,
        deadline,
    }
}

/// Naive queue of (offer number, workspace, effective arrival, cost in microseconds), searched completely for each
/// start.
#[derive(Default)]
struct Naive {
    waiting: Vec<(usize, u8, Duration, f64)>,
    ranks: BTreeMap<usize, u8>,
    tags: BTreeMap<u8, f64>,
    virtual_time: f64,
    running: u32,
    urgent: bool,
}

impl Naive {
    fn tag(&self, workspace: u8) -> f64 {
        self.tags.get(&workspace).copied().unwrap_or(0.0)
    }

    fn is_queued(&self, workspace: u8) -> bool {
        self.waiting.iter().any(|one| one.1 == workspace)
    }

    /// Weight of all workspaces with a job in the queue.
    fn weight(&self) -> f64 {
        let active: BTreeSet<u8> = self.waiting.iter().map(|one| one.1).collect();
        active.iter().map(|workspace| f64::from(workspace + 1)).sum()
    }

    /// Returns whether the job starts at once.
    fn offer(&mut self, number: usize, workspace: u8, rank: u8, cost: f64, now: Duration) -> bool {
        if !self.is_queued(workspace) {
            let tag = self.tag(workspace).max(self.virtual_time);
            if self.running < SLOTS && self.waiting.is_empty() {
                self.virtual_time = tag;
                self.tags.insert(workspace, tag + cost / f64::from(workspace + 1));
                self.running += 1;
                return true;
            }
            let saved = 1e6 * f64::from(SLOTS) / self.weight().max(1.0);
            self.tags
                .insert(workspace, self.tag(workspace).max(self.virtual_time - saved));
        }
        let due = if self.urgent {
            now + Duration::from_millis(500) * u32::from(rank)
        } else {
            now
        };
        self.waiting.push((number, workspace, due, cost));
        self.ranks.insert(number, rank);
        false
    }

    fn next(&mut self) -> Option<usize> {
        if self.running >= SLOTS {
            return None;
        }
        let active: BTreeSet<u8> = self.waiting.iter().map(|one| one.1).collect();
        let weight = self.weight();
        let least = active
            .iter()
            .map(|&workspace| self.tag(workspace))
            .fold(f64::INFINITY, f64::min);
        let first = |workspace: u8| {
            let own = self.waiting.iter().filter(|one| one.1 == workspace);
            own.min_by_key(|one| (one.2, one.0))
                .copied()
                .expect("an active workspace")
        };
        let key = |workspace: u8| {
            let ranks = if self.urgent {
                9 - self.ranks[&first(workspace).0]
            } else {
                0
            };
            let step = 0.1 * 1e6 * f64::from(SLOTS) / weight;
            self.tag(workspace) - f64::from(ranks) * step
        };
        // Ties go to the workspace that was seen first. The caller makes that the lowest number.
        let workspace = active.iter().copied().min_by(|a, b| key(*a).total_cmp(&key(*b)))?;
        let (number, _, _, cost) = first(workspace);
        self.virtual_time = self.virtual_time.max(least);
        self.waiting.retain(|one| one.0 != number);
        *self.tags.entry(workspace).or_default() += cost / f64::from(workspace + 1);
        self.running += 1;
        Some(number)
    }
}

/// Offer numbers in start order, by the pool and by the naive queue.
fn start_order(steps: Vec<Step>, urgent: bool) -> (Vec<usize>, Vec<usize>) {
    let mechanisms = Mechanisms {
        priorities: urgent,
        short_first: false,
        reserve: false,
        refuse: false,
        ..Mechanisms::default()
    };
    let mut pool = Admission::new(Settings::builder().mechanisms(mechanisms).build());
    pool.set_capacity(SLOTS, Duration::ZERO);
    let mut naive = Naive {
        urgent,
        ..Naive::default()
    };
    let (mut numbers, mut running) = (BTreeMap::new(), Vec::<Ticket>::new());
    let (mut starts, mut expected) = (Vec::new(), Vec::new());
    let first = (0..WORKSPACES).map(|workspace| Step::Offer {
        workspace,
        rank: 5,
        output: 10,
    });
    for (number, step) in first.chain(steps).enumerate() {
        let now = Duration::from_millis(number as u64 * 37);
        match step {
            Step::Offer {
                workspace,
                rank,
                output,
            } => {
                let job = job(workspace, rank, output.into(), None);
                let cost = (ServiceModel::default().seconds(job.tokens) * 1e6) as u64 + 1;
                if naive.offer(number, workspace, rank, cost as f64, now) {
                    expected.push(number);
                }
                match pool.offer(&job, now) {
                    Offer::Start(ticket) => {
                        running.push(ticket);
                        starts.push(number);
                    }
                    Offer::Wait(ticket) => drop(numbers.insert(ticket, number)),
                    Offer::Refuse(refusal) => panic!("{refusal:?}"),
                }
            }
            Step::FinishOldest if !running.is_empty() => {
                pool.finish(running.remove(0), Outcome::Failed, now)
                    .expect("a running job");
                naive.running -= 1;
            }
            Step::CancelNewest => {
                if let Some((ticket, number)) = numbers.pop_last() {
                    assert_eq!(pool.cancel(ticket), Cancelled::Queued);
                    naive.waiting.retain(|one| one.0 != number);
                }
            }
            Step::FinishOldest => {}
        }
        while let Next::Start(ticket) = pool.next(now) {
            running.push(ticket);
            starts.push(numbers.remove(&ticket).expect("a waiting job"));
        }
        expected.extend(std::iter::from_fn(|| naive.next()));
    }
    (starts, expected)
}

#[test]
fn starts_match_naive_queue() {
    fn same(steps: Vec<Step>, urgent: bool) -> bool {
        let (starts, expected) = start_order(steps, urgent);
        starts == expected
    }
    seeded().tests(10_000).quickcheck(same as fn(Vec<Step>, bool) -> bool);
}

/// Clients arrive, disconnect and retry while capacity changes. A ticket that ended twice would answer a client twice
/// or free a slot in use; one that never ended would leave a client without an answer. The pool also checks its own
/// counts at every step.
#[test]
fn every_ticket_ends_once() {
    for seed in 0..40 {
        random_run(seed);
    }
}

fn random_run(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pool = Admission::new(Settings::default());
    let (mut now, mut capacity) = (Duration::ZERO, 0);
    let (mut waiting, mut running) = (BTreeMap::new(), BTreeSet::new());
    for step in 0..3_000 {
        now += Duration::from_millis(random.random_range(0..40));
        match random.random_range(0..10) {
            0 if step % 50 == 0 => capacity = random.random_range(0..8),
            0..=4 => {
                let slack = Duration::from_millis(random.random_range(10..8_000));
                let output = random.random_range(0..60) * random.random_range(1..20);
                let deadline = random.random_bool(0.8).then(|| now + slack);
                let job = job(
                    random.random_range(0..WORKSPACES),
                    random.random_range(0..10),
                    output,
                    deadline,
                );
                match pool.offer(&job, now) {
                    Offer::Start(ticket) => assert!(running.insert(ticket), "a ticket used twice"),
                    Offer::Wait(ticket) => assert!(waiting.insert(ticket, deadline).is_none(), "a ticket used twice"),
                    Offer::Refuse(_) => {}
                }
            }
            5..=8 => {
                if let Some(ticket) = running.pop_first() {
                    let tokens = Tokens {
                        uncached: 100,
                        output: random.random_range(0..200),
                    };
                    let first_token = Duration::from_millis(30);
                    pool.finish(ticket, Outcome::Served { first_token, tokens }, now)
                        .expect("a running job");
                    assert!(pool.finish(ticket, Outcome::Failed, now).is_err(), "a job ended twice");
                }
            }
            _ => {
                if let Some((ticket, _)) = waiting.pop_first() {
                    assert_eq!(pool.cancel(ticket), Cancelled::Queued);
                    assert_eq!(pool.cancel(ticket), Cancelled::Ended);
                }
            }
        }
        pool.set_capacity(capacity, now);
        drain(&mut pool, now, capacity, &mut waiting, &mut running);
        let counts = pool.counts();
        assert_eq!(
            (counts.waiting as usize, counts.running as usize),
            (waiting.len(), running.len())
        );
    }
}

fn drain(
    pool: &mut Admission,
    now: Duration,
    capacity: u32,
    waiting: &mut BTreeMap<Ticket, Option<Duration>>,
    running: &mut BTreeSet<Ticket>,
) {
    loop {
        match pool.next(now) {
            Next::Start(ticket) => {
                let deadline = waiting.remove(&ticket).expect("a waiting job");
                assert!(
                    deadline.is_none_or(|deadline| now < deadline),
                    "started after its deadline"
                );
                assert!(running.insert(ticket) && running.len() <= capacity as usize);
            }
            Next::Expired(ticket, _) => {
                let deadline = waiting.remove(&ticket).expect("a waiting job");
                // One step of the run plus one check period.
                let latest = deadline.map(|deadline| deadline + Duration::from_millis(90));
                assert!(
                    capacity == 0 || latest.is_some_and(|latest| now <= latest),
                    "kept in the queue past its deadline"
                );
            }
            Next::Wait => return,
        }
    }
}
