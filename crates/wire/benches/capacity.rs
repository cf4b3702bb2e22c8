//! Size of a reply to a follower, by the number of services in the changed section.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use mimosausher_wire::{
    Delta,
    FollowReply,
    SectionText, //
};
use standin::Fit;

/// Numbers of services in the section.
const SERVICE_COUNTS: [u32; 5] = [1, 5, 10, 50, 100];

/// Maximum overhead of the frame header and the call envelope, in bytes.
const OVERHEAD_BYTES: usize = 24;

fn main() {
    let points: Vec<_> = SERVICE_COUNTS
        .map(|services| (f64::from(services), reply_bytes(services)))
        .to_vec();
    let case = "by service in the section that changed";
    Fit::new(&points).print("capacity.delta_bytes", case, "B");
}

fn reply_bytes(services: u32) -> f64 {
    let mut text = String::from("team = \"team-1\"\n");
    for service in 0..services {
        text += &format!(
            "[[service]]\nname = \"service-{service}\"\nmode = \"flows\"\naddress = \"10.0.0.1\"\n\
             port = {}\ntransport = \"tcp\"\nendpoints = [\"service-{service}-*\"]\n",
            1000 + service
        );
    }
    let reply = FollowReply {
        confirmed: true,
        delta: Some(Delta {
            changed: vec![SectionText {
                name: "section-1".into(),
                text: text.into(),
                version: 1000,
            }],
            complete: false,
            removed: Vec::new(),
            revision: 100_000,
        }),
        revision: 100_000,
    };
    let length = postcard::to_stdvec(&reply).unwrap().len() + OVERHEAD_BYTES;
    f64::from(u32::try_from(length).unwrap())
}
