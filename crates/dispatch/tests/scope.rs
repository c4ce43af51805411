//! Names of the scopes of cached prefixes.

use dispatch::scope::Isolation;
use ids::WorkspaceId;

fn isolation(names: &[&str]) -> Isolation {
    Isolation::new(names.iter().copied().map(WorkspaceId::from))
}

/// Another name for the same set, at another router or after a restart, would make all caches cold.
#[test]
fn scopes_depend_on_the_set_of_isolated_workspaces_only() {
    struct Case {
        one: &'static [&'static str],
        other: &'static [&'static str],
        same: bool,
    }
    let cases = [
        Case {
            one: &[],
            other: &[],
            same: true,
        },
        Case {
            one: &["a", "b"],
            other: &["b", "a", "b"],
            same: true,
        },
        Case {
            one: &[],
            other: &["a"],
            same: false,
        },
        Case {
            one: &["a"],
            other: &["b"],
            same: false,
        },
        Case {
            one: &["ab", "c"],
            other: &["a", "bc"],
            same: false,
        },
    ];
    for case in cases {
        let (one, other) = (isolation(case.one), isolation(case.other));
        let same = (
            one.scope(Some(3), None) == other.scope(Some(3), None),
            one.hash(None) == other.hash(None),
        );
        assert_eq!(same, (case.same, case.same), "{:?} and {:?}", case.one, case.other);
    }
}

/// A deployment without isolated workspaces would lose its caches with a new version of the router.
#[test]
fn without_isolated_workspaces_the_scope_is_the_version_of_the_weights() {
    let none = isolation(&[]);
    assert_eq!(none, Isolation::none());
    assert_eq!(none.scope(Some(3), None), "3");
    assert_eq!(none.scope(None, None), "any");
    assert_eq!(none.hash(None), 0);
    let workspace = WorkspaceId::from("a");
    assert_eq!(isolation(&["a"]).scope(Some(3), Some(&workspace)), "3/a");
    assert_eq!(isolation(&["a", "b"]).scope(Some(3), Some(&workspace)), "3/a");
}
