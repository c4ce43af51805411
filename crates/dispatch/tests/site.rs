//! Selection of a request's route, service and workspace.

use dispatch::site::{Owner, Route, RouteKind, Site, SiteParts, Target, WorkspaceSpec};
use ids::{Revision, ServiceId, WorkspaceId};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![Target {
            service: ServiceId::from("fans"),
            weight: 1,
        }],
        kind: RouteKind::Idempotent,
        public: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause: None,
        attempts: 2,
        rank: 1,
    }
}

fn site(routes: Vec<Route>, keys: Option<&[(&str, &str)]>) -> Site {
    let workspace = |(name, key): &(&str, &str)| {
        let spec = WorkspaceSpec {
            id: WorkspaceId::from(*name),
            rank: None,
            isolated: false,
            quota: None,
        };
        (spec, vec![(*key).to_owned()])
    };
    Site::new(SiteParts {
        revision: Revision(7),
        routes,
        workspaces: keys.map(|keys| keys.iter().map(workspace).collect()),
        ..SiteParts::default()
    })
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_selected() {
    struct Case {
        host: &'static str,
        path: &'static str,
        expected: Option<&'static str>,
    }
    let site = site(
        vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/"),
        ],
        None,
    );
    let cases = [
        Case {
            host: "a.example",
            path: "/x/1",
            expected: Some("short"),
        },
        Case {
            host: "a.example",
            path: "/x/y/1",
            expected: Some("long"),
        },
        Case {
            host: "A.Example:8080",
            path: "/x/y/",
            expected: Some("long"),
        },
        Case {
            host: "b.example",
            path: "/x/y/1",
            expected: Some("other"),
        },
        Case {
            host: "a.example",
            path: "/x",
            expected: None,
        },
        Case {
            host: "a.example",
            path: "/x/../x/y/1",
            expected: Some("short"),
        },
        Case {
            host: "c.example",
            path: "/x/1",
            expected: None,
        },
    ];
    for case in cases {
        let found = site.route(case.host, case.path).map(|route| route.name.as_str());
        assert_eq!(found, case.expected, "{} {}", case.host, case.path);
    }
}

#[test]
fn a_key_selects_its_workspace_unless_the_route_is_public() {
    struct Case {
        public: bool,
        key: Option<&'static str>,
        expected: Option<Option<&'static str>>,
    }
    let cases = [
        Case {
            public: false,
            key: Some("k1"),
            expected: Some(Some("grain")),
        },
        Case {
            public: false,
            key: Some("k2"),
            expected: Some(Some("paper")),
        },
        Case {
            public: false,
            key: Some("k3"),
            expected: None,
        },
        Case {
            public: false,
            key: None,
            expected: None,
        },
        Case {
            public: true,
            key: None,
            expected: Some(None),
        },
        Case {
            public: true,
            key: Some("k1"),
            expected: Some(None),
        },
    ];
    let keys = [("grain", "k1"), ("paper", "k2")];
    for case in cases {
        let mut requested = route("r", "a", "/");
        requested.public = case.public;
        let site = site(vec![requested.clone()], Some(&keys));
        let owner = match site.owner(&requested, case.key) {
            Owner::Anonymous => Some(None),
            Owner::Workspace(spec) => Some(Some(spec.id.as_str())),
            Owner::Unknown => None,
        };
        assert_eq!(owner, case.expected, "{:?} {:?}", case.public, case.key);
    }
}

#[test]
fn requests_are_split_by_target_weight() {
    let mut split = route("r", "a", "/");
    split.targets = vec![
        Target {
            service: ServiceId::from("old"),
            weight: 90,
        },
        Target {
            service: ServiceId::from("new"),
            weight: 10,
        },
        Target {
            service: ServiceId::from("off"),
            weight: 0,
        },
    ];
    let count = |name: &str| {
        (0..100)
            .filter(|random| split.target(*random).map(ServiceId::as_str) == Some(name))
            .count()
    };
    assert_eq!([count("old"), count("new"), count("off")], [90, 10, 0]);
    split.targets.clear();
    assert_eq!(split.target(3), None);
}

/// Guards against new overload behaviour on a service whose configuration doesn't call for it.
#[test]
fn a_route_is_patient_if_it_is_less_urgent_and_has_three_times_the_objective() {
    struct Case {
        name: &'static str,
        kind: RouteKind,
        rank: u8,
        objective_ms: u64,
        patient: bool,
    }
    let stream = RouteKind::Stream { resumable: true };
    let case = |name, kind, rank, objective_ms, patient| Case {
        name,
        kind,
        rank,
        objective_ms,
        patient,
    };
    let cases = [
        case("urgent", stream, 0, 400, false),
        case("as urgent", stream, 0, 1_500, false),
        case("patient", stream, 2, 1_500, true),
        case("just long enough", stream, 1, 1_200, true),
        case("too short", stream, 2, 1_199, false),
        case("not a stream", RouteKind::Idempotent, 2, 1_500, false),
    ];
    let routes = cases.iter().map(|case| Route {
        kind: case.kind,
        rank: case.rank,
        objective: Duration::from_millis(case.objective_ms),
        ..route(case.name, "a.example", case.name)
    });
    let mut routes: Vec<Route> = routes.collect();
    let mut split = route("split", "b.example", "/");
    split.kind = stream;
    split.rank = 2;
    split.objective = Duration::from_secs(2);
    split.targets.push(Target {
        service: ServiceId::from("alone"),
        weight: 1,
    });
    routes.push(split.clone());
    let site = site(routes.clone(), None);
    for (case, route) in cases.iter().zip(&routes) {
        assert_eq!(site.is_patient(route), case.patient, "{}", case.name);
    }
    assert!(
        !site.is_patient(&split),
        "it is the most urgent stream of one of its services"
    );
    assert!(site.has_patient(&ServiceId::from("fans")) && !site.has_patient(&ServiceId::from("alone")));
}
