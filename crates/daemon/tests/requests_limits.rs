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
    ScriptedEndpoint,
    announce,
    await_running,
    cluster,
    refusal,
    reply,
    shed, //
};
use standin::call;

const TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn deadline_forwarded() {
    let cluster = cluster(1, "");
    let endpoint = ScriptedEndpoint::start(|_, stream| reply(stream, "done"));
    announce(&cluster, "desk-1", 3, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[0].address("requests");
    call(entry, "GET /", &[HOST, ("request-timeout", "2.5")], b"").unwrap();
    call(entry, "GET /", &[HOST], b"").unwrap();
    let remaining: Vec<f64> = endpoint
        .received()
        .iter()
        .map(|request| request.headers["request-timeout"].parse().unwrap())
        .collect();
    assert!(remaining[0] > 0.0 && remaining[0] <= 2.5, "{remaining:?}");
    assert!(remaining[1] > 2.5 && remaining[1] <= 30.0, "{remaining:?}");
    let response = call(entry, "GET /", &[HOST, ("request-timeout", "soon")], b"").unwrap();
    assert_eq!(
        (response.status, refusal(&response)),
        (400, ("3001", "not"))
    );
    let response = call(entry, "GET /", &[HOST, ("request-timeout", "0")], b"").unwrap();
    assert_eq!(
        (response.status, refusal(&response)),
        (503, ("3005", "not"))
    );
    assert_eq!(endpoint.received().len(), 2);
}

/// When a client disconnects, its slot is freed at once and the connection to the endpoint closes.
#[test]
fn cancel_client_disconnect() {
    let cluster = cluster(1, "");
    let (sender, receiver) = mpsc::channel();
    let endpoint = ScriptedEndpoint::start(move |request, stream| {
        if request.path() == "/wait" {
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            let closed = stream.read(&mut [0]).is_ok_and(|count| count == 0);
            sender.send(closed).unwrap();
            return false;
        }
        reply(stream, "done")
    });
    announce(&cluster, "desk-1", 1, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[0].address("requests");
    let mut client = TcpStream::connect(entry).unwrap();
    client
        .write_all(b"GET /wait HTTP/1.1\r\nhost: desk.example\r\n\r\n")
        .unwrap();
    while endpoint.received().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
    drop(client);
    await_running(cluster.entries[0].address("admin"), 0);
    assert_eq!(receiver.recv_timeout(TIMEOUT), Ok(true));
    let response = call(entry, "GET /", &[HOST], b"").unwrap();
    assert_eq!(response.text(), "done");
}

/// A disconnect in the middle of a response cancels the request, too.
#[test]
fn cancel_mid_response() {
    let cluster = cluster(1, "");
    let (sender, receiver) = mpsc::channel();
    let endpoint = ScriptedEndpoint::start(move |_, stream| {
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
    let mut client = TcpStream::connect(entry).unwrap();
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n")
        .unwrap();
    client.read_exact(&mut [0; 200]).unwrap();
    drop(client);
    receiver.recv_timeout(TIMEOUT).unwrap();
    await_running(cluster.entries[0].address("admin"), 0);
}

/// A request refused by a full endpoint is retried on another one; each request runs once.
#[test]
fn retry_full_endpoint() {
    let cluster = cluster(1, "");
    let full = ScriptedEndpoint::start(|_, stream| shed(stream));
    let free = ScriptedEndpoint::start(|request, stream| {
        reply(stream, &String::from_utf8_lossy(&request.body))
    });
    announce(&cluster, "desk-1", 3, full.address);
    announce(&cluster, "desk-2", 3, free.address);
    cluster.await_endpoints(2).unwrap();
    let entry = cluster.entries[0].address("requests");
    for number in 0..20 {
        let body = format!("note {number}");
        let response = call(entry, "POST /", &[HOST], body.as_bytes()).unwrap();
        assert_eq!((response.status, response.text()), (200, body));
    }
    assert_eq!(free.received().len(), 20);
    assert!(!full.received().is_empty());
}

/// An unreachable endpoint received nothing, so the request is retried on another one.
#[test]
fn retry_unreachable_endpoint() {
    let cluster = cluster(1, "retry = { attempts = 3, percent = 100 }\n");
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let free = ScriptedEndpoint::start(|_, stream| reply(stream, "done"));
    announce(&cluster, "desk-1", 3, closed);
    announce(&cluster, "desk-2", 3, free.address);
    cluster.await_endpoints(2).unwrap();
    let entry = cluster.entries[0].address("requests");
    for _ in 0..20 {
        let response = call(entry, "POST /", &[HOST], b"note").unwrap();
        assert_eq!(response.status, 200);
    }
    assert_eq!(free.received().len(), 20);
}

/// A request isn't retried if the connection to its endpoint is lost after it was sent.
#[test]
fn retry_lost_connection() {
    let cluster = cluster(1, "");
    let endpoints: Vec<_> = (1..=2)
        .map(|number| {
            let endpoint = ScriptedEndpoint::start(|_, _| false);
            announce(&cluster, &format!("desk-{number}"), 3, endpoint.address);
            endpoint
        })
        .collect();
    cluster.await_endpoints(2).unwrap();
    let entry = cluster.entries[0].address("requests");
    for _ in 0..5 {
        let response = call(entry, "POST /", &[HOST], b"booking").unwrap();
        assert_eq!(
            (response.status, refusal(&response)),
            (502, ("3008", "may"))
        );
    }
    let runs: usize = endpoints
        .iter()
        .map(|endpoint| endpoint.received().len())
        .sum();
    assert_eq!(runs, 5);
}

/// A request that doesn't fit into the queue is refused at once, with `retry-after`, and doesn't
/// run.
#[test]
fn refuse_full_queue() {
    let cluster = cluster(1, "limits = { queue = 1, queue_ms = 20000 }\n");
    let (sender, receiver) = mpsc::channel::<()>();
    let receiver = std::sync::Mutex::new(receiver);
    let endpoint = ScriptedEndpoint::start(move |_, stream| {
        let _released = receiver.lock().unwrap().recv();
        reply(stream, "done")
    });
    announce(&cluster, "desk-1", 1, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[0].address("requests");
    let first = thread::spawn(move || call(entry, "GET /1", &[HOST], b"").unwrap());
    await_running(cluster.entries[0].address("admin"), 1);
    let others: Vec<_> = (2..5)
        .map(|number| {
            thread::spawn(move || call(entry, &format!("GET /{number}"), &[HOST], b"").unwrap())
        })
        .collect();
    // Two of the three don't fit into the queue and are refused while the slot is still occupied.
    while others.iter().filter(|other| other.is_finished()).count() < 2 {
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(endpoint.received().len(), 1);
    for _ in 0..2 {
        sender.send(()).unwrap();
    }
    let responses: Vec<_> = others
        .into_iter()
        .map(|other| other.join().unwrap())
        .collect();
    let refused: Vec<_> = responses
        .iter()
        .filter(|response| response.status == 503)
        .collect();
    assert_eq!(refused.len(), 2);
    for response in refused {
        assert_eq!(refusal(response), ("3004", "not"));
        assert_eq!(response.header("retry-after"), Some("1"));
    }
    assert_eq!(first.join().unwrap().status, 200);
    assert_eq!(endpoint.received().len(), 2);
}
