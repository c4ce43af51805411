//! Deterministic experiment over the pure modules with a cost model of engines.

fn main() {}
