//! Messages on parts of prompts, and compatibility with older routers.

use dispatch::fatal_parts::PartId;
use peers::{AnswerMessage, PartsMessage, ReleaseMessage};

const PART: PartId = PartId { model: 1, id: 9 };

/// Older routers don't tell when the answer to a released part began.
#[test]
fn a_release_of_an_older_router_parses() {
    let text = r#"{"r":[[{"m":1,"i":9},200]]}"#;
    let message: PartsMessage = serde_json::from_str(text).expect("a message");
    assert_eq!(message.released, [ReleaseMessage(PART, 200)]);
    assert_eq!(message.answered, []);
    assert_eq!(serde_json::to_string(&message).expect("text"), text);
}

/// Older routers read releases as pairs and pass over unknown fields.
#[test]
fn a_release_by_an_answer_is_readable_for_older_routers() {
    let message = PartsMessage {
        released: vec![ReleaseMessage(PART, 200)],
        answered: vec![AnswerMessage(PART, 400)],
        ..PartsMessage::default()
    };
    let text = serde_json::to_string(&message).expect("text");
    assert_eq!(text, r#"{"r":[[{"m":1,"i":9},200]],"a":[[{"m":1,"i":9},400]]}"#);
    assert_eq!(serde_json::from_str::<PartsMessage>(&text).expect("a message"), message);
}
