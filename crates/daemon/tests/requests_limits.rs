//! Deadlines, cancellation, retries and refusals through real processes.

mod requests_common;

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::mpsc,
    thread,
    time::Duration, //
};

use requests_common::{
    HOST,
    Scripted,
    announce,
    cluster,
    refusal,
    reply,
    running,
    shed, //
};
use standin::call;

const PATIENCE: Duration = Duration::from_secs(10);

#[test]
fn deadline_passed_on() {
    let cluster = cluster(1, "");
    let endpoint = Scripted::start(|_, stream| reply(stream, "done"));
    announce(&cluster, "desk-1", 3, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[0].address("requests");
    call(entry, "GET /", &[HOST, ("request-timeout", "2.5")], b"").unwrap();
    call(entry, "GET /", &[HOST], b"").unwrap();
    let left: Vec<f64> = endpoint
        .seen()
        .iter()
        .map(|seen| seen.headers["request-timeout"].parse().unwrap())
        .collect();
    assert!(left[0] > 0.0 && left[0] <= 2.5, "{left:?}");
    assert!(left[1] > 2.5 && left[1] <= 30.0, "{left:?}");
    let answer = call(entry, "GET /", &[HOST, ("request-timeout", "soon")], b"").unwrap();
    assert_eq!((answer.status, refusal(&answer)), (400, ("3001", "not")));
    let answer = call(entry, "GET /", &[HOST, ("request-timeout", "0")], b"").unwrap();
    assert_eq!((answer.status, refusal(&answer)), (503, ("3005", "not")));
    assert_eq!(endpoint.seen().len(), 2);
}

/// A caller that leaves frees its slot at once, and the endpoint sees its connection close.
#[test]
fn caller_leaves_cancels() {
    let cluster = cluster(1, "");
    let (sender, receiver) = mpsc::channel();
    let endpoint = Scripted::start(move |seen, stream| {
        if seen.path() == "/wait" {
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            let ended = stream.read(&mut [0]).is_ok_and(|count| count == 0);
            sender.send(ended).unwrap();
            return false;
        }
        reply(stream, "done")
    });
    announce(&cluster, "desk-1", 1, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[0].address("requests");
    let mut caller = TcpStream::connect(entry).unwrap();
    caller
        .write_all(b"GET /wait HTTP/1.1\r\nhost: desk.example\r\n\r\n")
        .unwrap();
    while endpoint.seen().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
    drop(caller);
    running(cluster.entries[0].address("admin"), 0);
    assert_eq!(receiver.recv_timeout(PATIENCE), Ok(true));
    let answer = call(entry, "GET /", &[HOST], b"").unwrap();
    assert_eq!(answer.text(), "done");
}

/// A caller that leaves in the middle of an answer cancels it as well.
#[test]
fn caller_leaves_stream() {
    let cluster = cluster(1, "");
    let (sender, receiver) = mpsc::channel();
    let endpoint = Scripted::start(move |_, stream| {
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).unwrap();
        while stream.write_all(b"5\r\nframe\r\n").is_ok() {
            thread::sleep(Duration::from_millis(10));
        }
        sender.send(()).unwrap();
        false
    });
    announce(&cluster, "desk-1", 1, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[0].address("requests");
    let mut caller = TcpStream::connect(entry).unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n")
        .unwrap();
    caller.read_exact(&mut [0; 200]).unwrap();
    drop(caller);
    receiver.recv_timeout(PATIENCE).unwrap();
    running(cluster.entries[0].address("admin"), 0);
}

/// A full endpoint's refusal is tried at another one; each request runs once.
#[test]
fn retry_full_endpoint() {
    let cluster = cluster(1, "");
    let full = Scripted::start(|_, stream| shed(stream));
    let free = Scripted::start(|seen, stream| reply(stream, &String::from_utf8_lossy(&seen.body)));
    announce(&cluster, "desk-1", 3, full.address);
    announce(&cluster, "desk-2", 3, free.address);
    cluster.await_endpoints(2).unwrap();
    let entry = cluster.entries[0].address("requests");
    for number in 0..20 {
        let body = format!("note {number}");
        let answer = call(entry, "POST /", &[HOST], body.as_bytes()).unwrap();
        assert_eq!((answer.status, answer.text()), (200, body));
    }
    assert_eq!(free.seen().len(), 20);
    assert!(!full.seen().is_empty());
}

/// An endpoint that cannot be reached took nothing: the request goes elsewhere.
#[test]
fn retry_unreachable_endpoint() {
    let cluster = cluster(1, "retry = { attempts = 3, percent = 100 }\n");
    let gone = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let free = Scripted::start(|_, stream| reply(stream, "done"));
    announce(&cluster, "desk-1", 3, gone);
    announce(&cluster, "desk-2", 3, free.address);
    cluster.await_endpoints(2).unwrap();
    let entry = cluster.entries[0].address("requests");
    for _ in 0..20 {
        let answer = call(entry, "POST /", &[HOST], b"note").unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(free.seen().len(), 20);
}

/// A request whose endpoint is lost after it was sent is never sent again.
#[test]
fn retry_never_lost() {
    let cluster = cluster(1, "");
    let endpoints: Vec<_> = (1..=2)
        .map(|number| {
            let endpoint = Scripted::start(|_, _| false);
            announce(&cluster, &format!("desk-{number}"), 3, endpoint.address);
            endpoint
        })
        .collect();
    cluster.await_endpoints(2).unwrap();
    let entry = cluster.entries[0].address("requests");
    for _ in 0..5 {
        let answer = call(entry, "POST /", &[HOST], b"booking").unwrap();
        assert_eq!((answer.status, refusal(&answer)), (502, ("3008", "may")));
    }
    let runs: usize = endpoints.iter().map(|endpoint| endpoint.seen().len()).sum();
    assert_eq!(runs, 5);
}

/// A request beyond the queue is refused at once, with the time to come back, and did not run.
#[test]
fn refuse_full_queue() {
    let cluster = cluster(1, "limits = { queue = 1, queue_ms = 20000 }\n");
    let (sender, receiver) = mpsc::channel::<()>();
    let receiver = std::sync::Mutex::new(receiver);
    let endpoint = Scripted::start(move |_, stream| {
        let _told = receiver.lock().unwrap().recv();
        reply(stream, "done")
    });
    announce(&cluster, "desk-1", 1, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[0].address("requests");
    let first = thread::spawn(move || call(entry, "GET /1", &[HOST], b"").unwrap());
    running(cluster.entries[0].address("admin"), 1);
    let others: Vec<_> = (2..5)
        .map(|number| {
            thread::spawn(move || call(entry, &format!("GET /{number}"), &[HOST], b"").unwrap())
        })
        .collect();
    // Two of the three are beyond the queue and end while the slot is still taken.
    while others.iter().filter(|other| other.is_finished()).count() < 2 {
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(endpoint.seen().len(), 1);
    for _ in 0..2 {
        sender.send(()).unwrap();
    }
    let answers: Vec<_> = others
        .into_iter()
        .map(|other| other.join().unwrap())
        .collect();
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status == 503)
        .collect();
    assert_eq!(refused.len(), 2);
    for answer in refused {
        assert_eq!(refusal(answer), ("3004", "not"));
        assert_eq!(answer.header("retry-after"), Some("1"));
    }
    assert_eq!(first.join().unwrap().status, 200);
    assert_eq!(endpoint.seen().len(), 2);
}
