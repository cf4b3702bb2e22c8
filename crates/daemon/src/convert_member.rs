//! Conversions between the instances of the wire protocol and those of the membership.

use membership::{
    Body,
    Instance,
    Message,
    Rumour,
    Standing, //
};

/// Converts an instance from the wire.
pub fn instance_from_wire(from: wire::Instance) -> Instance {
    Instance {
        admin: from.addresses.admin,
        centre: from.centre,
        fabric: from.addresses.fabric,
        incarnation: from.incarnation,
        inner: from.addresses.inner,
        name: from.name,
        refutation: from.refutation,
        requests: from.addresses.requests,
        store: from.store,
    }
}

/// Converts an instance to the wire.
pub fn instance_to_wire(from: &Instance) -> wire::Instance {
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
        refutation: from.refutation,
        store: from.store,
    }
}

/// Converts a standing to the wire.
pub const fn standing_to_wire(from: Standing) -> wire::Standing {
    match from {
        Standing::Alive => wire::Standing::Alive,
        Standing::Suspected => wire::Standing::Suspected,
        Standing::Dead => wire::Standing::Dead,
        Standing::Left => wire::Standing::Left,
    }
}

/// Converts a message from the wire.
pub fn message_from_wire(from: wire::MembershipMessage) -> Message {
    let rumours = from.rumours.into_iter().map(|(member, standing)| Rumour {
        instance: instance_from_wire(member),
        standing: match standing {
            wire::Standing::Alive => Standing::Alive,
            wire::Standing::Suspected => Standing::Suspected,
            wire::Standing::Dead => Standing::Dead,
            wire::Standing::Left => Standing::Left,
        },
    });
    Message {
        body: match from.body {
            wire::MembershipBody::Ack(probe) => Body::Ack { probe },
            wire::MembershipBody::Join => Body::Join,
            wire::MembershipBody::Ping(probe) => Body::Ping { probe },
            wire::MembershipBody::Request(probe, target) => Body::Request { probe, target },
            wire::MembershipBody::Tell => Body::Tell,
        },
        rumours: rumours.collect(),
        from: instance_from_wire(from.from),
    }
}

/// Converts a message to the wire.
pub fn message_to_wire(from: &Message) -> wire::MembershipMessage {
    wire::MembershipMessage {
        body: match from.body {
            Body::Ack { probe } => wire::MembershipBody::Ack(probe),
            Body::Join => wire::MembershipBody::Join,
            Body::Ping { probe } => wire::MembershipBody::Ping(probe),
            Body::Request { probe, target } => wire::MembershipBody::Request(probe, target),
            Body::Tell => wire::MembershipBody::Tell,
        },
        from: instance_to_wire(&from.from),
        rumours: from
            .rumours
            .iter()
            .map(|rumour| {
                (
                    instance_to_wire(&rumour.instance),
                    standing_to_wire(rumour.standing),
                )
            })
            .collect(),
    }
}
