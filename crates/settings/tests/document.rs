//! Checks that span several sections of a document.

use mimosausher_settings::{
    Document,
    Source, //
};

fn section(name: &str, service: &str, keys: &str) -> String {
    format!(
        "[section.{name}]\nteam = \"{name}\"\n[[section.{name}.service]]\nname = \"{service}\"\n\
         endpoints = [\"a\"]\n{keys}\n"
    )
}

fn error_of(text: &str) -> (u16, String) {
    let error = Document::parse(&Source::new("document", text)).unwrap_err();
    (error.result_code().number(), error.to_string())
}

const FLOWS: &str = "mode = \"flows\"\naddress = \"203.0.113.1\"\nport = 1\ntransport = \"tcp\"";
const HOST: &str = "mode = \"requests\"\nhosts = [\"a.example\"]";

#[test]
fn parse_repeated_values() {
    let text = section("a", "x", FLOWS) + &section("b", "x", HOST);
    assert_eq!(error_of(&text), (1005, "service `x` is given twice".into()));
    let text = section("a", "x", FLOWS) + &section("b", "y", FLOWS);
    let message = "`y` and `x` share the address tcp 203.0.113.1:1";
    assert_eq!(error_of(&text), (1005, message.into()));
    let text = section("a", "x", HOST) + &section("b", "y", HOST);
    let message = "`y` and `x` share the host a.example";
    assert_eq!(error_of(&text), (1005, message.into()));
}

#[test]
fn parse_section_name() {
    let text = "[section.\"a b\"]\nteam = \"a\"\n";
    let message = "the section's name `a b` holds more than letters, digits, `-` and `_`";
    assert_eq!(error_of(text), (1005, message.into()));
}

#[test]
fn parse_several_sections() {
    let text = section("a", "x", FLOWS) + &section("b", "y", HOST);
    let document = Document::parse(&Source::new("document", &text)).unwrap();
    let names: Vec<_> = document.services().map(|service| &*service.name).collect();
    assert_eq!(names, ["x", "y"]);
}
