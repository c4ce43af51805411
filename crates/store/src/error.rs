//! Why a call to the platform failed.

use quick_error::quick_error;

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// Nothing was sent: a write has not taken effect.
        NotSent {
            display("the platform cannot be reached")
        }
        /// The call was sent, but no complete response arrived: a write may have taken effect.
        Lost {
            display("the platform's response was lost")
        }
        /// The platform rejected the call.
        Refused(status: u16) {
            display("the platform responded with status {status}")
        }
        /// The response cannot be parsed.
        Malformed(err: serde_json::Error) {
            from()
            display("the platform's response cannot be parsed: {err}")
        }
    }
}

impl PlatformError {
    /// Whether a write that failed with this error may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost | Self::Malformed(_))
    }
}
