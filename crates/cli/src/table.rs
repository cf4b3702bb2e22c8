//! Plain-text tables.

/// Prints rows below a heading, each column as wide as its widest cell.
pub fn print<const N: usize>(heading: [&str; N], rows: &[[String; N]]) {
    let widths: [usize; N] = std::array::from_fn(|column| column_width(column, &heading, rows));
    print_row(&widths, heading.iter().copied());
    for row in rows {
        print_row(&widths, row.iter().map(String::as_str));
    }
}

fn column_width<const N: usize>(column: usize, heading: &[&str; N], rows: &[[String; N]]) -> usize {
    rows.iter()
        .filter_map(|row| row.get(column))
        .map(String::len)
        .chain(heading.get(column).map(|cell| cell.len()))
        .max()
        .unwrap_or_default()
}

fn print_row<'a, const N: usize>(widths: &[usize; N], cells: impl Iterator<Item = &'a str>) {
    let cells: Vec<_> = cells
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    println!("{}", cells.join("  ").trim_end());
}
