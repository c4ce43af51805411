//! Cost of `offer`, `next` and `finish` with a full queue. Run with `--release`.

use admission::{Admission, Job, Mechanisms, Next, Offer, Outcome, Settings, Ticket, Tokens};
use ids::{Priority, WorkspaceId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const SLOTS: u32 = 2_000;
const ROUNDS: u32 = 20_000;

struct Bench {
    pool: Admission,
    random: ChaCha8Rng,
    workspaces: Vec<WorkspaceId>,
    running: Vec<Ticket>,
    now: Duration,
}

impl Bench {
    fn job(&mut self) -> Job {
        let workspace = self.workspaces[self.random.random_range(0..self.workspaces.len())].clone();
        let tokens = Tokens {
            uncached: self.random.random_range(100..8_000),
            output: self.random.random_range(10..400),
        };
        let deadline = Some(self.now + Duration::from_secs(self.random.random_range(3_000..6_000)));
        Job {
            workspace,
            weight: 1,
            priority: Priority(self.random.random_range(0..10)),
            tokens,
            deadline,
        }
    }

    fn offer(&mut self, job: &Job) -> bool {
        match self.pool.offer(job, self.now) {
            Offer::Start(ticket) => self.running.push(ticket),
            Offer::Wait(_) => {}
            Offer::Refuse(_) => return false,
        }
        true
    }

    fn drain(&mut self) {
        loop {
            match self.pool.next(self.now) {
                Next::Start(ticket) => self.running.push(ticket),
                Next::Expired(..) => {}
                Next::Wait => return,
            }
        }
    }
}

fn main() {
    println!("| workspaces | queued | offer, µs | next that starts, µs | finish, µs | check of the queue, µs |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for (workspaces, queued) in [(8, 100), (8, 10_000), (250, 1_000), (250, 10_000), (1_000, 10_000)] {
        measure(workspaces, queued);
    }
}

fn measure(workspaces: usize, queued: u64) {
    let settings = Settings::builder()
        .max_wait(Duration::from_secs(10_000))
        .mechanisms(Mechanisms::default())
        .build();
    let mut bench = Bench {
        pool: Admission::new(settings),
        random: ChaCha8Rng::seed_from_u64(1),
        workspaces: (0..workspaces)
            .map(|index| WorkspaceId::from(format!("w{index}")))
            .collect(),
        running: Vec::new(),
        now: Duration::ZERO,
    };
    bench.pool.set_capacity(SLOTS, bench.now);
    while bench.pool.counts().waiting < queued {
        let job = bench.job();
        bench.offer(&job);
    }
    let [offer, next, finish, check] = rounds(&mut bench);
    println!("| {workspaces} | {queued} | {offer:.2} | {next:.2} | {finish:.2} | {check:.0} |");
}

/// Each round ends a job, starts the next and offers a new one, so that the queue length is constant.
fn rounds(bench: &mut Bench) -> [f64; 4] {
    let mut spent = [Duration::ZERO; 4];
    let mut checks = 0;
    for _ in 0..ROUNDS {
        bench.now += Duration::from_micros(500);
        if bench.pool.next_check().is_some_and(|at| at <= bench.now) {
            spent[3] += timed(|| bench.drain());
            checks += 1;
        }
        let index = bench.random.random_range(0..bench.running.len());
        let ticket = bench.running.swap_remove(index);
        let tokens = Tokens {
            uncached: 4_000,
            output: 200,
        };
        let outcome = Outcome::Served {
            first_token: Duration::from_millis(400),
            tokens,
        };
        spent[2] += timed(|| bench.pool.finish(ticket, outcome, bench.now).expect("a running ticket"));
        spent[1] += timed(|| bench.drain());
        let job = bench.job();
        spent[0] += timed(|| {
            bench.offer(&job);
        });
    }
    let micros = |spent: Duration, count: u32| spent.as_secs_f64() * 1e6 / f64::from(count.max(1));
    [
        micros(spent[0], ROUNDS),
        micros(spent[1], ROUNDS),
        micros(spent[2], ROUNDS),
        micros(spent[3], checks),
    ]
}

fn timed(run: impl FnOnce()) -> Duration {
    let start = Instant::now();
    run();
    start.elapsed()
}
