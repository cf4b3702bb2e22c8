//! Conversions between the announcements of the wire protocol and those of the directory.

use std::time::Duration;

use directory::{
    Batch,
    Echo,
    Endpoint,
    Report,
    Route,
    State, //
};
use wire::Announcement;

/// Converts an announcement from the wire.
pub fn endpoint_from_wire(from: Announcement) -> Endpoint {
    Endpoint {
        address: from.address,
        centre: from.centre,
        connections: from.connections,
        incarnation: from.incarnation,
        load: from.load,
        name: from.name,
        sequence: from.sequence,
        service: from.service,
        slots: from.slots,
        state: match from.state {
            wire::EndpointState::Draining => State::Draining,
            wire::EndpointState::Ready => State::Ready,
            wire::EndpointState::Starting => State::Starting,
        },
    }
}

/// Converts an endpoint to the wire.
pub fn endpoint_to_wire(from: &Endpoint) -> Announcement {
    Announcement {
        address: from.address,
        centre: from.centre.clone(),
        connections: from.connections,
        incarnation: from.incarnation,
        load: from.load,
        name: from.name.clone(),
        sequence: from.sequence,
        service: from.service.clone(),
        slots: from.slots,
        state: match from.state {
            State::Draining => wire::EndpointState::Draining,
            State::Ready => wire::EndpointState::Ready,
            State::Starting => wire::EndpointState::Starting,
        },
    }
}

/// Converts a batch from the wire.
pub fn batch_from_wire(from: wire::Batch) -> Batch {
    Batch {
        echo: from.echo.map(|(stamp, held)| Echo {
            held: Duration::from_micros(held),
            stamp: Duration::from_micros(stamp),
        }),
        reports: from.reports.into_iter().map(report_from_wire).collect(),
        route: match from.route {
            wire::Route::Direct => Route::Direct,
            wire::Route::Forward(to) => Route::Forward(to),
            wire::Route::Spread => Route::Spread,
        },
        stamp: Duration::from_micros(from.stamp),
    }
}

/// Converts a batch to the wire. Ages are upper bounds and are rounded up; the times for which
/// an endpoint has held its address and has been ready are rounded down, so that they are never
/// overstated.
pub fn batch_to_wire(from: &Batch) -> wire::Batch {
    wire::Batch {
        echo: from
            .echo
            .map(|echo| (micros(echo.stamp), micros(echo.held))),
        reports: from.reports.iter().map(report_to_wire).collect(),
        route: match from.route {
            Route::Direct => wire::Route::Direct,
            Route::Forward(to) => wire::Route::Forward(to),
            Route::Spread => wire::Route::Spread,
        },
        stamp: micros(from.stamp),
    }
}

fn report_from_wire(from: wire::Report) -> Report {
    Report::new(endpoint_from_wire(from.announcement))
        .with_age(Duration::from_millis(from.age))
        .with_bound_for(Duration::from_millis(from.bound))
        .with_ready_for(Duration::from_millis(from.warm))
}

fn report_to_wire(from: &Report) -> wire::Report {
    wire::Report {
        age: millis(from.age).saturating_add(1),
        announcement: endpoint_to_wire(&from.endpoint),
        bound: millis(from.bound_for),
        warm: millis(from.ready_for),
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
