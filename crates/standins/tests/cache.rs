//! Tests of the engine's block cache: scopes, full blocks and eviction order.

use placement::{PrefixChain, Scope};
use standins::engine::{BlockCache, Change, chain};

const BLOCK: usize = 4;

struct Case {
    name: &'static str,
    capacity: usize,
    /// Scopes and prompts, in the order in which they are stored.
    stored: &'static [(&'static str, &'static str)],
    /// Scope, prompt and the expected number of cached blocks.
    lookups: &'static [(&'static str, &'static str, usize)],
    /// The expected number of evictions.
    evicted: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "a shared prefix is found in full blocks only",
        capacity: 8,
        stored: &[("s", "aaaabbbbcc")],
        lookups: &[
            ("s", "aaaabbbbcc", 2),
            ("s", "aaaabbbbcccc", 2),
            ("s", "aaaaxxxx", 1),
            ("s", "xxxxbbbb", 0),
            ("s", "aaa", 0),
        ],
        evicted: 0,
    },
    Case {
        name: "blocks of another scope are not found",
        capacity: 8,
        stored: &[("s", "aaaa")],
        lookups: &[("t", "aaaa", 0), ("s", "aaaa", 1)],
        evicted: 0,
    },
    Case {
        name: "the least recently used block is evicted first",
        capacity: 2,
        stored: &[("s", "aaaa"), ("s", "bbbb"), ("s", "aaaa"), ("s", "cccc")],
        lookups: &[("s", "aaaa", 1), ("s", "bbbb", 0), ("s", "cccc", 1)],
        evicted: 1,
    },
    Case {
        name: "the tail of a chain is evicted before its start",
        capacity: 3,
        stored: &[("s", "aaaabbbbcccc"), ("s", "xxxx")],
        lookups: &[("s", "aaaabbbbcccc", 2)],
        evicted: 1,
    },
    Case {
        name: "the start of a chain longer than the cache is cached",
        capacity: 2,
        stored: &[("s", "aaaabbbbcccc")],
        lookups: &[("s", "aaaabbbbcccc", 2)],
        evicted: 0,
    },
];

#[test]
fn cache_finds_and_evicts_the_expected_blocks() {
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
    assert_eq!(evicted, case.evicted, "{}", case.name);
    for (scope, prompt, blocks) in case.lookups {
        assert_eq!(
            cache.matched(scope, &hashes(scope, prompt)),
            *blocks,
            "{}: {prompt}",
            case.name
        );
    }
}

fn hashes(scope: &str, prompt: &str) -> Vec<u64> {
    chain([scope, "model", "weights"], prompt.as_bytes(), BLOCK)
}

#[test]
fn hash_depends_on_scope_model_and_weights() {
    let seeds = [["s", "m", "w"], ["t", "m", "w"], ["s", "n", "w"], ["s", "m", "x"]];
    let hashes = seeds.map(|seed| chain(seed, b"aaaa", BLOCK)[0]);
    for (at, hash) in hashes.iter().enumerate() {
        assert!(!hashes[..at].contains(hash), "{:?}", seeds[at]);
    }
}

// Router and engine identify a block by its hash. If the hashes differ, no cache event matches a prompt.
#[test]
fn hashes_match_those_of_the_router() {
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
