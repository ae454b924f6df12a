//! The fleet that a script gives.

use ivyward_fleet::{Cold, Fleet, LoadNotes};
use ivyward_settings::Section;

/// The fleet of a `Fleet` part, for managers that go by the settings given.
pub fn fleet(seed: u64, part: &Section, settings: &Section) -> Fleet {
    let network = settings.section("network");
    let cold = Cold {
        from: part.number("cold_from"),
        warm_up: part.duration("warm_up_s"),
        multiple: part.number("multiple"),
        fall: part.duration("fall_s"),
    };
    let notes =
        LoadNotes::new(part.duration("seen_s"), part.duration("told_s"), part.boolean("reports_uplink"));
    Fleet::new(
        seed,
        part.count("servers"),
        (network.count("places"), network.count("racks")),
        (part.number("link_kb"), part.number("uplink_kb"), part.number("uneven")),
        (part.count("places"), part.number("guard"), part.duration("set_up_s")),
        cold,
        notes,
    )
}
