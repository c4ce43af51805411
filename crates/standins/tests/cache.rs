//! The engine's block cache: scopes, whole blocks, and what is evicted first.

use placement::{PrefixChain, Scope};
use standins::engine::{BlockCache, Change, chain};

const BLOCK: usize = 4;

struct Case {
    what: &'static str,
    capacity: usize,
    /// Scope and prompt, stored in this order.
    stored: &'static [(&'static str, &'static str)],
    /// Scope, prompt, and how many of its blocks are then found.
    found: &'static [(&'static str, &'static str, usize)],
    /// Blocks evicted on the way.
    evicted: usize,
}

const CASES: &[Case] = &[
    Case {
        what: "a shared start is found as far as it is shared, in whole blocks",
        capacity: 8,
        stored: &[("s", "aaaabbbbcc")],
        found: &[
            ("s", "aaaabbbbcc", 2),
            ("s", "aaaabbbbcccc", 2),
            ("s", "aaaaxxxx", 1),
            ("s", "xxxxbbbb", 0),
            ("s", "aaa", 0),
        ],
        evicted: 0,
    },
    Case {
        what: "another scope finds nothing",
        capacity: 8,
        stored: &[("s", "aaaa")],
        found: &[("t", "aaaa", 0), ("s", "aaaa", 1)],
        evicted: 0,
    },
    Case {
        what: "the least recently used goes first",
        capacity: 2,
        stored: &[("s", "aaaa"), ("s", "bbbb"), ("s", "aaaa"), ("s", "cccc")],
        found: &[("s", "aaaa", 1), ("s", "bbbb", 0), ("s", "cccc", 1)],
        evicted: 1,
    },
    Case {
        what: "a chain loses its tail before its start",
        capacity: 3,
        stored: &[("s", "aaaabbbbcccc"), ("s", "xxxx")],
        found: &[("s", "aaaabbbbcccc", 2)],
        evicted: 1,
    },
    Case {
        what: "of a chain longer than the cache the start is kept",
        capacity: 2,
        stored: &[("s", "aaaabbbbcccc")],
        found: &[("s", "aaaabbbbcccc", 2)],
        evicted: 0,
    },
];

#[test]
fn blocks_found_and_evicted() {
    for case in CASES {
        check(case);
    }
}

fn check(case: &Case) {
    let mut cache = BlockCache::new(case.capacity);
    let mut evicted = 0;
    for (scope, prompt) in case.stored {
        let changes = cache.store(scope, &hashes(scope, prompt));
        evicted += changes
            .iter()
            .filter(|change| matches!(change, Change::Evicted(_)))
            .count();
    }
    assert_eq!(evicted, case.evicted, "{}", case.what);
    for (scope, prompt, blocks) in case.found {
        assert_eq!(
            cache.matched(scope, &hashes(scope, prompt)),
            *blocks,
            "{}: {prompt}",
            case.what
        );
    }
}

fn hashes(scope: &str, prompt: &str) -> Vec<u64> {
    chain([scope, "model", "weights"], prompt.as_bytes(), BLOCK)
}

#[test]
fn every_part_of_the_seed_counts() {
    let seeds = [["s", "m", "w"], ["t", "m", "w"], ["s", "n", "w"], ["s", "m", "x"]];
    let hashes = seeds.map(|seed| chain(seed, b"aaaa", BLOCK)[0]);
    for (at, hash) in hashes.iter().enumerate() {
        assert!(!hashes[..at].contains(hash), "{:?}", seeds[at]);
    }
}

// Router and engine name a block by its hash; were they to differ, no cache event would ever match a prompt.
#[test]
fn hashes_are_those_of_the_router() {
    let (workspace, model, weights) = ("s".into(), "model".into(), "w1".into());
    let scope = Scope {
        workspace: &workspace,
        model: &model,
        weights: &weights,
    };
    for length in [0, 3, 4, 9, 64] {
        let prompt = vec![b'x'; length];
        let router = PrefixChain::new(scope, &prompt, BLOCK, &[]);
        assert_eq!(
            chain(["s", "model", "w1"], &prompt, BLOCK),
            router.blocks(),
            "{length} bytes"
        );
    }
}
