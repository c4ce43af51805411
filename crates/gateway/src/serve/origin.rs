//! Binds a stream to the version of the software that began it.

use super::attempts::Attempts;
use super::{RoutedRequest, origins};
use crate::shared::Shared;
use dispatch::attempt::Cause;
use dispatch::fleet::{PickedEndpoint, SoftwareRule};
use dispatch::origins::{Continuation, Origin};
use dispatch::site::EndpointEntry;
use ids::{EndpointId, Incarnation};
use std::time::Duration;

/// An endpoint that sent an event.
pub(super) struct Sender {
    id: EndpointId,
    /// Its incarnation as it was known then.
    incarnation: Incarnation,
    /// When it sent its first event.
    pub(super) began: Duration,
}

impl Attempts<'_> {
    /// Records the version of the software that sends the first event of an attempt.
    pub(super) fn stream_began(&mut self, picked: &PickedEndpoint) {
        // The endpoint may have restarted with another version between its choice and its response.
        let entry = self.shared.fleet().endpoint(&picked.endpoint.id);
        let entry = entry.unwrap_or_else(|| picked.endpoint.clone());
        self.last_sender = Some(Sender {
            id: entry.id.clone(),
            incarnation: entry.incarnation,
            began: self.shared.clock.now(),
        });
        self.record.software = entry.software.to_string();
        if self.software.is_none() {
            self.software = Some(entry.software.clone());
            self.record_origin(&self.request.info.id, &entry);
        } else if let Some(begun) = &self.request.info.resumes {
            self.record_origin(begun, &entry);
        }
    }

    fn record_origin(&self, id: &str, entry: &EndpointEntry) {
        if self.request.route.kind.repeatable() {
            let origin = Origin {
                service: entry.service.clone(),
                software: entry.software.clone(),
            };
            origins::record(self.shared, id, origin);
        }
    }

    /// Which versions of the software the endpoint of the next attempt may have.
    pub(super) fn software_rule(&self) -> SoftwareRule<'_> {
        if let Some(software) = &self.software {
            return SoftwareRule::Only(software);
        }
        if !self.request.route.kind.resumable() {
            return SoftwareRule::Any;
        }
        let now = self.shared.clock.now();
        if self.shared.software().is_current(now) {
            SoftwareRule::Active
        } else {
            SoftwareRule::ActiveIfListed
        }
    }

    /// When the endpoint of an attempt sent its first event, if it has.
    pub(super) fn first_event(&self, picked: &PickedEndpoint) -> Option<Duration> {
        let sender = self.last_sender.as_ref();
        let sender = sender.filter(|sender| sender.id == picked.endpoint.id);
        sender.map(|sender| sender.began)
    }

    /// Whether it is certain which version of the software sent the events so far. An endpoint whose entry names another
    /// start now may have sent them before or after it.
    pub(super) fn is_origin_certain(&self) -> bool {
        let Some(sender) = &self.last_sender else {
            return true;
        };
        let entry = self.shared.fleet().endpoint(&sender.id);
        entry.is_none_or(|entry| entry.incarnation == sender.incarnation)
    }
}

/// Restricts a request that continues a stream to the service and the version of the software that began it.
pub(super) async fn continued<'a>(shared: &Shared, mut request: RoutedRequest<'a>) -> Result<RoutedRequest<'a>, Cause> {
    let info = &request.info;
    let continues = info.resumes.is_some() || info.last_event.is_some_and(|number| number > 0);
    if !continues || !request.route.kind.streams() {
        return Ok(request);
    }
    match origins::find(shared, info.resumes.as_deref(), &info.id, request.service).await {
        Continuation::Unknown => return Err(Cause::UnknownOrigin),
        Continuation::At(origin) => {
            let mut targets = request.route.targets.iter();
            let target = targets.find(|target| target.service == origin.service);
            request.service = target.map(|target| &target.service).ok_or(Cause::UnknownOrigin)?;
            request.software = Some(origin.software);
        }
    }
    Ok(request)
}
