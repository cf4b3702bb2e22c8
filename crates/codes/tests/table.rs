//! The table of result codes in the documentation matches the source.

use mimosausher_codes::Code;

#[test]
fn all_ascending_numbers() {
    assert!(
        Code::ALL
            .windows(2)
            .all(|pair| pair[0].number() < pair[1].number())
    );
}

#[test]
fn all_documented_row() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    for code in Code::ALL {
        let row = format!(
            "| {} | {} | {} | {} |",
            code.number(),
            code.name(),
            code.meaning(),
            code.run()
        );
        assert!(page.contains(&row), "missing row: {row}");
    }
}
