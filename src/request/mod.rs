//! What lives as long as a request.

pub mod outcome;
pub mod request_id;
pub mod work_lane;
