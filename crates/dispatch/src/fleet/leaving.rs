//! Endpoints that have stated on their answers that they leave.

use super::Fleet;
use crate::leaving::LeavingEndpoint;

impl Fleet {
    /// Chooses an endpoint no more, because it has stated that it leaves. Returns whether the statement is new to the
    /// endpoints in service.
    pub fn mark_leaving(&mut self, endpoint: &LeavingEndpoint) -> bool {
        let Some(state) = self.endpoint_mut(&endpoint.id, endpoint.incarnation) else {
            return true;
        };
        let is_new = state.mark_leaving();
        if is_new {
            self.places.invalidate();
        }
        is_new
    }
}
