//! What engines are told to exchange with the store of cached prefixes.

use dispatch::fleet::PromptPart;
use dispatch::prefixes::{PartKey, PrefixEvent, PrefixEvents, PrefixStore, PrefixStores, Transfers};
use ids::WorkspaceId;
use std::net::SocketAddr;
use std::time::Duration;

const SHARED: [PromptPart; 2] = [PromptPart { id: 1, tokens: 2_520 }, PromptPart { id: 2, tokens: 3_780 }];
/// Tokens of the part that no other request has.
const OWN: u64 = 100;

fn address() -> SocketAddr {
    "127.0.0.1:7".parse().expect("an address")
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn page(incarnation: u64, gap: bool, held: &[(bool, u64)]) -> PrefixEvents {
    let event = |(held, part): &(bool, u64)| PrefixEvent {
        number: 1,
        held: *held,
        part: PartKey::new("3", *part),
    };
    PrefixEvents {
        incarnation,
        next: 9,
        gap,
        events: held.iter().map(event).collect(),
    }
}

fn store(pages: &[PrefixEvents]) -> PrefixStore {
    let mut store = PrefixStore::default();
    store.set_address(Some(address()));
    for page in pages {
        store.apply(page, at(0));
    }
    store
}

fn check(store: &mut PrefixStore, salt: &str, now: u64, fetch: bool, save: bool) {
    let there = |on: bool| on.then(address);
    let expected = Transfers {
        fetch: there(fetch),
        save: there(save),
    };
    assert_eq!(
        store.transfers(salt, &SHARED, OWN, at(now)),
        expected,
        "{salt} at {now}"
    );
}

/// Every request sends its prefix to the store: parts that nobody asks for again push out the shared ones, and engines
/// read those again. So only what the store lacks is sent, once. It is always asked: what it holds is heard of late, and
/// a prompt that is read again costs far more than a vain question.
#[test]
fn a_part_is_sent_once_and_always_asked_for() {
    let mut store = store(&[page(1, false, &[])]);
    check(&mut store, "3", 0, true, true);
    check(&mut store, "3", 100, true, false);
    // No event came: it was not sent after all.
    store.apply(&page(1, false, &[]), at(1_400));
    check(&mut store, "3", 1_600, true, true);
    store.apply(&page(1, false, &[(true, 1), (true, 2)]), at(1_700));
    check(&mut store, "3", 1_800, true, false);
    store.apply(&page(1, false, &[(false, 2)]), at(1_900));
    check(&mut store, "3", 2_000, true, true);
}

/// Parts that older weights made, or an isolated workspace, lie under another scope: none of them counts as sent.
#[test]
fn scopes_do_not_mix() {
    let mut store = store(&[page(1, false, &[(true, 1), (true, 2)])]);
    check(&mut store, "4", 0, true, true);
    check(&mut store, "3/paper", 0, true, true);
    check(&mut store, "3", 0, true, false);
}

/// The store restarts empty. Parts that are wrongly believed there would never be sent again.
#[test]
fn nothing_is_believed_after_a_restart() {
    let mut store = store(&[page(1, false, &[(true, 1), (true, 2)]), page(2, false, &[])]);
    check(&mut store, "3", 0, true, true);
}

/// Events are lost, among them that a part has gone. It is still fetched, at the price of a millisecond, and sent once more
/// after a while; were all beliefs dropped at each gap, a busy store would never be used.
#[test]
fn a_gap_ends_trust_after_a_while() {
    let mut store = store(&[page(1, false, &[(true, 1), (true, 2)]), page(1, true, &[])]);
    check(&mut store, "3", 1_000, true, false);
    for at_ms in (2_000..=16_000).step_by(1_000) {
        store.apply(&page(1, true, &[]), at(at_ms));
    }
    check(&mut store, "3", 15_900, true, false);
    check(&mut store, "3", 16_000, true, true);
    check(&mut store, "3", 16_100, true, false);
}

/// An engine sends a prompt's own part along, which nobody asks for: it would take the room of shared parts in the store.
#[test]
fn a_prefix_is_sent_only_with_a_shorter_own_part() {
    struct Case {
        own: u64,
        held: &'static [(bool, u64)],
        save: bool,
    }
    let cases = [
        Case {
            own: 6_300,
            held: &[],
            save: true,
        },
        Case {
            own: 6_301,
            held: &[],
            save: false,
        },
        Case {
            own: 3_000,
            held: &[(true, 1)],
            save: true,
        },
        Case {
            own: 3_000,
            held: &[(true, 2)],
            save: false,
        },
    ];
    for case in cases {
        let mut store = store(&[page(1, false, case.held)]);
        let transfers = store.transfers("3", &SHARED, case.own, at(0));
        assert_eq!(transfers.save.is_some(), case.save, "own {}", case.own);
        assert!(transfers.fetch.is_some());
        // What was not sent is not taken for sent.
        let next = store.transfers("3", &SHARED, 0, at(10));
        assert_eq!(next.save.is_some(), !case.save, "own {}, then", case.own);
    }
}

/// An engine that asks a dead store waits for some hundred milliseconds before it reads the prompt itself.
#[test]
fn a_silent_store_is_left_alone() {
    let mut store = store(&[page(1, false, &[(true, 1), (true, 2)])]);
    check(&mut store, "3", 1_499, true, false);
    check(&mut store, "3", 1_500, false, false);
    store.set_address(None);
    check(&mut store, "3", 100, false, false);
}

fn stores(count: u16) -> Vec<SocketAddr> {
    (1..=count)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

/// Where each of a hundred sessions' prefixes is kept.
fn places(stores: &mut PrefixStores, now: u64) -> Vec<Option<SocketAddr>> {
    let session = |id| [SHARED[0], PromptPart { id, tokens: 3_780 }];
    let place = |id| stores.transfers("3", None, &session(id), OWN, at(now)).fetch;
    (100..200).map(place).collect()
}

/// A site has three stores of cached prefixes, each with room for half of its prefixes, and only one is used: it drops them
/// within seconds, and engines read them again. Every router must look for a prefix in the same store.
#[test]
fn prefixes_are_spread_over_all_stores() {
    let addresses = stores(3);
    let mut first = PrefixStores::default();
    let mut second = PrefixStores::default();
    for stores in [&mut first, &mut second] {
        stores.set_addresses(&addresses);
        for address in &addresses {
            stores.apply(*address, &page(1, false, &[]), at(0));
        }
    }
    let kept = places(&mut first, 10);
    assert_eq!(kept, places(&mut second, 20));
    for address in addresses {
        let share = kept.iter().filter(|place| **place == Some(address)).count();
        assert!(share > 20, "{address} keeps {share} of 100");
    }
}

/// One of the stores dies: engines that ask it wait for some hundred milliseconds. Its prefixes get a place in the others, and
/// those of the others stay where they are.
#[test]
fn a_dead_stores_prefixes_go_to_the_others() {
    let addresses = stores(3);
    let mut stores = PrefixStores::default();
    stores.set_addresses(&addresses);
    for address in &addresses {
        stores.apply(*address, &page(1, false, &[]), at(0));
    }
    let before = places(&mut stores, 10);
    let dead = addresses[0];
    for address in &addresses[1..] {
        stores.apply(*address, &page(1, false, &[]), at(1_500));
    }
    let after = places(&mut stores, 1_600);
    for (before, after) in before.into_iter().zip(after) {
        assert_ne!(after, Some(dead));
        assert!(after.is_some() && (before == Some(dead) || before == after));
    }
    stores.set_addresses(&addresses[1..2]);
    assert!(
        places(&mut stores, 1_700)
            .iter()
            .all(|place| *place == Some(addresses[1]))
    );
}

/// An isolated workspace asks seldom, and shares its outermost part with nobody. With its sessions spread over three stores that part
/// was read by engines once for each store and anew with all weights; so they stay together, and workspaces are spread.
#[test]
fn an_isolated_workspaces_sessions_stay_together() {
    let addresses = stores(3);
    let mut stores = PrefixStores::default();
    stores.set_addresses(&addresses);
    for address in &addresses {
        stores.apply(*address, &page(1, false, &[]), at(0));
    }
    let mut used = std::collections::BTreeSet::new();
    for workspace in ["paper", "wheat", "bags", "rice", "ink", "glue"].map(WorkspaceId::from) {
        let salt = format!("3/{workspace}");
        let session = |id| [SHARED[0], PromptPart { id, tokens: 3_780 }];
        let place = |id| {
            stores
                .transfers(&salt, Some(&workspace), &session(id), OWN, at(10))
                .fetch
        };
        let places: std::collections::BTreeSet<_> = (100..200).map(place).collect();
        assert_eq!(places.len(), 1, "{workspace}");
        used.extend(places);
    }
    assert!(used.len() > 1, "all workspaces in {used:?}");
}
