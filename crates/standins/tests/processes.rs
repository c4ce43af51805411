//! Tests of the stand-ins as processes, called over HTTP.

use async_std::task::block_on;
use http_types::{Method, Request};
use standins::http::{Answer, Client, ClientError};
use standins::process::Running;
use std::path::Path;
use std::time::Duration;
use wire::headers;
use wire::platform::{Calls, Entry};

const PIECES: u64 = 6;
const HALF_WATCH: Duration = Duration::from_secs(30);

fn engine() -> Running {
    Running::start(Path::new(env!("CARGO_BIN_EXE_standin-engine")), &["--incarnation", "7"]).expect("starts")
}

fn completion(client: &Client, from: u64) -> Request {
    let mut request = client.request(Method::Post, "/v1/completions").expect("a path");
    request.insert_header(headers::REQUEST_ID, format!("from-{from}"));
    request.insert_header(headers::RESUME_FROM, from.to_string());
    request.set_body(format!(
        r#"{{"model":"model","prompt":"p","max_tokens":{PIECES},"stream":true}}"#
    ));
    request
}

async fn post(client: &mut Client, path: &str, text: &str) -> Answer {
    let mut request = client.request(Method::Post, path).expect("a path");
    request.set_body(text);
    client.call(request).await.expect("answers")
}

/// The numbers and texts of the events.
fn pieces(body: &[u8]) -> Vec<(u64, String)> {
    let text = std::str::from_utf8(body).expect("UTF-8");
    let events = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("id: ")?.split_once("\ndata: "));
    let numbered = events.map(|(number, data)| {
        let data: serde_json::Value = serde_json::from_str(data).expect("JSON");
        (
            number.parse().expect("a number"),
            data["choices"][0]["text"].as_str().expect("text").to_owned(),
        )
    });
    numbered.collect()
}

// A client resumes a broken stream. If the second part had another text or another start, the client would receive
// text twice or miss some.
#[test]
fn resumed_stream_equals_the_rest_of_the_complete_stream() {
    block_on(async {
        let engine = engine();
        let mut client = Client::new(engine.address);
        let complete = client.call(completion(&client, 0)).await.expect("answers");
        let all = pieces(&complete.body);
        assert_eq!(all.len() as u64, PIECES + 1);
        for from in 0..=PIECES {
            let rest = client.call(completion(&client, from)).await.expect("answers");
            assert_eq!(pieces(&rest.body), all[from as usize..], "from {from}");
            let sent = client
                .get(&format!("/v1/sent?request=from-{from}"))
                .await
                .expect("answers");
            assert_eq!(sent.body, rest.body, "from {from}");
        }
        let beyond = client.call(completion(&client, PIECES + 1)).await.expect("answers");
        assert_eq!(
            (beyond.status(), beyond.body.as_slice()),
            (409, br#"{"reason":"cannot_resume"}"#.as_slice())
        );
    });
}

// An engine fails during a stream. A client that takes the truncated answer for a complete one would show half of it.
#[test]
fn client_reports_an_error_for_a_broken_stream() {
    block_on(async {
        let engine = engine();
        for at in 0..=PIECES {
            let mut client = Client::new(engine.address);
            post(
                &mut client,
                "/fault",
                &format!(r#"{{"break_streams":1,"break_at":{at}}}"#),
            )
            .await;
            let broken = client.call(completion(&client, 0)).await;
            assert!(matches!(broken, Err(ClientError::Io(_))), "at {at}: {broken:?}");
        }
    });
}

// The platform applies a write and its answer is lost. A client that retries the write gets a conflict with its own
// value.
#[test]
fn write_with_lost_answer_is_applied_and_wakes_the_watch() {
    block_on(async {
        let platform = Running::start(Path::new(env!("CARGO_BIN_EXE_standin-platform")), &[]).expect("starts");
        let mut writer = Client::new(platform.address);
        let mut watcher = Client::new(platform.address);
        let watch = async_std::task::spawn(async move { watcher.get("/v1/watch?key=a&after=0&wait_ms=60000").await });
        while writer
            .get("/v1/calls")
            .await
            .expect("answers")
            .json::<Calls>()
            .expect("counts")
            .watches
            == 0
        {}
        post(&mut writer, "/fault", r#"{"lose_answers":1}"#).await;
        let put = wire::platform::Put {
            key: "a".into(),
            value: Some("x".into()),
            expect: 0.into(),
            lease: None,
        };
        assert!(writer.send(Method::Put, "/v1/kv", Some(&put)).await.is_err());
        writer.close();
        let again = writer.send(Method::Put, "/v1/kv", Some(&put)).await.expect("answers");
        // A watch that is not woken would return the entry only at its timeout, a minute later.
        let woken = async_std::future::timeout(HALF_WATCH, watch)
            .await
            .expect("watch is woken");
        let seen: Entry = woken.expect("answers").json().expect("an entry");
        assert_eq!((again.status(), again.json::<Entry>().expect("an entry")), (409, seen));
        let calls: Calls = writer.get("/v1/calls").await.expect("answers").json().expect("counts");
        assert_eq!(
            calls,
            Calls {
                reads: 1,
                writes: 2,
                watches: 1
            }
        );
    });
}
