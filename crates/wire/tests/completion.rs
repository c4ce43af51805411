//! What a router reads of a completion's body.

use std::borrow::Cow;
use wire::client::Completion;

struct Case {
    name: &'static str,
    body: &'static str,
    /// Model, rendered prompt, most tokens, streamed; or a part of the error.
    read: Result<(&'static str, &'static str, Option<u32>, bool), &'static str>,
}

fn check(case: &Case) {
    let read = serde_json::from_str::<Completion>(case.body);
    match (read, &case.read) {
        (Ok(read), Ok((model, prompt, max_tokens, stream))) => {
            assert_eq!(read.model, *model, "{}", case.name);
            assert_eq!(read.rendered(), *prompt, "{}", case.name);
            assert_eq!((read.max_tokens, read.stream), (*max_tokens, *stream), "{}", case.name);
        }
        (Err(err), Err(part)) => assert!(err.to_string().contains(part), "{}: {err}", case.name),
        (read, _) => panic!("{}: {read:?}", case.name),
    }
}

#[test]
fn fields_are_read_or_skipped() {
    let cases = [
        Case {
            name: "least",
            body: r#"{"model":"m","prompt":"p"}"#,
            read: Ok(("m", "p", None, false)),
        },
        Case {
            name: "unknown fields and nulls",
            body: r#"{"model":"m","prompt":"p","tools":[{"a":[1]}],"stream":null,"max_tokens":null,"user":{"x":"y"}}"#,
            read: Ok(("m", "p", None, false)),
        },
        Case {
            name: "escapes",
            body: r#"{"model":"m","prompt":"a\nb\u0041","stream":true,"max_tokens":7}"#,
            read: Ok(("m", "a\nbA", Some(7), true)),
        },
        Case {
            name: "a chat",
            body: r#"{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u","name":"n"}]}"#,
            read: Ok(("m", "system\ns\nuser\nu\n", None, false)),
        },
        Case {
            name: "no model",
            body: r#"{"prompt":"p"}"#,
            read: Err("missing field `model`"),
        },
        Case {
            name: "twice",
            body: r#"{"model":"m","prompt":"p","prompt":"q"}"#,
            read: Err("duplicate field `prompt`"),
        },
        Case {
            name: "wrong type",
            body: r#"{"model":"m","prompt":["p"]}"#,
            read: Err("a text"),
        },
        Case {
            name: "negative",
            body: r#"{"model":"m","prompt":"p","max_tokens":-1}"#,
            read: Err("invalid value"),
        },
        Case {
            name: "not an object",
            body: r#"["m"]"#,
            read: Err("a completion request"),
        },
    ];
    cases.iter().for_each(check);
}

#[test]
fn a_prompt_without_escapes_is_not_copied() {
    let read: Completion = serde_json::from_str(r#"{"model":"m","prompt":"plain"}"#).expect("a completion");
    assert!(matches!(read.prompt, Some(Cow::Borrowed("plain"))));
    assert!(matches!(read.rendered(), Cow::Borrowed("plain")));
}
