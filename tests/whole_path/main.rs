//! End-to-end tests of the real daemons over loopback: requests, rejections, graceful stops and
//! kills.

mod caller;
mod faults;
mod fleet;
mod leaving;
mod limits;
mod operators;
mod orders;
mod requests;
mod silence;
mod steps;
mod versions;
