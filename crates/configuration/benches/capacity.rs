//! CPU time of a change and memory of the document, by number of services.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use std::{
    hint::black_box,
    time::Instant, //
};

use mimosausher_configuration::{
    Change,
    Configuration,
    Text, //
};
use standin::{
    Figure,
    Fit,
    resident_bytes, //
};

/// Numbers of services.
const SIZES: [u32; 5] = [2_500, 5_000, 10_000, 20_000, 40_000];

/// Number of services in a section.
const SECTION_SERVICES: u32 = 10;

/// Number of changes that are timed at each size.
const CHANGES: u32 = 400;

fn main() {
    let (mut memories, mut times) = (Vec::new(), Vec::new());
    for size in SIZES {
        let before = resident_bytes().unwrap();
        let mut configuration = Configuration::new();
        let changed = (0..size / SECTION_SERVICES)
            .map(|number| section(number, 0))
            .collect();
        apply(&mut configuration, change(1, true, changed));
        memories.push((f64::from(size), resident_bytes().unwrap() - before));
        let start = Instant::now();
        for round in 0..CHANGES {
            let changed = vec![section(round % (size / SECTION_SERVICES), round)];
            let revision = u64::from(round) + 2;
            apply(&mut configuration, change(revision, false, changed));
        }
        let nanos = start.elapsed().as_secs_f64() * 1e9 / f64::from(CHANGES);
        Figure::new(
            "configuration.change",
            &format!("{size} services"),
            nanos,
            "ns",
        )
        .print();
        times.push((f64::from(size), nanos));
        // Freed memory is not returned to the system at once, so the next size must not reuse it.
        std::mem::forget(black_box(configuration));
    }
    let case = "by service in the document";
    Fit::new(&times).print("capacity.configuration_ns", case, "ns/change");
    Fit::new(&memories).print("capacity.configuration_memory", case, "B");
}

fn apply(configuration: &mut Configuration, change: Change) {
    let prepared = configuration.prepare(change).unwrap();
    assert!(configuration.apply(prepared.unwrap()));
}

fn change(revision: u64, complete: bool, changed: Vec<Text>) -> Change {
    Change {
        changed,
        complete,
        removed: Vec::new(),
        revision,
    }
}

fn section(number: u32, round: u32) -> Text {
    let mut text = format!("team = \"team-{number}\"\n");
    for service in number * SECTION_SERVICES..(number + 1) * SECTION_SERVICES {
        let [_, one, two, three] = service.to_be_bytes();
        text += &format!(
            "[[service]]\nname = \"service-{service}\"\nmode = \"flows\"\n\
             address = \"10.{one}.{two}.{three}\"\nport = {}\ntransport = \"tcp\"\n\
             endpoints = [\"service-{service}-*\"]\n",
            1000 + round % 1000
        );
    }
    Text {
        name: format!("section-{number}").into(),
        text: text.into(),
        version: u64::from(round) + 1,
    }
}
