//! Admission, limits, placement and retries of requests.

mod dispatch;

pub use crate::dispatch::{
    Candidate,
    Dispatch,
    Placement, //
};
