//! Responses are complete or end with an error visible to the client, and never reach another
//! client.

mod requests_common;

use std::{
    io::Write as _,
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
    send_raw, //
};
use standin::call;

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts an endpoint whose response depends on the path.
fn endpoint() -> ScriptedEndpoint {
    ScriptedEndpoint::start(|request, stream| match request.path() {
        "/chunks" => {
            stream.write_all(CHUNKED_HEAD).unwrap();
            for part in ["5\r\nfirst\r\n", "6\r\nsecond\r\n", "0\r\n\r\n"] {
                thread::sleep(Duration::from_millis(30));
                stream.write_all(part.as_bytes()).unwrap();
            }
            true
        }
        "/cut-chunks" => {
            stream.write_all(CHUNKED_HEAD).unwrap();
            stream.write_all(b"5\r\nfirst\r\n").unwrap();
            thread::sleep(Duration::from_millis(100));
            false
        }
        "/cut-length" => {
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfirst";
            stream.write_all(head).unwrap();
            thread::sleep(Duration::from_millis(100));
            false
        }
        "/late" => {
            thread::sleep(Duration::from_millis(600));
            reply(stream, "late")
        }
        "/long" => reply(stream, &"x".repeat(3_000_000)),
        path => reply(stream, path),
    })
}

fn single_entry() -> (standin::Cluster, ScriptedEndpoint) {
    let cluster = cluster(1, "");
    let endpoint = endpoint();
    announce(&cluster, "desk-1", 3, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    (cluster, endpoint)
}

#[test]
fn response_complete() {
    let (cluster, _endpoint) = single_entry();
    let entry = cluster.entries[0].address("requests");
    let response = call(entry, "GET /chunks", &[HOST], b"").unwrap();
    assert_eq!(response.text(), "firstsecond");
    let response = call(entry, "GET /long", &[HOST], b"").unwrap();
    assert_eq!(response.body.len(), 3_000_000);
    await_running(cluster.entries[0].address("admin"), 0);
}

#[test]
fn response_truncated() {
    let (cluster, _endpoint) = single_entry();
    let entry = cluster.entries[0].address("requests");
    for path in ["GET /cut-chunks", "GET /cut-length"] {
        let error = call(entry, path, &[HOST], b"").unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::UnexpectedEof, "{path}");
    }
    await_running(cluster.entries[0].address("admin"), 0);
}

/// A response that arrives after the deadline is dropped; it never becomes the response to a later
/// request, even on a reused connection.
#[test]
fn response_late() {
    let (cluster, endpoint) = single_entry();
    let entry = cluster.entries[0].address("requests");
    for round in 0..3 {
        let headers = [HOST, ("request-timeout", "0.2")];
        let response = call(entry, "GET /late", &headers, b"").unwrap();
        assert_eq!(
            (response.status, refusal(&response)),
            (504, ("3009", "may"))
        );
        assert_eq!(response.header("retry-after"), Some("1"));
        for number in 0..20 {
            let path = format!("/own-{round}-{number}");
            let response = call(entry, &format!("GET {path}"), &[HOST], b"").unwrap();
            assert_eq!(response.text(), path);
        }
    }
    assert_eq!(endpoint.received().len(), 63);
}

/// Concurrent clients each get the response to their own request.
#[test]
fn response_own_request() {
    let (cluster, _endpoint) = single_entry();
    let entry = cluster.entries[0].address("requests");
    let clients: Vec<_> = (0..8)
        .map(|client| {
            thread::spawn(move || {
                for number in 0..50 {
                    let path = format!("/{client}-{number}");
                    let response = call(entry, &format!("GET {path}"), &[HOST], b"").unwrap();
                    assert_eq!(response.text(), path);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
}

#[test]
fn request_smuggling_refused() {
    let (cluster, endpoint) = single_entry();
    let entry = cluster.entries[0].address("requests");
    let second = "GET /second HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    let cases = [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "content-length: 0\r\ncontent-length: 5\r\n\r\nabcde",
        "content-length: 5\r\ncontent-length: 5\r\n\r\nabcde",
        "content-length: 5, 5\r\n\r\nabcde",
        "content-length: +5\r\n\r\nabcde",
        "content-length : 5\r\n\r\nabcde",
        "x-folded: one\r\n two\r\ncontent-length: 0\r\n\r\n",
        "x-bare: one\ncontent-length: 0\r\n\r\n",
        "host: other.example\r\ncontent-length: 0\r\n\r\n",
        "x-nul: a\0b\r\ncontent-length: 0\r\n\r\n",
    ];
    for case in cases {
        let bytes = format!("POST /first HTTP/1.1\r\nhost: desk.example\r\n{case}{second}");
        let text = send_raw(entry, bytes.as_bytes());
        assert!(text.starts_with("HTTP/1.1 400"), "{case:?}: {text:?}");
        assert_eq!(
            text.matches("content-length").count(),
            1,
            "{case:?}: {text:?}"
        );
    }
    assert_eq!(endpoint.received().len(), 0);
}

#[test]
fn request_limits_refused() {
    let cluster = cluster(1, "limits = { body_bytes = 1000 }\n");
    let endpoint = endpoint();
    announce(&cluster, "desk-1", 3, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[0].address("requests");
    let response = call(entry, "POST /", &[HOST], &[b'x'; 1001]).unwrap();
    assert_eq!(
        (response.status, refusal(&response)),
        (413, ("3012", "not"))
    );
    let head = "POST / HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n";
    let long = "x".repeat(1001);
    let chunks = format!("{head}transfer-encoding: chunked\r\n\r\n3e9\r\n{long}\r\n0\r\n\r\n");
    let text = send_raw(entry, chunks.as_bytes());
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    let large = format!("{head}x-large: {}\r\n\r\n", "x".repeat(100_000));
    let text = send_raw(entry, large.as_bytes());
    assert!(text.starts_with("HTTP/1.1 431"), "{text}");
    assert_eq!(endpoint.received().len(), 0);
}

/// A client that sends its body slowly occupies no slot.
#[test]
fn client_slow_body() {
    let (cluster, endpoint) = single_entry();
    let entry = cluster.entries[0].address("requests");
    let slow: Vec<_> = (0..20)
        .map(|_| {
            let mut stream = std::net::TcpStream::connect(entry).unwrap();
            let head = "POST /slow HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 9\r\n\r\nx";
            stream.write_all(head.as_bytes()).unwrap();
            stream
        })
        .collect();
    let response = call(entry, "GET /quick", &[HOST], b"").unwrap();
    assert_eq!(response.text(), "/quick");
    assert_eq!(endpoint.received().len(), 1);
    drop(slow);
}
