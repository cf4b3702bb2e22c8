//! The HTTP handler of a store for calls of endpoints and operators.

use std::{
    marker::PhantomData,
    rc::Rc,
    time::Duration, //
};

use announcements::{
    Announcement,
    Departure,
    State, //
};
use codes::Code;
use http_body_util::{
    BodyExt as _,
    Full,
    Limited, //
};
use hyper::{
    Request, Response,
    body::{
        Bytes,
        Incoming, //
    },
    http::request::Parts,
};
use process::{
    HttpHandler,
    PeerAddress,
    epoch_millis, //
};
use store::{
    Answer,
    Event,
    Publication,
    Published,
    Token, //
};

use crate::{
    adapter::{
        Adapter,
        Call,
        Reply, //
    },
    evacuations::evacuate,
    state::StoreState, //
};

/// Largest body of a call, in bytes: a document of several thousand routes.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time limit of a call: clients switch to another store after a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Advice if the cluster does not answer.
const TIMED_OUT: &str = "the group did not answer in time";

/// Why a call was refused.
pub type Refusal = (Code, Box<str>);

/// Answers calls of endpoints and operators.
#[derive(Debug)]
pub struct ControlHandler<A> {
    adapter: PhantomData<A>,
    state: Rc<StoreState>,
}

impl<A> ControlHandler<A> {
    /// Creates the handler of a store.
    pub const fn new(state: Rc<StoreState>) -> Self {
        Self {
            adapter: PhantomData,
            state,
        }
    }
}

impl<A> Clone for ControlHandler<A> {
    fn clone(&self) -> Self {
        Self::new(self.state.clone())
    }
}

impl<A: Adapter> HttpHandler for ControlHandler<A> {
    type Body = Full<Bytes>;

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static {
        let state = self.state.clone();
        async move {
            let (parts, body) = request.into_parts();
            let start = state.clock.now();
            let result = answer::<A>(&state, &parts, body).await;
            state
                .metrics
                .observe_call(state.clock.now().saturating_sub(start));
            if let Err((code, advice)) = &result {
                state.metrics.count_refusal(*code);
                log::info!(code = code.number(), path = parts.uri.path(); "{advice}");
            }
            A::encode_reply(&parts, result)
        }
    }
}

async fn answer<A: Adapter>(
    state: &StoreState,
    parts: &Parts,
    body: Incoming,
) -> Result<Reply, Refusal> {
    let body = Limited::new(body, BODY_BYTES).collect().await;
    let body = body.map_err(|error| (Code::CallUnknown, error.to_string().into()))?;
    let body = body.to_bytes();
    match A::decode_call(parts, &body)? {
        Call::Announce(announcement) => announce::<A>(state, announcement).await,
        Call::Depart(name, incarnation) => depart(state, &name, incarnation).await,
        Call::Evacuate { centre, evacuated } => evacuate(state, parts, centre, evacuated).await,
        Call::Publish => publish::<A>(state, parts, body).await,
        Call::Read => read(state).await,
    }
}

async fn announce<A: Adapter>(
    state: &StoreState,
    announcement: Announcement,
) -> Result<Reply, Refusal> {
    if A::tag(&announcement.name).is_none() {
        let advice = format!("`{}` is no endpoint's name", announcement.name);
        return Err((Code::AnnouncementMalformed, advice.into()));
    }
    if let Err(fault) = announcement.check() {
        return Err((Code::AnnouncementMalformed, fault.into()));
    }
    if !is_listed(state, &announcement) {
        let advice = format!("no document names service `{}`", announcement.service);
        return Err((Code::AnnouncementUnlisted, advice.into()));
    }
    let now = state.clock.now();
    let (name, announced_state) = (announcement.name.clone(), announcement.state);
    let before = state.registry.borrow().last_change();
    state.loads.borrow_mut().locate(&announcement);
    state.registry.borrow_mut().announce(now, announcement);
    let changed = state.registry.borrow().changed_since(now, before);
    if let Some(record) = changed
        .iter()
        .find(|record| record.announcement.name == name)
    {
        let announcement = &record.announcement;
        log::info!(
            endpoint = &*name, service = &*announcement.service,
            address = announcement.address.to_string(), incarnation = announcement.incarnation,
            sequence = announcement.sequence, state = format!("{announced_state:?}"),
            departed = record.departed;
            "an endpoint has changed"
        );
    }
    if !changed.is_empty() {
        state.notify();
    }
    match announced_state {
        State::Draining => wait_for_copies(state).await,
        State::Ready => Ok(Reply::Done),
    }
}

/// Whether the document in force names an announced service, or the endpoint was known with it
/// before the document dropped it. Other announcements change nothing: they may come from anyone.
fn is_listed(state: &StoreState, announcement: &Announcement) -> bool {
    let document = state.document.borrow();
    let Some(document) = &*document else {
        return true;
    };
    let service = &announcement.service;
    let registry = state.registry.borrow();
    let known = registry.get(&announcement.name);
    document.services.contains(service)
        || known.is_some_and(|known| known.announcement.service == *service)
}

async fn depart(
    state: &StoreState,
    name: &str,
    incarnation: Option<u64>,
) -> Result<Reply, Refusal> {
    let now = state.clock.now();
    let departure = state.registry.borrow_mut().depart(now, name, incarnation);
    match departure {
        Departure::Applied(change) => {
            log::info!(endpoint = name, incarnation, change; "an endpoint has left");
            state.notify();
            wait_for_copies(state).await
        }
        Departure::Awaited | Departure::Outdated => {
            let outcome = format!("{departure:?}");
            log::info!(endpoint = name, incarnation, outcome; "a departure may be an earlier one");
            Ok(Reply::Done)
        }
        Departure::Unknown => {
            let advice = "announce that it drains first, or call another store";
            Err((Code::DepartureUnknown, advice.into()))
        }
    }
}

/// Waits until enough other stores have acknowledged all changes: they then survive the tolerated
/// loss of stores, including this one, and the loss of this data centre.
async fn wait_for_copies(state: &StoreState) -> Result<Reply, Refusal> {
    let change = state.registry.borrow().last_change();
    let deadline = state.clock.now() + CALL_TIMEOUT;
    loop {
        let listener = state.copies_acked.listen();
        let (losses, centre) = (state.settings.losses, &state.settings.centre);
        if state.peers.borrow().replicated(change, losses, centre) {
            return Ok(Reply::Done);
        }
        let remaining = deadline.saturating_sub(state.clock.now());
        if remaining.is_zero() || compio::time::timeout(remaining, listener).await.is_err() {
            let advice = "no other store took a copy in time";
            return Err((Code::AnnouncementUnsafe, advice.into()));
        }
    }
}

async fn publish<A: Adapter>(
    state: &StoreState,
    parts: &Parts,
    body: Bytes,
) -> Result<Reply, Refusal> {
    let version = A::decode_document(&body)?.version;
    let client = parts.extensions.get::<PeerAddress>();
    let author = client.map_or(String::new(), |peer| peer.0.ip().to_string());
    let publication = Publication::new(version, &body).with_author(&author, epoch_millis());
    let known = state
        .replica
        .borrow()
        .ledger()
        .check_publication(&publication);
    let published = match known {
        Some(known) => known,
        None => match submit_publication(state, publication).await? {
            Submission::Redirect(reply) => return Ok(reply),
            Submission::Answered(Answer::Published(published)) => published,
            Submission::Answered(_) => return Err(timed_out()),
        },
    };
    log::info!(version, author, outcome = format!("{published:?}"); "a document was published");
    match published {
        Published::Accepted | Published::Repeated | Published::Superseded => Ok(Reply::Done),
        Published::Conflict => {
            let advice = format!("version {version} is held by another document");
            Err((Code::PublicationConflict, advice.into()))
        }
    }
}

async fn submit_publication(
    state: &StoreState,
    publication: Publication,
) -> Result<Submission, Refusal> {
    let event = |token| Event::Publish(publication, token);
    submit_to_cluster(state, Code::PublicationUnknown, event).await
}

async fn read(state: &StoreState) -> Result<Reply, Refusal> {
    match submit_to_cluster(state, Code::PublicationUnknown, Event::Read).await? {
        Submission::Redirect(reply) => Ok(reply),
        Submission::Answered(Answer::Current) => {
            let replica = state.replica.borrow();
            match replica.ledger().published() {
                Some(publication) => {
                    Ok(Reply::Document(Bytes::copy_from_slice(&publication.bytes)))
                }
                None => Err((Code::NoLeader, "nothing was published yet".into())),
            }
        }
        Submission::Answered(_) => Err(timed_out()),
    }
}

/// Result of a request to the cluster.
pub enum Submission {
    /// The leader has to be asked.
    Redirect(Reply),
    /// Its answer.
    Answered(Answer),
}

/// Submits a request to the cluster, or redirects to the leader if this store does not lead.
///
/// # Errors
///
/// The code and advice of the refusal; `unknown` if the cluster does not answer in time.
pub async fn submit_to_cluster(
    state: &StoreState,
    unknown: Code,
    event: impl FnOnce(Token) -> Event,
) -> Result<Submission, Refusal> {
    if !state.replica.borrow().raft().is_leader() {
        let advice = "no leader is known";
        let leader = state.leader().ok_or((Code::NoLeader, advice.into()))?;
        return Ok(Submission::Redirect(Reply::Redirect(leader)));
    }
    let receiver = state.replica.borrow_mut().submit(event);
    match compio::time::timeout(CALL_TIMEOUT, receiver).await {
        Ok(Ok(Answer::Refused(code, advice))) => Err((code, advice)),
        Ok(Ok(answer)) => Ok(Submission::Answered(answer)),
        Ok(Err(_)) | Err(_) => Err((unknown, TIMED_OUT.into())),
    }
}

fn timed_out() -> Refusal {
    (Code::PublicationUnknown, TIMED_OUT.into())
}
