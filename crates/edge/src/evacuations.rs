//! Evacuation orders at a store.

use announcements::Registry;
use codes::Code;
use hyper::http::request::Parts;
use process::{
    PeerAddress,
    epoch_millis, //
};
use store::{
    Answer,
    Evacuated,
    Evacuation,
    Event, //
};

use crate::{
    adapter::Reply,
    control::{
        Refusal,
        Submission,
        submit_to_cluster, //
    },
    run_store::MISSED_HEARTBEATS,
    settings::Settings,
    state::StoreState, //
};

/// Whether there is a data centre, as far as a store knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Existence {
    Known,
    Unknown,
    /// Its endpoints may not have announced themselves yet.
    Undecided,
}

/// Carries out an evacuation order of an operator.
pub async fn evacuate(
    state: &StoreState,
    parts: &Parts,
    centre: Box<str>,
    evacuated: bool,
) -> Result<Reply, Refusal> {
    match find_centre(state, &centre) {
        Existence::Known => {}
        Existence::Unknown => {
            let advice = format!("there is no data centre `{centre}`");
            return Err((Code::CentreUnknown, advice.into()));
        }
        Existence::Undecided => {
            let advice = format!("data centre `{centre}` is not known yet");
            return Err((Code::EvacuationUnknown, advice.into()));
        }
    }
    let client = parts.extensions.get::<PeerAddress>();
    let author = client.map_or(String::new(), |peer| peer.0.ip().to_string());
    let evacuation = match evacuated {
        true => Evacuation::start(&centre),
        false => Evacuation::end(&centre),
    };
    let evacuation = evacuation.with_author(&author, epoch_millis());
    let event = |token| Event::Evacuate(evacuation, token);
    match submit_to_cluster(state, Code::EvacuationUnknown, event).await? {
        Submission::Redirect(reply) => Ok(reply),
        Submission::Answered(Answer::Evacuated(revision)) => {
            log::info!(
                centre = &*centre, evacuated, revision = revision.0, author;
                "an evacuation was ordered"
            );
            Ok(Reply::Done)
        }
        Submission::Answered(_) => {
            let advice = "the cluster gave no answer to the order";
            Err((Code::EvacuationUnknown, advice.into()))
        }
    }
}

/// Logs the evacuated data centres that have come into force.
pub fn log_evacuated(evacuated: &Evacuated) {
    let centres: Vec<&str> = evacuated.centres.iter().map(|centre| &**centre).collect();
    let (centres, revision) = (centres.join(" "), evacuated.revision.0);
    log::info!(centres, revision; "the evacuated data centres have changed");
}

fn find_centre(state: &StoreState, centre: &str) -> Existence {
    let settings = &state.settings;
    let named = state.evacuated.borrow().contains(centre)
        || is_configured(settings, centre)
        || is_announced(&state.registry.borrow(), centre);
    let learning = settings.heartbeat() * MISSED_HEARTBEATS;
    match settings.regions.is_empty() {
        _ if named => Existence::Known,
        true if state.clock.now() < learning => Existence::Undecided,
        true | false => Existence::Unknown,
    }
}

fn is_configured(settings: &Settings, centre: &str) -> bool {
    *settings.centre == *centre || settings.regions.contains_key(centre)
}

fn is_announced(registry: &Registry, centre: &str) -> bool {
    let mut endpoints = registry.iter();
    endpoints.any(|known| *known.announcement.centre == *centre)
}
