//! What engines are told to exchange with the stores of cached prefixes.

use dispatch::fleet::PromptPart;
use dispatch::prefixes::{PartKey, PrefixEvent, PrefixEvents, PrefixStore, PrefixStores, Transfers};
use ids::WorkspaceId;
use std::net::SocketAddr;
use std::time::Duration;

const SHARED: [PromptPart; 2] = [PromptPart { id: 1, tokens: 2_520 }, PromptPart { id: 2, tokens: 3_780 }];
/// Tokens of the part that belongs to one request only.
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
    let address_if = |on: bool| on.then(address);
    let expected = Transfers {
        fetch: address_if(fetch),
        save: address_if(save),
    };
    assert_eq!(
        store.transfers(salt, &SHARED, OWN, at(now)),
        expected,
        "{salt} at {now}"
    );
}

/// If every request saved its prefix in the store, parts that are never requested again would push out the shared
/// ones, and engines would read those again. So only parts that the store lacks are saved, once. The store is always
/// asked: events about its content arrive late, and reading a prompt again costs far more than a request that finds
/// nothing.
#[test]
fn parts_are_saved_once_and_always_fetched() {
    let mut store = store(&[page(1, false, &[])]);
    check(&mut store, "3", 0, true, true);
    check(&mut store, "3", 100, true, false);
    // No event confirmed it, so it counts as not saved.
    store.apply(&page(1, false, &[]), at(1_400));
    check(&mut store, "3", 1_600, true, true);
    store.apply(&page(1, false, &[(true, 1), (true, 2)]), at(1_700));
    check(&mut store, "3", 1_800, true, false);
    store.apply(&page(1, false, &[(false, 2)]), at(1_900));
    check(&mut store, "3", 2_000, true, true);
}

/// Parts made with older weights or for an isolated workspace have another scope, so none of them counts as saved.
#[test]
fn parts_of_different_scopes_are_distinct() {
    let mut store = store(&[page(1, false, &[(true, 1), (true, 2)])]);
    check(&mut store, "4", 0, true, true);
    check(&mut store, "3/paper", 0, true, true);
    check(&mut store, "3", 0, true, false);
}

/// The store restarts empty. Parts wrongly assumed to be there would never be saved again.
#[test]
fn restarted_store_is_assumed_empty() {
    let mut store = store(&[page(1, false, &[(true, 1), (true, 2)]), page(2, false, &[])]);
    check(&mut store, "3", 0, true, true);
}

/// Events are lost, among them the removal of a part. The part is still fetched, which costs a millisecond, and saved
/// again after a while. If each gap invalidated all parts, a busy store would never be used.
#[test]
fn confirmations_expire_after_an_event_gap() {
    let mut store = store(&[page(1, false, &[(true, 1), (true, 2)]), page(1, true, &[])]);
    check(&mut store, "3", 1_000, true, false);
    for at_ms in (2_000..=16_000).step_by(1_000) {
        store.apply(&page(1, true, &[]), at(at_ms));
    }
    check(&mut store, "3", 15_900, true, false);
    check(&mut store, "3", 16_000, true, true);
    check(&mut store, "3", 16_100, true, false);
}

/// An engine saves the request's own part along with the prefix. Nobody requests it again, and it would take the room
/// of shared parts in the store.
#[test]
fn prefix_is_saved_only_with_a_shorter_own_part() {
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
        // Parts that were not saved must not count as saved.
        let next = store.transfers("3", &SHARED, 0, at(10));
        assert_eq!(next.save.is_some(), !case.save, "own {}, second request", case.own);
    }
}

/// An engine that asks a failed store waits for some hundred milliseconds before it reads the prompt itself.
#[test]
fn silent_store_is_not_used() {
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

/// The store that each of a hundred sessions' prefixes is assigned to.
fn assigned_stores(stores: &mut PrefixStores, now: u64) -> Vec<Option<SocketAddr>> {
    let session = |id| [SHARED[0], PromptPart { id, tokens: 3_780 }];
    let store = |id| stores.transfers("3", None, &session(id), OWN, at(now)).fetch;
    (100..200).map(store).collect()
}

/// A site has three stores of cached prefixes, each with room for half of its prefixes. If only one were used, it
/// would drop prefixes within seconds, and engines would read them again. Every router has to look for a prefix in
/// the same store.
#[test]
fn prefixes_spread_over_all_stores() {
    let addresses = stores(3);
    let mut first = PrefixStores::default();
    let mut second = PrefixStores::default();
    for stores in [&mut first, &mut second] {
        stores.set_addresses(&addresses);
        for address in &addresses {
            stores.apply(*address, &page(1, false, &[]), at(0));
        }
    }
    let assigned = assigned_stores(&mut first, 10);
    assert_eq!(assigned, assigned_stores(&mut second, 20));
    for address in addresses {
        let share = assigned.iter().filter(|store| **store == Some(address)).count();
        assert!(share > 20, "{address} is assigned {share} of 100");
    }
}

/// One of the stores fails, and engines that ask it wait for some hundred milliseconds. Its prefixes have to move to
/// the others, and the prefixes of the others must stay.
#[test]
fn prefixes_of_a_failed_store_move_to_the_others() {
    let addresses = stores(3);
    let mut stores = PrefixStores::default();
    stores.set_addresses(&addresses);
    for address in &addresses {
        stores.apply(*address, &page(1, false, &[]), at(0));
    }
    let before = assigned_stores(&mut stores, 10);
    let failed = addresses[0];
    for address in &addresses[1..] {
        stores.apply(*address, &page(1, false, &[]), at(1_500));
    }
    let after = assigned_stores(&mut stores, 1_600);
    for (before, after) in before.into_iter().zip(after) {
        assert_ne!(after, Some(failed));
        assert!(after.is_some() && (before == Some(failed) || before == after));
    }
    stores.set_addresses(&addresses[1..2]);
    assert!(
        assigned_stores(&mut stores, 1_700)
            .iter()
            .all(|store| *store == Some(addresses[1]))
    );
}

/// An isolated workspace sends few requests and shares its outermost part with no other. With its sessions spread
/// over three stores, engines would read that part once for each store, and again with all weights. So its sessions
/// stay together, and only workspaces are spread.
#[test]
fn sessions_of_an_isolated_workspace_share_a_store() {
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
        let store = |id| {
            stores
                .transfers(&salt, Some(&workspace), &session(id), OWN, at(10))
                .fetch
        };
        let assigned_stores: std::collections::BTreeSet<_> = (100..200).map(store).collect();
        assert_eq!(assigned_stores.len(), 1, "{workspace}");
        used.extend(assigned_stores);
    }
    assert!(used.len() > 1, "all workspaces assigned to {used:?}");
}

/// Routers take a prefix for cached somewhere if its store holds it. After new weights none is, and a store that does not
/// respond tells nothing.
#[test]
fn a_store_tells_which_prefixes_were_read() {
    struct Case {
        name: &'static str,
        salt: &'static str,
        now: u64,
        held: bool,
    }
    let cases = [
        Case {
            name: "in the scope that was read",
            salt: "3",
            now: 100,
            held: true,
        },
        Case {
            name: "in the scope of new weights",
            salt: "4",
            now: 100,
            held: false,
        },
        Case {
            name: "the store does not respond",
            salt: "4",
            now: 1_600,
            held: true,
        },
    ];
    let address = stores(1)[0];
    let mut stores = PrefixStores::default();
    stores.set_addresses(&[address]);
    assert!(stores.may_hold("3", None, &SHARED, at(0)), "before the first response");
    stores.apply(address, &page(1, false, &[]), at(0));
    stores.transfers("3", None, &SHARED, OWN, at(0));
    for case in cases {
        let held = stores.may_hold(case.salt, None, &SHARED, at(case.now));
        assert_eq!(held, case.held, "{}", case.name);
    }
}
