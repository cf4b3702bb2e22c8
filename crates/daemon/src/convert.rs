//! Conversions between the inner protocol's generated types and the state machines' own.

use store::{
    Edit,
    Outcome,
    Version, //
};
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

/// An edit as the store keeps it; `time` in milliseconds since the Unix epoch.
pub fn edit(from: wire::Edit, time: u64) -> Edit {
    Edit {
        author: from.author,
        base: Version(from.base),
        id: from.id,
        section: from.section,
        team: None,
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
