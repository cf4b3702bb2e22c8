//! Conversions of instances between the inner protocol's types and the membership's.

use membership::{
    Body,
    Instance,
    Message,
    Rumour,
    Standing, //
};

/// An instance as the membership takes it.
pub fn instance(from: wire::Instance) -> Instance {
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

/// An instance as others are told of it.
pub fn described(from: &Instance) -> wire::Instance {
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

/// A standing as others are told of it.
pub const fn standing(from: Standing) -> wire::Standing {
    match from {
        Standing::Alive => wire::Standing::Alive,
        Standing::Suspected => wire::Standing::Suspected,
        Standing::Dead => wire::Standing::Dead,
        Standing::Left => wire::Standing::Left,
    }
}

/// A received message.
pub fn message(from: wire::Member) -> Message {
    let rumours = from.rumours.into_iter().map(|(known, standing)| Rumour {
        instance: instance(known),
        standing: match standing {
            wire::Standing::Alive => Standing::Alive,
            wire::Standing::Suspected => Standing::Suspected,
            wire::Standing::Dead => Standing::Dead,
            wire::Standing::Left => Standing::Left,
        },
    });
    Message {
        body: match from.body {
            wire::Body::Ack(probe) => Body::Ack { probe },
            wire::Body::Join => Body::Join,
            wire::Body::Ping(probe) => Body::Ping { probe },
            wire::Body::Request(probe, target) => Body::Request { probe, target },
            wire::Body::Tell => Body::Tell,
        },
        rumours: rumours.collect(),
        from: instance(from.from),
    }
}

/// A message as it is sent.
pub fn sent_message(from: &Message) -> wire::Member {
    wire::Member {
        body: match from.body {
            Body::Ack { probe } => wire::Body::Ack(probe),
            Body::Join => wire::Body::Join,
            Body::Ping { probe } => wire::Body::Ping(probe),
            Body::Request { probe, target } => wire::Body::Request(probe, target),
            Body::Tell => wire::Body::Tell,
        },
        from: described(&from.from),
        rumours: from
            .rumours
            .iter()
            .map(|rumour| (described(&rumour.instance), standing(rumour.standing)))
            .collect(),
    }
}
