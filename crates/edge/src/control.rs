//! The calls of endpoints and operators that a store answers.

use std::{
    marker::PhantomData,
    rc::Rc,
    time::Duration, //
};

use announcements::{
    Announcement,
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
    Handler,
    Peer,
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
    border::{
        Border,
        Call,
        Reply, //
    },
    state::StoreState,
};

/// Largest body of a call, in bytes: a document of several thousand routes.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time within which a call is answered: callers turn to another store after a second.
const ANSWER: Duration = Duration::from_millis(800);

/// Why a call was not carried out.
type Refused = (Code, Box<str>);

/// The face that endpoints and operators call.
#[derive(Debug)]
pub struct Control<B> {
    border: PhantomData<B>,
    state: Rc<StoreState>,
}

impl<B> Control<B> {
    /// Creates the face of a store.
    pub const fn new(state: Rc<StoreState>) -> Self {
        Self {
            border: PhantomData,
            state,
        }
    }
}

impl<B> Clone for Control<B> {
    fn clone(&self) -> Self {
        Self::new(self.state.clone())
    }
}

impl<B: Border> Handler for Control<B> {
    type Body = Full<Bytes>;

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static {
        let state = self.state.clone();
        async move {
            let (parts, body) = request.into_parts();
            let start = state.clock.now();
            let result = answer::<B>(&state, &parts, body).await;
            state
                .metrics
                .called(state.clock.now().saturating_sub(start));
            if let Err((code, advice)) = &result {
                state.metrics.refuse(*code);
                log::info!(code = code.number(), path = parts.uri.path(); "{advice}");
            }
            B::answer(&parts, result)
        }
    }
}

async fn answer<B: Border>(
    state: &StoreState,
    parts: &Parts,
    body: Incoming,
) -> Result<Reply, Refused> {
    let body = Limited::new(body, BODY_BYTES).collect().await;
    let body = body.map_err(|error| (Code::CallUnknown, error.to_string().into()))?;
    let body = body.to_bytes();
    match B::call(parts, &body)? {
        Call::Announce(announcement) => announce::<B>(state, announcement).await,
        Call::Depart(name, incarnation) => depart(state, &name, incarnation).await,
        Call::Publish => publish::<B>(state, parts, body).await,
        Call::Read => read(state).await,
    }
}

async fn announce<B: Border>(state: &StoreState, own: Announcement) -> Result<Reply, Refused> {
    if B::tag(&own.name).is_none() {
        let advice = format!("`{}` is no endpoint's name", own.name);
        return Err((Code::AnnouncementMalformed, advice.into()));
    }
    let now = state.clock.now();
    let (name, said) = (own.name.clone(), own.state);
    let before = state.registry.borrow().count();
    state.registry.borrow_mut().announce(now, own);
    let changed = state.registry.borrow().changed(now, before);
    if let Some(record) = changed
        .iter()
        .find(|record| record.announcement.name == name)
    {
        let own = &record.announcement;
        log::info!(
            endpoint = &*name, service = &*own.service, address = own.address.to_string(),
            incarnation = own.incarnation, sequence = own.sequence, state = format!("{said:?}"),
            departed = record.departed;
            "an endpoint has changed"
        );
    }
    if !changed.is_empty() {
        state.announce();
    }
    match said {
        State::Draining => copied(state).await,
        State::Ready => Ok(Reply::Done),
    }
}

async fn depart(
    state: &StoreState,
    name: &str,
    incarnation: Option<u64>,
) -> Result<Reply, Refused> {
    let now = state.clock.now();
    let known = state.registry.borrow().get(name).is_some();
    if !known {
        return Err((
            Code::AnnouncementUnsafe,
            "this store does not know it yet".into(),
        ));
    }
    let change = state.registry.borrow_mut().depart(now, name, incarnation);
    log::info!(endpoint = name, incarnation, change; "an endpoint has left");
    state.announce();
    copied(state).await
}

/// Waits until enough other stores have what this one has: the loss of as many as may be lost, this
/// one among them, or of this data centre loses nothing.
async fn copied(state: &StoreState) -> Result<Reply, Refused> {
    let change = state.registry.borrow().count();
    let until = state.clock.now() + ANSWER;
    loop {
        let listener = state.copied.listen();
        let (losses, centre) = (state.settings.losses, &state.settings.centre);
        if state.peers.borrow().copied(change, losses, centre) {
            return Ok(Reply::Done);
        }
        let left = until.saturating_sub(state.clock.now());
        if left.is_zero() || compio::time::timeout(left, listener).await.is_err() {
            let advice = "no other store took a copy in time";
            return Err((Code::AnnouncementUnsafe, advice.into()));
        }
    }
}

async fn publish<B: Border>(
    state: &StoreState,
    parts: &Parts,
    body: Bytes,
) -> Result<Reply, Refused> {
    let version = B::document(&body)?.version;
    let caller = parts.extensions.get::<Peer>();
    let author = caller.map_or(String::new(), |peer| peer.0.ip().to_string());
    let publication = Publication::new(version, &body).with_author(&author, epoch_millis());
    let known = state.replica.borrow().ledger().compare(&publication);
    let published = match known {
        Some(known) => known,
        None => match ask(state, |token| Event::Publish(publication, token)).await? {
            Asked::Elsewhere(reply) => return Ok(reply),
            Asked::Here(Answer::Published(published)) => published,
            Asked::Here(_) => return Err(lost()),
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

async fn read(state: &StoreState) -> Result<Reply, Refused> {
    match ask(state, Event::Read).await? {
        Asked::Elsewhere(reply) => Ok(reply),
        Asked::Here(Answer::Current) => {
            let replica = state.replica.borrow();
            match replica.ledger().published() {
                Some(held) => Ok(Reply::Document(Bytes::copy_from_slice(&held.bytes))),
                None => Err((Code::NoLeader, "nothing was published yet".into())),
            }
        }
        Asked::Here(_) => Err(lost()),
    }
}

/// Who decides a request.
enum Asked {
    Elsewhere(Reply),
    Here(Answer),
}

/// Asks the group, if this store leads it.
async fn ask(state: &StoreState, event: impl FnOnce(Token) -> Event) -> Result<Asked, Refused> {
    if !state.replica.borrow().raft().leads() {
        let advice = "no leader is known";
        let leader = state.leader().ok_or((Code::NoLeader, advice.into()))?;
        return Ok(Asked::Elsewhere(Reply::Elsewhere(leader)));
    }
    let receiver = state.replica.borrow_mut().submit(event);
    match compio::time::timeout(ANSWER, receiver).await {
        Ok(Ok(Answer::Refused(code, advice))) => Err((code, advice)),
        Ok(Ok(answer)) => Ok(Asked::Here(answer)),
        Ok(Err(_)) | Err(_) => Err(lost()),
    }
}

fn lost() -> Refused {
    (
        Code::PublicationUnknown,
        "the group did not answer in time".into(),
    )
}
