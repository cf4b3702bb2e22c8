//! Invalid command lines, and the help texts.

mod harness;

use harness::Test;

#[test]
fn usage_errors() {
    let cases = [
        (
            vec![],
            "mimosausher: a subcommand is needed; see `mimosausher --help`",
        ),
        (
            vec!["get"],
            "the option `--instance` is needed; see `mimosausher --help`",
        ),
        (vec!["key", "file"], "the option `--team` is needed"),
        (
            vec!["key", "--team", "a", "--admin", "b", "file"],
            "the options `--admin` and `--team` exclude each other",
        ),
        (
            vec![
                "--instance",
                "127.0.0.1:1",
                "members",
                "--add",
                "a=b",
                "--remove",
                "c",
            ],
            "the options `--add` and `--remove` exclude each other",
        ),
        (
            vec!["--instance", "127.0.0.1:1", "init", "store-1"],
            "`store-1` is not a store; write NAME=ADDRESS with its inner address",
        ),
        (vec!["fly"], "unrecognized command `fly`"),
    ];
    for (args, message) in cases {
        let mut test = Test::new().status(2).stderr(message).stdout("");
        for arg in args {
            test = test.arg(arg);
        }
        test.run();
    }
}

#[test]
fn help_subcommands() {
    let text = Test::new().arg("--help").run();
    for name in [
        "apply",
        "audit",
        "check",
        "diff",
        "endpoints",
        "get",
        "history",
        "init",
        "key",
        "members",
        "remove",
        "rollback",
        "status",
        "watch",
    ] {
        assert!(text.contains(&format!("\n  {name} ")), "{name}: {text}");
        let text = Test::new().args([name, "--help"]).run();
        let usage = format!("Usage: mimosausher [OPTIONS] {name} [ARGUMENTS]");
        assert!(text.starts_with(&usage), "{text}");
    }
}
