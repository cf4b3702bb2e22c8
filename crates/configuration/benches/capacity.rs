//! Processor time of a change and memory of the document, by the number of services.

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

/// Services in a section.
const SECTION: u32 = 10;

/// Changes that are timed at each size.
const CHANGES: u32 = 400;

fn main() {
    let (mut memories, mut times) = (Vec::new(), Vec::new());
    for size in SIZES {
        let before = resident_bytes().unwrap();
        let mut configuration = Configuration::new();
        let changed = (0..size / SECTION).map(|number| text(number, 0)).collect();
        apply(&mut configuration, change(1, true, changed));
        memories.push((f64::from(size), resident_bytes().unwrap() - before));
        let start = Instant::now();
        for turn in 0..CHANGES {
            let changed = vec![text(turn % (size / SECTION), turn)];
            let revision = u64::from(turn) + 2;
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
        // Memory that is freed is not given back at once, so it must not serve the next size.
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

fn text(number: u32, turn: u32) -> Text {
    let mut text = format!("team = \"team-{number}\"\n");
    for service in number * SECTION..(number + 1) * SECTION {
        let [_, one, two, three] = service.to_be_bytes();
        text += &format!(
            "[[service]]\nname = \"service-{service}\"\nmode = \"flows\"\n\
             address = \"10.{one}.{two}.{three}\"\nport = {}\ntransport = \"tcp\"\n\
             endpoints = [\"service-{service}-*\"]\n",
            1000 + turn % 1000
        );
    }
    Text {
        name: format!("section-{number}").into(),
        text: text.into(),
        version: u64::from(turn) + 1,
    }
}
