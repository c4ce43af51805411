//! The shipped binary: command line and logs.

fn main() {}
