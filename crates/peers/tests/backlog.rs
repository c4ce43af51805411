//! Backlog messages of other versions.

use dispatch::fleet::LaneTokens;
use ids::ServiceId;
use peers::BacklogMessage;

/// During an update, routers whose messages have prompt tokens only run beside new ones.
#[test]
fn lane_tokens_without_answers_are_accepted() {
    let old: BacklogMessage =
        serde_json::from_str(r#"{"l":[["pool",{"reading":2.0,"generating":1.0}]]}"#).expect("an old message");
    let tokens = LaneTokens {
        reading: 2.0,
        generating: 1.0,
        ..LaneTokens::default()
    };
    assert_eq!(old.lane_tokens, [(ServiceId::from("pool"), tokens)]);
}
