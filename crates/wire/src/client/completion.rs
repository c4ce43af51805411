//! The fields that a router reads from a completion request. All other fields are forwarded to the engine unread.
//!
//! The visitor is written by hand for speed, since every request is parsed and prompts are long. Strings without escapes
//! are borrowed from the body, and other fields are skipped without allocation.

use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, MapAccess, Visitor};
use std::borrow::Cow;
use std::fmt;

/// The part of a completion request that a router needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion<'a> {
    /// The model.
    pub model: Cow<'a, str>,
    /// The prompt of `/v1/completions`.
    pub prompt: Option<Cow<'a, str>>,
    /// The messages of `/v1/chat/completions`.
    pub messages: Option<Vec<Message<'a>>>,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// Whether the response is requested as server-sent events.
    pub stream: bool,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq)]
pub struct Message<'a> {
    /// Role of the author.
    pub role: Cow<'a, str>,
    /// Text of the message.
    pub content: Cow<'a, str>,
}

impl Completion<'_> {
    /// The prompt as text. A chat is rendered message by message, each as role, newline, content, newline.
    pub fn rendered(&self) -> Cow<'_, str> {
        if let Some(prompt) = &self.prompt {
            return Cow::Borrowed(prompt);
        }
        let mut text = String::new();
        for message in self.messages.iter().flatten() {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&message.content);
            text.push('\n');
        }
        Cow::Owned(text)
    }
}

/// A string that is borrowed if its JSON has no escapes.
struct Text<'a>(Cow<'a, str>);

impl<'de> Deserialize<'de> for Text<'de> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(TextVisitor)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = Text<'de>;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("a text")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Text(Cow::Owned(text.to_owned())))
    }
}

impl<'de> Deserialize<'de> for Completion<'de> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_map(CompletionVisitor)
    }
}

struct CompletionVisitor;

impl<'de> Visitor<'de> for CompletionVisitor {
    type Value = Completion<'de>;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("a completion request")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut model = None;
        let mut prompt = None;
        let mut messages = None;
        let mut max_tokens = None;
        let mut stream = None;
        while let Some(Text(field)) = map.next_key()? {
            match field.as_ref() {
                "model" => set_once(&mut model, "model", map.next_value::<Text>()?.0)?,
                "prompt" => set_once(
                    &mut prompt,
                    "prompt",
                    map.next_value::<Option<Text>>()?.map(|text| text.0),
                )?,
                "messages" => set_once(&mut messages, "messages", map.next_value()?)?,
                "max_tokens" => set_once(&mut max_tokens, "max_tokens", map.next_value()?)?,
                "stream" => set_once(&mut stream, "stream", map.next_value::<Option<bool>>()?)?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(Completion {
            model: model.ok_or_else(|| Error::missing_field("model"))?,
            prompt: prompt.flatten(),
            messages: messages.flatten(),
            max_tokens: max_tokens.flatten(),
            stream: stream.flatten().unwrap_or(false),
        })
    }
}

impl<'de> Deserialize<'de> for Message<'de> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_map(MessageVisitor)
    }
}

struct MessageVisitor;

impl<'de> Visitor<'de> for MessageVisitor {
    type Value = Message<'de>;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("a message")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut role = None;
        let mut content = None;
        while let Some(Text(field)) = map.next_key()? {
            match field.as_ref() {
                "role" => set_once(&mut role, "role", map.next_value::<Text>()?.0)?,
                "content" => set_once(&mut content, "content", map.next_value::<Text>()?.0)?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(Message {
            role: role.ok_or_else(|| Error::missing_field("role"))?,
            content: content.ok_or_else(|| Error::missing_field("content"))?,
        })
    }
}

/// Rejects duplicate fields. The router and the engine could each use a different one of the two.
fn set_once<T, E: Error>(slot: &mut Option<T>, name: &'static str, value: T) -> Result<(), E> {
    if slot.replace(value).is_some() {
        return Err(E::duplicate_field(name));
    }
    Ok(())
}
