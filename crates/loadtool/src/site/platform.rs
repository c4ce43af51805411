//! Publishes configuration documents and sets the list of VMs.

use super::{Router, vm};
use crate::error::ToolError;
use config::{Change, ChangeId, HEAD_KEY, OperatorKey, Plan, Section, UnixMillis, View, bootstrap, plan_change};
use http_types::Method;
use ids::{Digest, Version};
use serde_json::Value;
use standins::http::Client;
use std::net::SocketAddr;
use wire::platform::{Entry, Fault, Put, Vm, VmState};

/// The key of the only operator.
pub const OPERATOR_KEY: &str = "operator-key";
const OPERATOR: &str = "ops";

/// Holds the active configuration and publishes changes.
#[derive(Debug)]
pub struct Publisher {
    client: Client,
    view: View,
    head: Version,
    changes: u64,
}

/// Publishes the first document.
///
/// # Errors
/// If it is refused.
pub async fn publish(platform: SocketAddr, document: &Value) -> Result<Publisher, ToolError> {
    let id = ChangeId::from("change-0".to_owned());
    let plan = bootstrap(&id, OPERATOR, &operator(), &document.to_string(), UnixMillis(0))?;
    let mut client = Client::new(platform);
    let head = write(&mut client, &plan, Version(0)).await?;
    Ok(Publisher {
        client,
        view: view(plan),
        head,
        changes: 0,
    })
}

impl Publisher {
    /// Replaces one section.
    ///
    /// # Errors
    /// If it is refused.
    pub async fn change(&mut self, section: Section, after: String) -> Result<(), ToolError> {
        self.changes += 1;
        let before = config::section_text(&self.view.document, section);
        let change = Change {
            id: ChangeId::from(format!("change-{}", self.changes)),
            operator: OPERATOR.to_owned(),
            section,
            before: Digest::of(before.as_bytes()),
            after,
        };
        let plan = plan_change(&self.view, &change, &operator(), UnixMillis(self.changes))?;
        self.head = write(&mut self.client, &plan, self.head).await?;
        self.view = view(plan);
        Ok(())
    }

    /// The active revision.
    pub fn revision(&self) -> u64 {
        self.view.head.revision.0
    }
}

fn operator() -> OperatorKey {
    OperatorKey::from(OPERATOR_KEY.to_owned())
}

fn view(plan: Plan) -> View {
    View {
        head: plan.head,
        document: plan.document,
        log: plan.log,
    }
}

async fn write(client: &mut Client, plan: &Plan, head: Version) -> Result<Version, ToolError> {
    for value in &plan.puts {
        put(client, &value.key, &value.text, Version(0)).await?;
    }
    put(client, HEAD_KEY, &plan.head.text(), head).await
}

async fn put(client: &mut Client, key: &str, text: &str, expect: Version) -> Result<Version, ToolError> {
    let put = Put {
        key: key.to_owned(),
        value: Some(text.to_owned()),
        expect,
        lease: None,
    };
    let answer = client.send(Method::Put, "/v1/kv", Some(&put)).await?;
    match answer.status() {
        200 => Ok(answer.json::<Entry>()?.version),
        status => Err(ToolError::Status("put", status)),
    }
}

/// Sets the list of VMs to these routers.
///
/// # Errors
/// If the platform refuses it.
pub async fn set_vms(platform: SocketAddr, routers: &[(Router, String)]) -> Result<(), ToolError> {
    let vms = routers.iter().enumerate().map(|(index, (router, domain))| Vm {
        id: vm(index),
        address: router.peers.to_string(),
        domain: domain.as_str().into(),
        state: VmState::Live,
    });
    let fault = Fault {
        vms: Some(vms.collect()),
        ..Fault::default()
    };
    super::set_fault(platform, &fault).await
}
