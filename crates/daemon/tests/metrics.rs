//! Every exported metric is documented on the operators' page.

use standin::{
    Cluster,
    call, //
};

#[test]
fn metrics_documented() {
    let page = include_str!("../../../docs/operators/metrics.md");
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .unwrap();
    let instance = cluster.entries[0].address("admin");
    let text = call(instance, "GET /metrics", &[], b"").unwrap().text();
    let names: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE mimosausher_")?.split(' ').next())
        .collect();
    assert!(!names.is_empty(), "{text}");
    for name in names {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
}
