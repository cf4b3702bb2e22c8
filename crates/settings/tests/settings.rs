//! Instance settings and key files: values that are read, and the text of each error.

use std::path::Path;

use mimosausher_settings::{
    KeyOwner,
    Keys,
    Settings,
    Source, //
};

const ENTRY: &str = r#"[instance]
name = "porto-a-1"
centre = "porto-a"
roles = ["entry"]

[listen]
admin = "127.0.0.1:0"
fabric = "127.0.0.1:0"
inner = "127.0.0.1:0"
requests = "127.0.0.1:0"
"#;

fn error_of(text: &str) -> (u16, String) {
    let error = Settings::parse(&Source::new("settings", text)).unwrap_err();
    (error.result_code().number(), error.to_string())
}

fn keys(text: &str) -> Result<Keys, (u16, String)> {
    Keys::parse(&Source::new("keys", text))
        .map_err(|error| (error.result_code().number(), error.to_string()))
}

#[test]
fn settings_keys_and_tls() {
    let text =
        format!("{ENTRY}[operators]\nkeys = \"/k\"\n[tls]\ncertificate = \"/c\"\nkey = \"/p\"\n");
    let settings = Settings::parse(&Source::new("settings", &text)).unwrap();
    assert_eq!(settings.keys.as_deref(), Some(Path::new("/k")));
    let tls = settings.tls.unwrap();
    assert_eq!(tls.certificate, Path::new("/c"));
    assert_eq!(tls.key, Path::new("/p"));
    let settings = Settings::parse(&Source::new("settings", ENTRY)).unwrap();
    assert_eq!((settings.keys, settings.tls), (None, None));
}

#[test]
fn settings_errors() {
    let cases = [
        (
            ENTRY.replace("fabric = \"127.0.0.1:0\"\n", ""),
            1004,
            "role `entry` needs `listen.fabric` and `listen.requests`",
        ),
        (
            ENTRY.replace("\"entry\"", "\"store\""),
            1004,
            "`listen.fabric` and `listen.requests` need role `entry`",
        ),
        (
            ENTRY.replace("\"entry\"", "\"entry\", \"store\""),
            1004,
            "role `store` needs a table `store` with `data`",
        ),
        (
            format!("{ENTRY}[store]\ndata = \"/d\"\n"),
            1004,
            "the table `store` needs role `store`",
        ),
        (ENTRY.replace("[\"entry\"]", "[]"), 1003, "`roles` is empty"),
        (
            ENTRY.replace("\"entry\"", "\"entry\", \"entry\""),
            1005,
            "a role is given twice",
        ),
        (ENTRY.replace("porto-a-1", ""), 1003, "the name is empty"),
        (
            format!("{ENTRY}[log]\nlevel = \"loud\"\n"),
            1003,
            "level `loud` is none of `off`, `error`, `warn`, `info`, `debug`, `trace`",
        ),
        (
            format!("{ENTRY}[tls]\nkey = \"/p\"\n"),
            1002,
            "missing field `certificate`",
        ),
    ];
    for (text, code, message) in cases {
        assert_eq!(error_of(&text), (code, message.into()));
    }
}

#[test]
fn keys_owners() {
    let digest = "00ff".repeat(16);
    let other = "11ff".repeat(16);
    let text = format!(
        "[[key]]\nteam = \"booking\"\nsha256 = \"{digest}\"\n\
         [[key]]\nadmin = \"ana\"\nsha256 = \"{other}\"\n"
    );
    let keys = keys(&text).unwrap();
    assert_eq!(keys.keys[0].owner, KeyOwner::Team("booking".into()));
    assert_eq!(keys.keys[1].owner, KeyOwner::Admin("ana".into()));
    assert_eq!(keys.keys[0].digest[..2], [0, 255]);
}

#[test]
fn keys_errors() {
    let digest = "00ff".repeat(16);
    let row = format!("sha256 = \"{digest}\"");
    let one = format!("[[key]]\nteam = \"a\"\n{row}\n");
    let cases = [
        (
            format!("[[key]]\n{row}\n"),
            1004,
            "a key needs either `admin` or `team`",
        ),
        (
            format!("[[key]]\nadmin = \"a\"\nteam = \"a\"\n{row}\n"),
            1004,
            "a key needs either `admin` or `team`",
        ),
        (
            format!("[[key]]\nadmin = \"\"\n{row}\n"),
            1003,
            "`admin` is empty",
        ),
        (
            format!("[[key]]\nteam = \"\"\n{row}\n"),
            1003,
            "`team` is empty",
        ),
        (
            "[[key]]\nteam = \"a\"\nsha256 = \"12\"\n".into(),
            1003,
            "`sha256` is not 64 hexadecimal digits",
        ),
        (one.clone() + &one, 1005, "the digest is given twice"),
    ];
    for (text, code, message) in cases {
        assert_eq!(keys(&text), Err((code, message.into())));
    }
}
