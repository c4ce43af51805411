//! Open-loop load and experiments against the stand-ins. Never shipped.

fn main() {}
