//! Conversions of announcements between the inner protocol's types and the directory's.

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

/// An announcement as the directory takes it.
pub fn endpoint(from: Announcement) -> Endpoint {
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
            wire::State::Draining => State::Draining,
            wire::State::Ready => State::Ready,
            wire::State::Starting => State::Starting,
        },
    }
}

/// An endpoint as other instances and operators are told of it.
pub fn announcement(from: &Endpoint) -> Announcement {
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
            State::Draining => wire::State::Draining,
            State::Ready => wire::State::Ready,
            State::Starting => wire::State::Starting,
        },
    }
}

/// A received batch as the relay takes it.
pub fn batch(from: wire::Batch) -> Batch {
    Batch {
        echo: from.echo.map(|(stamp, held)| Echo {
            held: Duration::from_micros(held),
            stamp: Duration::from_micros(stamp),
        }),
        reports: from.reports.into_iter().map(report).collect(),
        route: match from.route {
            wire::Route::Direct => Route::Direct,
            wire::Route::Forward(to) => Route::Forward(to),
            wire::Route::Spread => Route::Spread,
        },
        stamp: Duration::from_micros(from.stamp),
    }
}

/// A batch as it is sent. Ages are rounded up, and times that an endpoint vouches for down.
pub fn sent_batch(from: &Batch) -> wire::Batch {
    wire::Batch {
        echo: from
            .echo
            .map(|echo| (micros(echo.stamp), micros(echo.held))),
        reports: from.reports.iter().map(sent_report).collect(),
        route: match from.route {
            Route::Direct => wire::Route::Direct,
            Route::Forward(to) => wire::Route::Forward(to),
            Route::Spread => wire::Route::Spread,
        },
        stamp: micros(from.stamp),
    }
}

fn report(from: wire::Report) -> Report {
    Report::new(endpoint(from.announcement))
        .with_age(Duration::from_millis(from.age))
        .with_bound(Duration::from_millis(from.bound))
        .with_warm(Duration::from_millis(from.warm))
}

fn sent_report(from: &Report) -> wire::Report {
    wire::Report {
        age: millis(from.age).saturating_add(1),
        announcement: announcement(&from.endpoint),
        bound: millis(from.bound),
        warm: millis(from.warm),
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
