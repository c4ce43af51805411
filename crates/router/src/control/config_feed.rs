//! Follows the configuration in the platform: watches the head and reads each section that changed.

use super::event::{AssembledConfig, Event};
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

/// Base delay after a failure, so that routers do not add load in an outage. A random addition spreads their retries.
const RETRY_DELAY: Duration = Duration::from_millis(500);

quick_error! {
    /// Why the configuration could not be read.
    #[derive(Debug)]
    enum FeedError {
        /// The platform call failed.
        Platform(err: store::PlatformError) {
            from()
            display("{err}")
        }
        /// The texts are not a valid configuration.
        Assemble(err: config::AssembleError) {
            from()
            display("{err}")
        }
    }
}

/// Key and text of each section read so far.
type Texts = BTreeMap<Section, (String, String)>;

/// Runs until the control thread has ended.
pub async fn run(shared: Arc<Shared>) {
    let mut version = Version(0);
    let mut texts = Texts::new();
    let mut failing = false;
    loop {
        match follow(&shared, version, &mut texts).await {
            Ok(Some((latest, event))) => {
                version = latest;
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
                    log::warn!("cannot read the configuration: {err}");
                }
                failing = true;
                super::send(&shared, Event::ConfigFailed).await;
                task::sleep(RETRY_DELAY + RETRY_DELAY.mul_f64(rand::random())).await;
            }
        }
    }
}

/// Returns a head newer than `version`, if there is one in time. A few routers of a domain watch the head. The others
/// receive changes from these, and also read the head periodically in case a change does not reach them.
async fn next_head(shared: &Shared, version: Version) -> Result<Option<Entry>, FeedError> {
    let follow = **shared.follow_mode.load();
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

/// Waits for a head newer than `version` and assembles its configuration.
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
    // This revision was already received from a peer; its sections need not be read.
    let in_force = shared.view.load().as_ref().map(|view| view.revision);
    if in_force >= Some(head.revision) {
        return Ok(Some((entry.version, None)));
    }
    for (section, section_ref) in &head.sections {
        let key = section_ref.key(*section);
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
    let configured = AssembledConfig::assemble(head, plain)?;
    Ok(Some((entry.version, Some(Event::Config(Box::new(configured))))))
}
