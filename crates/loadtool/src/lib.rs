//! Open-loop load tests and measurements against the stand-ins on loopback. Not part of a release.

pub mod demo;
pub mod error;
pub mod faults;
pub mod measure;
pub mod report;
pub mod run;
pub mod scenario;
pub mod site;
pub mod table;
pub mod workload;
