//! Bytes of an answer to a follower, by the number of services in the section that changed.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use mimosausher_wire::{
    Delta,
    Followed,
    SectionText, //
};
use standin::Fit;

/// Numbers of services in the section.
const SIZES: [u32; 5] = [1, 5, 10, 50, 100];

/// Bytes of the frame's length and of the call around the answer, at most.
const FRAME_BYTES: usize = 24;

fn main() {
    let points: Vec<_> = SIZES
        .map(|services| (f64::from(services), bytes(services)))
        .to_vec();
    let case = "by service in the section that changed";
    Fit::new(&points).print("capacity.delta_bytes", case, "B");
}

fn bytes(services: u32) -> f64 {
    let mut text = String::from("team = \"team-1\"\n");
    for service in 0..services {
        text += &format!(
            "[[service]]\nname = \"service-{service}\"\nmode = \"flows\"\naddress = \"10.0.0.1\"\n\
             port = {}\ntransport = \"tcp\"\nendpoints = [\"service-{service}-*\"]\n",
            1000 + service
        );
    }
    let followed = Followed {
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
    let length = postcard::to_stdvec(&followed).unwrap().len() + FRAME_BYTES;
    f64::from(u32::try_from(length).unwrap())
}
