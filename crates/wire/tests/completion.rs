//! Parsing of completion requests.

use std::borrow::Cow;
use wire::client::Completion;

struct Case {
    name: &'static str,
    body: &'static str,
    /// Model, rendered prompt, maximum tokens, streaming; or a part of the error.
    expected: Result<(&'static str, &'static str, Option<u32>, bool), &'static str>,
}

fn check(case: &Case) {
    let parsed = serde_json::from_str::<Completion>(case.body);
    match (parsed, &case.expected) {
        (Ok(parsed), Ok((model, prompt, max_tokens, stream))) => {
            assert_eq!(parsed.model, *model, "{}", case.name);
            assert_eq!(parsed.rendered(), *prompt, "{}", case.name);
            assert_eq!(
                (parsed.max_tokens, parsed.stream),
                (*max_tokens, *stream),
                "{}",
                case.name
            );
        }
        (Err(err), Err(part)) => assert!(err.to_string().contains(part), "{}: {err}", case.name),
        (parsed, _) => panic!("{}: {parsed:?}", case.name),
    }
}

/// A parser that rejects unknown fields breaks clients, and one that accepts duplicates may read another value than
/// the engine.
#[test]
fn known_fields_are_parsed_and_others_skipped() {
    let cases = [
        Case {
            name: "minimal",
            body: r#"{"model":"m","prompt":"p"}"#,
            expected: Ok(("m", "p", None, false)),
        },
        Case {
            name: "unknown fields and nulls",
            body: r#"{"model":"m","prompt":"p","tools":[{"a":[1]}],"stream":null,"max_tokens":null,"user":{"x":"y"}}"#,
            expected: Ok(("m", "p", None, false)),
        },
        Case {
            name: "escapes",
            body: r#"{"model":"m","prompt":"a\nb\u0041","stream":true,"max_tokens":7}"#,
            expected: Ok(("m", "a\nbA", Some(7), true)),
        },
        Case {
            name: "a chat",
            body: r#"{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u","name":"n"}]}"#,
            expected: Ok(("m", "system\ns\nuser\nu\n", None, false)),
        },
        Case {
            name: "no model",
            body: r#"{"prompt":"p"}"#,
            expected: Err("missing field `model`"),
        },
        Case {
            name: "duplicate field",
            body: r#"{"model":"m","prompt":"p","prompt":"q"}"#,
            expected: Err("duplicate field `prompt`"),
        },
        Case {
            name: "wrong type",
            body: r#"{"model":"m","prompt":["p"]}"#,
            expected: Err("a text"),
        },
        Case {
            name: "negative max_tokens",
            body: r#"{"model":"m","prompt":"p","max_tokens":-1}"#,
            expected: Err("invalid value"),
        },
        Case {
            name: "not an object",
            body: r#"["m"]"#,
            expected: Err("a completion request"),
        },
    ];
    cases.iter().for_each(check);
}

/// Copying each long prompt would slow down every request.
#[test]
fn a_prompt_without_escapes_is_not_copied() {
    let parsed: Completion = serde_json::from_str(r#"{"model":"m","prompt":"plain"}"#).expect("a completion");
    assert!(matches!(parsed.prompt, Some(Cow::Borrowed("plain"))));
    assert!(matches!(parsed.rendered(), Cow::Borrowed("plain")));
}
