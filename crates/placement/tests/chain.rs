//! Tests of the chains of block hashes.

use ids::{ModelId, WeightsVersion, WorkspaceId};
use placement::{PrefixChain, Scope};
use quickcheck::{Gen, QuickCheck};

/// Fixed seed, so that each run tests the same cases.
const SEED: u64 = 5;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

fn chain(scope: [&str; 3], prompt: &[u8], block: usize, ends: &[usize]) -> PrefixChain {
    let (workspace, model, weights) = (
        WorkspaceId::from(scope[0]),
        ModelId::from(scope[1]),
        WeightsVersion::from(scope[2]),
    );
    PrefixChain::new(
        Scope {
            workspace: &workspace,
            model: &model,
            weights: &weights,
        },
        prompt,
        block,
        ends,
    )
}

const OWN_SCOPE: [&str; 3] = ["granary", "advisor", "7"];

// If hashes of another workspace or of older weights matched, the router would send the request to a cache that the
// engine must not use, and the client would wait for a prefill that was not expected.
#[test]
fn scopes_share_no_hashes() {
    let prompt = vec![b'p'; 64];
    let own = chain(OWN_SCOPE, &prompt, 8, &[16, 32]);
    let others = [
        ["mill", "advisor", "7"],
        ["granary", "forecaster", "7"],
        ["granary", "advisor", "8"],
        ["granarya", "dvisor", "7"],
        ["", "granaryadvisor", "7"],
        ["granary", "advisor7", ""],
    ];
    for scope in others {
        let other = chain(scope, &prompt, 8, &[16, 32]);
        assert_ne!(own.seed(), other.seed(), "{scope:?}");
        assert!(
            own.blocks().iter().all(|block| !other.blocks().contains(block)),
            "{scope:?}"
        );
        assert!(
            own.levels().iter().all(|level| !other.levels().contains(level)),
            "{scope:?}"
        );
    }
}

struct Case {
    bytes: usize,
    ends: &'static [usize],
    blocks: usize,
    levels: &'static [usize],
}

#[test]
fn levels_end_at_whole_blocks() {
    let cases = [
        Case {
            bytes: 0,
            ends: &[],
            blocks: 0,
            levels: &[],
        },
        Case {
            bytes: 7,
            ends: &[7],
            blocks: 0,
            levels: &[],
        },
        Case {
            bytes: 8,
            ends: &[8],
            blocks: 1,
            levels: &[1],
        },
        Case {
            bytes: 100,
            ends: &[16, 33, 99],
            blocks: 12,
            levels: &[2, 4, 12],
        },
        Case {
            bytes: 100,
            ends: &[16, 17, 18],
            blocks: 12,
            levels: &[2],
        },
        Case {
            bytes: 100,
            ends: &[0, 1000],
            blocks: 12,
            levels: &[12],
        },
        Case {
            bytes: 100,
            ends: &[32, 16],
            blocks: 12,
            levels: &[4],
        },
        Case {
            bytes: 100,
            ends: &[],
            blocks: 12,
            levels: &[1, 4, 12],
        },
        Case {
            bytes: 1000,
            ends: &[],
            blocks: 125,
            levels: &[1, 4, 16, 64],
        },
    ];
    for case in cases {
        let chain = chain(OWN_SCOPE, &vec![1; case.bytes], 8, case.ends);
        let ends: Vec<usize> = chain.levels().iter().map(|level| level.blocks).collect();
        assert_eq!(
            (chain.blocks().len(), ends.as_slice()),
            (case.blocks, case.levels),
            "{:?}",
            case.ends
        );
        for level in chain.levels() {
            assert_eq!(level.hash, chain.blocks()[level.blocks - 1]);
        }
    }
}

// Two prompts have the same question under different instructions. Blocks computed for one cannot be used for the
// other.
#[test]
fn equal_blocks_after_different_prefixes_never_match() {
    let prompts = [b"AAAAssssssssssss", b"BBBBssssssssssss"].map(|prompt| chain(OWN_SCOPE, prompt, 4, &[]));
    assert!(
        prompts[0]
            .blocks()
            .iter()
            .all(|block| !prompts[1].blocks().contains(block))
    );
    let distinct: std::collections::HashSet<&u64> = prompts[0].blocks().iter().collect();
    assert_eq!(distinct.len(), 4, "equal blocks at different positions must differ");
}

#[test]
fn chains_agree_on_exactly_the_common_whole_blocks() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn agrees(common: Vec<u8>, one: Vec<u8>, other: Vec<u8>) -> bool {
        let prompt = |own: &[u8]| [common.as_slice(), own].concat();
        let (first, second) = (prompt(&one), prompt(&other));
        let shared_blocks = first
            .iter()
            .zip(&second)
            .take_while(|(left, right)| left == right)
            .count()
            / 4;
        let (first, second) = (chain(OWN_SCOPE, &first, 4, &[]), chain(OWN_SCOPE, &second, 4, &[]));
        let matching = first
            .blocks()
            .iter()
            .zip(second.blocks())
            .filter(|(left, right)| left == right)
            .count();
        matching == shared_blocks.min(first.blocks().len()).min(second.blocks().len())
    }
    seeded().quickcheck(agrees as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}
