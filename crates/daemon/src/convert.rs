//! Conversions between the inner protocol's generated types and the state machines' own.

use directory::Endpoint;
use membership::Instance;
use store::{
    Edit,
    Outcome,
    Version, //
};
use wire::Announcement;

/// The destination of a service's packets.
pub const fn destination(address: settings::Address) -> steering::Destination {
    steering::Destination {
        ip: address.ip,
        port: address.port,
        transport: match address.transport {
            settings::Transport::Tcp => steering::Transport::Tcp,
            settings::Transport::Udp => steering::Transport::Udp,
        },
    }
}

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
            wire::State::Draining => directory::State::Draining,
            wire::State::Ready => directory::State::Ready,
            wire::State::Starting => directory::State::Starting,
        },
    }
}

/// An endpoint as it is shown to operators.
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
            directory::State::Draining => wire::State::Draining,
            directory::State::Ready => wire::State::Ready,
            directory::State::Starting => wire::State::Starting,
        },
    }
}

/// An instance as the membership takes it.
pub fn instance(from: wire::Instance) -> Instance {
    Instance {
        admin: from.addresses.admin,
        centre: from.centre,
        fabric: from.addresses.fabric,
        incarnation: from.incarnation,
        inner: from.addresses.inner,
        name: from.name,
        requests: from.addresses.requests,
        store: from.store,
    }
}

/// An instance as heartbeats carry it.
pub fn heartbeat(from: &Instance) -> wire::Instance {
    wire::Instance {
        addresses: wire::Addresses {
            admin: from.admin,
            fabric: from.fabric,
            inner: from.inner,
            requests: from.requests,
        },
        centre: from.centre.clone(),
        incarnation: from.incarnation,
        name: from.name.clone(),
        store: from.store,
    }
}

/// An edit as the store keeps it; `time` in milliseconds since the Unix epoch.
pub fn edit(from: wire::Edit, time: u64) -> Edit {
    Edit {
        author: from.author,
        base: Version(from.base),
        id: from.id,
        section: from.section,
        team: from.team,
        text: from.text,
        time,
    }
}

/// An outcome as it is answered.
pub fn outcome(from: Outcome) -> wire::Outcome {
    match from {
        Outcome::Accepted { revision, version } => wire::Outcome::Accepted {
            revision: revision.0,
            version: version.0,
        },
        Outcome::Refused {
            advice,
            code,
            version,
        } => wire::Outcome::Refused {
            advice,
            code,
            version: version.0,
        },
    }
}
