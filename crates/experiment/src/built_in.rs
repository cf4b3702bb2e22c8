//! The built-in scenarios.

/// Names and texts of the built-in scenarios.
pub(crate) const BUILT_IN: [(&str, &str); 14] = [
    ("burst", include_str!("../scenarios/burst.toml")),
    (
        "burst-three-times",
        include_str!("../scenarios/burst-three-times.toml"),
    ),
    (
        "half-failing",
        include_str!("../scenarios/half-failing.toml"),
    ),
    ("knees", include_str!("../scenarios/knees.toml")),
    ("large", include_str!("../scenarios/large.toml")),
    ("power-loss", include_str!("../scenarios/power-loss.toml")),
    ("retry-storm", include_str!("../scenarios/retry-storm.toml")),
    (
        "slow-endpoints",
        include_str!("../scenarios/slow-endpoints.toml"),
    ),
    ("small", include_str!("../scenarios/small.toml")),
    (
        "squeezed-link",
        include_str!("../scenarios/squeezed-link.toml"),
    ),
    (
        "uneven-centres",
        include_str!("../scenarios/uneven-centres.toml"),
    ),
    (
        "uneven-speeds",
        include_str!("../scenarios/uneven-speeds.toml"),
    ),
    (
        "uploads-before-commands",
        include_str!("../scenarios/uploads-before-commands.toml"),
    ),
    (
        "zone-cut-in-a-burst",
        include_str!("../scenarios/zone-cut-in-a-burst.toml"),
    ),
];
