//! What a router that has just started assumes of the engines that it finds.
//!
//! Load pattern: all routers restart while engines keep their caches. A router that took these engines for new would
//! scatter prompts over the pool for ten seconds, where they evict each other's prefixes. Then all
//! routers would return to the homes at the same moment, and the engines would read all prompts again.

use super::Fleet;
use ids::EndpointId;

impl Fleet {
    /// Records that the first complete list of endpoints has been read. The endpoints on it have served before, except
    /// those that loaded weights recently.
    pub fn first_list_read(&mut self, loaded_recently: &[EndpointId]) {
        for (id, state) in &mut self.endpoints {
            if !loaded_recently.contains(id) {
                state.assume_cached();
            }
        }
    }
}
