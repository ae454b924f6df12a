//! The fleet that a script gives.

use ivyward_fleet::{Cold, Fleet, LoadNotes};
use ivyward_settings::Part;

/// The fleet of a `Fleet` part, for managers that go by the settings given.
pub fn fleet(seed: u64, part: &Part, settings: &Part) -> Fleet {
    let network = settings.one("network");
    let cold = Cold {
        from: part.number("cold_from"),
        warm_up: part.span("warm_up_s"),
        multiple: part.number("multiple"),
        fall: part.span("fall_s"),
    };
    let notes = LoadNotes::new(part.span("seen_s"), part.span("told_s"), part.truth("reports_uplink"));
    Fleet::new(
        seed,
        part.count("servers"),
        (network.count("places"), network.count("racks")),
        (part.number("link_kb"), part.number("uplink_kb"), part.number("uneven")),
        (part.count("places"), part.number("guard"), part.span("set_up_s")),
        cold,
        notes,
    )
}
