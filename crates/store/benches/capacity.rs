//! CPU time of an edit and memory of the ledger, by number of sections.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use std::{
    hint::black_box,
    time::Instant, //
};

use mimosausher_store::{
    Edit,
    Ledger,
    Outcome,
    Version, //
};
use standin::{
    Figure,
    Fit,
    resident_bytes, //
};

/// Numbers of sections.
const SIZES: [u32; 5] = [125, 250, 500, 1_000, 1_500];

/// Number of services in a section.
const SECTION_SERVICES: u32 = 10;

/// Number of edits that are timed at each size.
const EDITS: u32 = 50;

fn main() {
    let (mut memories, mut times) = (Vec::new(), Vec::new());
    for size in SIZES {
        let before = resident_bytes().unwrap();
        let mut ledger = Ledger::new();
        for section in 0..size {
            accept(&mut ledger, &edit(section, 0));
        }
        memories.push((f64::from(size), resident_bytes().unwrap() - before));
        let start = Instant::now();
        for section in 0..EDITS {
            accept(&mut ledger, &edit(section, 1));
        }
        let nanos = start.elapsed().as_secs_f64() * 1e9 / f64::from(EDITS);
        Figure::new("ledger.edit", &format!("{size} sections"), nanos, "ns").print();
        times.push((f64::from(size), nanos));
        // Freed memory is not returned to the system at once, so the next size must not reuse it.
        std::mem::forget(black_box(ledger));
    }
    let case = "by section of 10 services";
    Fit::new(&times).print("capacity.ledger_ns", case, "ns/edit");
    Fit::new(&memories).print("capacity.ledger_memory", case, "B");
}

fn accept(ledger: &mut Ledger, edit: &Edit) {
    let outcome = ledger.apply(edit);
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

fn edit(section: u32, version: u32) -> Edit {
    let mut text = format!("team = \"team-{section}\"\n");
    for service in section * SECTION_SERVICES..(section + 1) * SECTION_SERVICES {
        let [_, one, two, three] = service.to_be_bytes();
        text += &format!(
            "[[service]]\nname = \"service-{service}\"\nmode = \"flows\"\n\
             address = \"10.{one}.{two}.{three}\"\nport = {}\ntransport = \"tcp\"\n\
             endpoints = [\"service-{service}-*\"]\n",
            1000 + version
        );
    }
    Edit {
        author: "bench".into(),
        base: Version(version.into()),
        id: format!("{section}-{version}").into(),
        section: format!("section-{section}").into(),
        team: None,
        text: text.into(),
        time: 0,
    }
}
