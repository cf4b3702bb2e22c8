//! Fixed-size identities that every instance derives identically from names and headers.

use std::{
    hash::Hasher,
    net::IpAddr, //
};

use siphasher::sip::SipHasher13;

use crate::flow::{
    Flow,
    Transport, //
};

/// Identity of one incarnation of an endpoint.
///
/// An address reused under another name, service or incarnation has another identity.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointId(pub u64);

impl EndpointId {
    /// Derives the identity of an incarnation of the endpoint `name` of `service`.
    pub fn new(name: &str, service: &str, incarnation: u64) -> Self {
        let mut hasher = SipHasher13::new();
        write_text(&mut hasher, name);
        write_text(&mut hasher, service);
        hasher.write(&incarnation.to_le_bytes());
        Self(hasher.finish())
    }
}

/// Identity of a flow.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowId(pub u64);

impl FlowId {
    /// Derives the identity of a flow from its addresses, ports and protocol.
    pub fn new(flow: &Flow) -> Self {
        let mut hasher = SipHasher13::new();
        write_address(&mut hasher, flow.ip);
        hasher.write(&flow.port.to_le_bytes());
        write_address(&mut hasher, flow.destination.ip);
        hasher.write(&flow.destination.port.to_le_bytes());
        hasher.write(match flow.destination.transport {
            Transport::Tcp => &[6],
            Transport::Udp => &[17],
        });
        Self(hasher.finish())
    }

    /// Hash of the flow with a salt.
    pub(crate) const fn salted_hash(self, salt: u64) -> u64 {
        mix(self.0 ^ mix(salt))
    }
}

/// Identity of an instance.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct InstanceId(pub u32);

impl InstanceId {
    /// Derives the identity of the instance `name`.
    pub fn new(name: &str) -> Self {
        Self(low_half(digest(name)))
    }
}

/// Identity of a service.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceId(pub u64);

impl ServiceId {
    /// Derives the identity of the service `name`.
    pub fn new(name: &str) -> Self {
        Self(digest(name))
    }
}

/// The finalizer of `SplitMix64` (Steele, Lea and Flood, 2014).
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The low 32 bits of an integer.
pub const fn low_half(value: u64) -> u32 {
    let [a, b, c, d, ..] = value.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

fn digest(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    write_text(&mut hasher, name);
    hasher.finish()
}

fn write_text(hasher: &mut SipHasher13, text: &str) {
    hasher.write(text.as_bytes());
    hasher.write(&[0xff]);
}

fn write_address(hasher: &mut SipHasher13, ip: IpAddr) {
    match ip {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
}
