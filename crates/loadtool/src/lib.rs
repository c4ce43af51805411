//! Open-loop load and experiments against our own stand-ins on loopback. Never shipped.

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
