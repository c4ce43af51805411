//! Stand-ins for the cases of the review: the platform's store, runners, clients. Routers are the project's own program.

pub mod http;
pub mod json;
pub mod router;
pub mod runner;
pub mod store;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(file: &Path) -> Record {
        Record(Arc::new(Mutex::new(File::create(file).expect("the record"))), Instant::now())
    }

    pub fn line(&self, text: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The configuration of the operator: the routes of the site's sheet and two tenants.
pub fn document(version: u64) -> String {
    document_with(version, false)
}

/// The same; the first tenant may be isolated.
pub fn document_with(version: u64, isolated: bool) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"keeper","host":"a.example","path_prefix":"/keeper/","backend":"advisory","kind":"stream","resumable":false,"timeout_ms":12000,"goal_ms":300,"gap_target_ms":200,"attempts":1,"prio":0,"sticky":true}},
{{"name":"verdict","host":"a.example","path_prefix":"/verdict/","backend":"advisory","kind":"stream","resumable":true,"timeout_ms":4000,"goal_ms":400,"gap_target_ms":200,"attempts":2,"prio":1,"sticky":true}},
{{"name":"fan","host":"a.example","path_prefix":"/fan/","backend":"depot","kind":"unsafe","timeout_ms":800,"goal_ms":300,"attempts":1,"prio":2}},
{{"name":"probe","host":"a.example","path_prefix":"/probe/","backend":"depot","kind":"safe","timeout_ms":800,"goal_ms":300,"attempts":2,"prio":2}}],
"services":[{{"name":"advisory","health_path":"/healthz"}},{{"name":"depot","health_path":"/healthz"}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"t1","api_keys":["key1"],"isolated":{isolated}}},{{"name":"t2","api_keys":["key2"],"isolated":false}}]}}"#
    )
}

/// A large configuration: a route that needs a key, and many others, `bytes` bytes in all. The second tenant's key may
/// be taken away.
pub fn large_document(version: u64, second_key: bool, bytes: usize) -> String {
    let mut routes = String::from(
        r#"{"name":"probe","host":"a.example","path_prefix":"/probe/","backend":"depot","kind":"safe","timeout_ms":800,"goal_ms":300,"attempts":2,"prio":2}"#,
    );
    for number in 0.. {
        if routes.len() >= bytes {
            break;
        }
        routes.push_str(&format!(
            ",{{\"name\":\"r{number}\",\"host\":\"h{number}.example\",\"path_prefix\":\"/r{number}/\",\"backend\":\"depot\",\"kind\":\"safe\",\"timeout_ms\":800,\"goal_ms\":300,\"attempts\":2,\"prio\":2}}"
        ));
    }
    let keys = if second_key { "\"key2\"" } else { "" };
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"depot","health_path":"/healthz"}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"t1","api_keys":["key1"],"isolated":false}},{{"name":"t2","api_keys":[{keys}],"isolated":false}}]}}"#
    )
}
