//! Follows the configuration in the platform: one watch on the head, and a read of each section that changed.

use super::event::{Configured, Event};
use crate::shared::Shared;
use ::control::following::Follow;
use async_std::task;
use config::{HEAD_KEY, Head, Section};
use ids::Version;
use quick_error::quick_error;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wire::platform::Entry;

/// Pause after a failure, so that an outage is not made worse; spread by the router's own draw against herds.
const PAUSE: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a head could not be followed.
    #[derive(Debug)]
    enum FeedError {
        /// The platform did not answer.
        Platform(err: store::PlatformError) {
            from()
            display("{err}")
        }
        /// What was read does not make a document.
        Assemble(err: config::AssembleError) {
            from()
            display("{err}")
        }
    }
}

/// Sections read so far, by their key.
type Texts = BTreeMap<Section, (String, String)>;

/// Runs until the control thread has gone.
pub async fn run(shared: Arc<Shared>) {
    let mut version = Version(0);
    let mut texts = Texts::new();
    let mut failing = false;
    loop {
        match follow(&shared, version, &mut texts).await {
            Ok(Some((newer, event))) => {
                version = newer;
                if let Some(event) = event
                    && shared.events.send(event).await.is_err()
                {
                    return;
                }
                failing = false;
            }
            Ok(None) => {
                failing = false;
                if version == Version(0) {
                    super::send(&shared, Event::ConfigEmpty).await;
                }
            }
            Err(err) => {
                if !failing {
                    log::warn!("configuration cannot be followed: {err}");
                }
                failing = true;
                super::send(&shared, Event::ConfigFailed).await;
                task::sleep(PAUSE + PAUSE.mul_f64(rand::random())).await;
            }
        }
    }
}

/// A head newer than `version`, if there is one in time. Few routers of a domain watch; the others hear of a change from
/// those, and read now and then in case they do not.
async fn next_head(shared: &Shared, version: Version) -> Result<Option<Entry>, FeedError> {
    let follow = **shared.follow.load();
    if let Follow::Read(every) = follow
        && version != Version(0)
    {
        task::sleep(every.mul_f64(0.5 + rand::random::<f64>())).await;
        let entry = shared.platform.get(HEAD_KEY).await?;
        return Ok(entry.filter(|entry| entry.version > version));
    }
    let wait = Duration::from_millis(shared.settings.platform.watch_ms);
    Ok(shared.platform.watch(HEAD_KEY, version, wait).await?)
}

/// Waits for a head newer than `version`.
async fn follow(
    shared: &Shared,
    version: Version,
    texts: &mut Texts,
) -> Result<Option<(Version, Option<Event>)>, FeedError> {
    let Some(entry) = next_head(shared, version).await? else {
        return Ok(None);
    };
    let Some(value) = entry.value else {
        return Ok(None);
    };
    let head = Head::read(&value)?;
    // A peer was faster: its sections are here already, and need not be read again.
    let in_force = shared.view.load().as_ref().map(|view| view.revision);
    if in_force >= Some(head.revision) {
        return Ok(Some((entry.version, None)));
    }
    for (section, named) in &head.sections {
        let key = named.key(*section);
        if texts.get(section).is_some_and(|(known, _)| *known == key) {
            continue;
        }
        let read = shared.platform.get(&key).await?;
        let text = read
            .and_then(|entry| entry.value)
            .ok_or(config::AssembleError::Missing(*section))?;
        texts.insert(*section, (key, text));
    }
    let plain = texts
        .iter()
        .map(|(section, (_, text))| (*section, text.clone()))
        .collect();
    let configured = Configured::assemble(head, plain)?;
    Ok(Some((entry.version, Some(Event::Config(Box::new(configured))))))
}
