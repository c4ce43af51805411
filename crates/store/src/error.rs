//! Why a call to the platform failed.

use quick_error::quick_error;

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// No byte left: a write has not taken effect.
        NotSent {
            display("the platform cannot be reached")
        }
        /// The call was sent and no whole answer came: a write may have taken effect.
        Lost {
            display("the platform's answer was lost")
        }
        /// The platform refused the call.
        Refused(status: u16) {
            display("the platform answered with status {status}")
        }
        /// The answer cannot be read.
        Malformed(err: serde_json::Error) {
            from()
            display("the platform's answer cannot be read: {err}")
        }
    }
}

impl PlatformError {
    /// Whether a write that failed this way may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost | Self::Malformed(_))
    }
}
