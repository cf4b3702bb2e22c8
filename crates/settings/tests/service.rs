//! Services of the document: defaults, values, and the text of each error.

use miette::{
    Diagnostic,
    SourceCode, //
};
use mimosausher_settings::{
    Change,
    Error,
    Limits,
    Requests,
    Retry,
    Section,
    Service,
    Source, //
};

const REQUESTS: &str = r#"team = "booking"
[[service]]
name = "desk"
mode = "requests"
hosts = ["booking.example"]
endpoints = ["desk-*"]
"#;

const FLOWS: &str = r#"team = "booking"
[[service]]
name = "updates"
mode = "flows"
address = "203.0.113.10"
port = 4000
transport = "udp"
endpoints = ["updates-*"]
"#;

fn parse(text: &str) -> Result<Section, Error> {
    Section::parse(&Source::new("booking", text))
}

fn service(text: &str) -> Service {
    parse(text).unwrap().services[0].clone()
}

/// Asserts the result code, the message and the line of the error.
fn assert_error(text: &str, code: u16, message: &str, line: usize) {
    let error = parse(text).unwrap_err();
    assert_eq!(error.to_string(), message, "{text}");
    assert_eq!(error.result_code().number(), code, "{text}");
    assert_eq!(error.code().unwrap().to_string(), code.to_string());
    let label = error.labels().unwrap().next().unwrap();
    let source: &dyn SourceCode = error.source_code().unwrap();
    let span = source.read_span(label.inner(), 0, 0).unwrap();
    assert_eq!(span.line() + 1, line, "{text}");
}

#[test]
fn service_defaults() {
    let service = service(REQUESTS);
    assert_eq!(service.change, Change::default());
    assert_eq!(service.limits, Limits::default());
    assert_eq!(service.requests, Requests::default());
    assert_eq!(service.retry, Retry::default());
    assert_eq!(
        service.weight("desk-1"),
        mimosausher_settings::DEFAULT_WEIGHT
    );
}

#[test]
fn service_all_keys() {
    let text = format!(
        "{REQUESTS}weights = {{ \"desk-1*\" = 2, \"desk-12\" = 5 }}\n\
         [service.change]\ndrain_ms = 60000\nslow_start_ms = 0\n\
         [service.limits]\nbody_bytes = 1000\nconnections = 2000\nqueue = 8\nqueue_ms = 500\n\
         requests = 90\n[service.requests]\ndeadline_ms = 5000\nkeep_ms = 60000\n\
         [service.retry]\nattempts = 2\npercent = 10\n"
    );
    let service = service(&text);
    let change = Change {
        drain_ms: 60_000,
        slow_start: 0,
    };
    let limits = Limits {
        body_bytes: 1_000,
        connections: 2_000,
        queue: 8,
        queue_ms: 500,
        requests: 90,
    };
    let requests = Requests {
        deadline_ms: 5_000,
        keep_ms: 60_000,
    };
    let retry = Retry {
        attempts: 2,
        percent: 10,
    };
    assert_eq!(service.change, change);
    assert_eq!(service.limits, limits);
    assert_eq!(service.requests, requests);
    assert_eq!(service.retry, retry);
    let weights = ["desk-1", "desk-12", "desk-123", "desk-2"].map(|name| service.weight(name));
    assert_eq!(weights, [2, 5, 2, 1]);
}

#[test]
fn service_out_of_range() {
    let cases = [
        ("change", "drain_ms = 999", "1000 to 604800000"),
        ("change", "slow_start_ms = 3600001", "0 to 3600000"),
        ("limits", "body_bytes = 0", "1 to 4294967296"),
        ("limits", "connections = 0", "1 to 1000000"),
        ("limits", "queue = 100001", "0 to 100000"),
        ("limits", "queue_ms = 0", "1 to 60000"),
        ("limits", "requests = 0", "1 to 1000000"),
        ("requests", "deadline_ms = 0", "1 to 3600000"),
        ("requests", "keep_ms = 999", "1000 to 86400000"),
        ("retry", "attempts = 11", "1 to 10"),
        ("retry", "percent = 101", "0 to 100"),
    ];
    for (table, row, range) in cases {
        let text = format!("{REQUESTS}[service.{table}]\n{row}\n");
        let (key, value) = row.split_once(" = ").unwrap();
        let message = format!("`{key}` is {value}; it may be {range}");
        assert_error(&text, 1003, &message, 8);
    }
    let text = format!("{REQUESTS}weights = {{ \"desk-1\" = 0 }}\n");
    let message = "`weights.desk-1` is 0; it may be 1 to 1000";
    assert_error(&text, 1003, message, 7);
}

#[test]
fn service_unknown_key() {
    let text = format!("{REQUESTS}[service.limits]\nqueues = 1\n");
    let message = "unknown field `queues`, expected one of `body_bytes`, `connections`, \
                   `queue`, `queue_ms`, `requests`";
    assert_error(&text, 1002, message, 8);
    let text = format!("{REQUESTS}[service.retry]\nattempts = \"2\"\n");
    assert_error(&text, 1002, "invalid type: string \"2\", expected u64", 8);
    let text = format!("{REQUESTS}[service.change]\ndrain_ms = -1\n");
    let message = "invalid value: integer `-1`, expected u64";
    assert_error(&text, 1002, message, 8);
}

#[test]
fn service_contradictions() {
    let cases = [
        (
            "[service.limits]\nqueue = 0\nqueue_ms = 5\n",
            "`queue_ms` needs a `queue` that is not 0",
            9,
        ),
        (
            "[service.limits]\nqueue_ms = 6000\n[service.requests]\ndeadline_ms = 5000\n",
            "`limits.queue_ms` (6000) is longer than `requests.deadline_ms` (5000)",
            8,
        ),
        (
            "[service.requests]\ndeadline_ms = 900\n",
            "`limits.queue_ms` (1000) is longer than `requests.deadline_ms` (900)",
            8,
        ),
        (
            "[service.requests]\ndeadline_ms = 5000\nkeep_ms = 4000\n",
            "`keep_ms` (4000) is shorter than `deadline_ms` (5000)",
            9,
        ),
        (
            "[service.retry]\nattempts = 2\npercent = 0\n",
            "`attempts` above 1 needs a `percent` that is not 0",
            8,
        ),
        (
            "weights = { \"other-*\" = 2 }\n",
            "the weight of `other-*` fits none of `endpoints`",
            7,
        ),
        (
            "address = \"203.0.113.10\"\nport = 1\ntransport = \"tcp\"\n",
            "`address`, `port` and `transport` need mode `flows`",
            4,
        ),
        (
            "port = 1\n",
            "`address`, `port` and `transport` are given together or not at all",
            2,
        ),
    ];
    for (rows, message, line) in cases {
        assert_error(&format!("{REQUESTS}{rows}"), 1004, message, line);
    }
}

#[test]
fn service_mode_flows() {
    let cases = [
        ("hosts = [\"a\"]\n", "`hosts` needs mode `requests`"),
        (
            "[service.limits]\nqueue = 1\n",
            "`limits` other than `connections` need mode `requests`",
        ),
        (
            "[service.requests]\ndeadline_ms = 5000\n",
            "the table `requests` needs mode `requests`",
        ),
        (
            "[service.retry]\nattempts = 2\n",
            "the table `retry` needs mode `requests`",
        ),
    ];
    for (rows, message) in cases {
        assert_error(&format!("{FLOWS}{rows}"), 1004, message, 4);
    }
    let text = FLOWS
        .replace("port = 4000\n", "")
        .replace("transport = \"udp\"\n", "");
    let text = text.replace("address = \"203.0.113.10\"\n", "");
    let message = "mode `flows` needs `address`, `port` and `transport`";
    assert_error(&text, 1004, message, 4);
    let limits = format!("{FLOWS}[service.limits]\nconnections = 7\n");
    assert_eq!(service(&limits).limits.connections, 7);
}

#[test]
fn service_invalid_names() {
    let cases = [
        ("\"desk\"", "\"\"", "`name` is empty", 3),
        ("[\"desk-*\"]", "[]", "`endpoints` is empty", 6),
        ("desk-*", "", "a pattern is empty", 6),
        ("desk-*", "d*k", "`d*k` has a `*` before its end", 6),
        ("\"booking\"", "\"\"", "`team` is empty", 1),
    ];
    for (old, new, message, line) in cases {
        assert_error(&REQUESTS.replacen(old, new, 1), 1003, message, line);
    }
    let text = REQUESTS.replace("hosts = [\"booking.example\"]\n", "");
    assert_error(&text, 1004, "mode `requests` needs `hosts`", 4);
    let (_, rows) = REQUESTS.split_once('\n').unwrap();
    let text = format!("{REQUESTS}{rows}");
    assert_error(&text, 1005, "service `desk` is given twice", 8);
}

#[test]
fn parse_any_text() {
    bolero::check!().with_type::<String>().for_each(|text| {
        let _result = parse(text);
        let _result = parse(&format!("{REQUESTS}{text}"));
    });
}
