//! The numbered result codes that the processes report.
//!
//! Every refusal or failure that a process reports has a [`Code`]. The first digit of its number is
//! the area: 1xxx settings and documents, 2xxx packets, 3xxx requests, 4xxx announcements, 5xxx
//! configuration, 6xxx traffic between instances. `docs/RESULT-CODES.md` holds the same table.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Whether the request behind a result was carried out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// It may have run; only the endpoint or a later query can tell.
    May,
    /// It did not run.
    Not,
    /// It ran.
    Ran,
}

impl Display for Run {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            Self::May => "may",
            Self::Not => "not",
            Self::Ran => "ran",
        })
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $run:ident, $meaning:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        pub enum Code {
            $(#[doc = $meaning] $name,)*
        }

        impl Code {
            /// Every code, in ascending order of its number.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Meaning of the code, as one sentence.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Name of the code in the source.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Number of the code; its meaning never changes.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Whether the request behind the result was carried out.
            pub const fn run(self) -> Run {
                match self { $(Self::$name => Run::$run,)* }
            }
        }
    };
}

codes! {
    FileUnreadable = 1001, Not, "A file could not be read.";
    SyntaxInvalid = 1002, Not, "A file or document is not valid TOML, or holds an unknown or mistyped key.";
    ValueInvalid = 1003, Not, "A value is outside its range or form.";
    KeysContradict = 1004, Not, "Two keys contradict each other, or one needs the other.";
    NameRepeated = 1005, Not, "A name or address is given twice.";
    PacketTruncated = 2001, Not, "A datagram ends before its headers do.";
    PacketEncapsulation = 2002, Not, "A datagram is not GRE that carries an IP packet.";
    PacketProtocol = 2003, Not, "An IP packet carries neither TCP nor UDP, or is a fragment.";
    PacketAddress = 2004, Not, "No service has the packet's destination.";
    FlowNoEndpoint = 2005, Not, "No endpoint may take the new flow.";
    FlowTableFull = 2006, Not, "The flow table is full; the new flow was refused.";
    FlowEndpointGone = 2007, May, "The flow's endpoint is gone; the flow was reset.";
    FlowUnknown = 2008, May, "The packet belongs to a flow whose endpoint is not known here.";
    PacketMalformed = 2009, Not, "A packet's fields contradict each other or its length.";
    EntryStarting = 2010, Not, "The entry has just started and does not know the flow's endpoint yet.";
    FlowEndpointUnreachable = 2011, May, "The flow's endpoint is out of reach; the flow was reset so that its caller can send anew.";
    FlowSlowStart = 2012, Not, "The endpoints left are in their slow start, and this entry may open no further flow to them now.";
    EntryLinkFull = 2013, Not, "The entry's link cannot carry the request within its objective; nothing has run.";
    RequestMalformed = 3001, Not, "The request is not well-formed HTTP/1.1.";
    RequestService = 3002, Not, "No service has the request's host.";
    RequestNoEndpoint = 3003, Not, "No endpoint is ready to serve the request.";
    RequestShed = 3004, Not, "The service is at its limit; the request was shed.";
    RequestDeadline = 3005, Not, "The deadline cannot be met; the request was not started.";
    RequestStopping = 3006, Not, "The instance is stopping and takes no new request.";
    EndpointUnreachable = 3007, Not, "The endpoint could not be reached; nothing was sent.";
    EndpointLost = 3008, May, "The endpoint was lost after the request was sent.";
    EndpointLate = 3009, May, "The endpoint did not answer by the deadline.";
    KeyUnknown = 3010, May, "The idempotency key's outcome is not known.";
    KeyMismatch = 3011, Not, "The idempotency key was used for another request.";
    RequestTooLarge = 3012, Not, "The request's headers or body exceed the limit.";
    KeyAnswered = 3013, Ran, "The idempotency key's request ran; its answer is not kept.";
    AnnouncementMalformed = 4001, Not, "The announcement is not valid JSON of the expected form.";
    AnnouncementStale = 4002, Not, "A later announcement of the endpoint is already known.";
    AnnouncementConflict = 4003, Not, "The address is still held by another endpoint.";
    AnnouncementUnsafe = 4004, Not, "The announcement could not be copied to another store in time.";
    CallUnknown = 4005, Not, "There is no such call.";
    AnnouncementUnlisted = 4006, Not, "The document names no such service as the announcement's.";
    DepartureUnknown = 4007, Not, "The store does not know that the endpoint is about to leave.";
    EditConflict = 5001, Not, "The section has changed since the edit's base version.";
    EditInvalid = 5002, Not, "The document would not be valid after the edit.";
    EditForbidden = 5003, Not, "The key may not edit this section.";
    NoLeader = 5004, Not, "No store accepts edits now.";
    EditUnknown = 5005, May, "The edit's outcome is not known; resend it with the same id.";
    StorageDamaged = 5006, Not, "A file of the data folder is damaged.";
    StorageFull = 5007, Not, "The data folder's disk is full.";
    StorageLocked = 5008, Not, "Another process uses the data folder.";
    NotInitialised = 5009, Not, "The stores have not been initialised.";
    Unauthenticated = 5010, Not, "The key is missing or not known.";
    SectionUnknown = 5011, Not, "There is no such section or version.";
    MembersRefused = 5012, Not, "The members cannot be changed in this way now.";
    PublicationInvalid = 5013, Not, "The document is not valid.";
    PublicationConflict = 5014, Not, "Another document is in force under the same version.";
    PublicationUnknown = 5015, May, "What became of the document is not known; send it again.";
    PublicationSuperseded = 5016, Not, "A document with a higher version is in force; this one changes nothing.";
    CentreUnknown = 5017, Not, "There is no such data centre.";
    EvacuationUnknown = 5018, May, "What became of the evacuation order is not known; send it again.";
    MessageMalformed = 6001, Not, "A message between instances could not be decoded.";
    InstanceUnreachable = 6002, Not, "An instance could not be reached.";
}

impl Display for Code {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{} {}", self.number(), self.meaning())
    }
}
