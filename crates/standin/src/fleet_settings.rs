//! Builds a fleet model from the `Fleet` section of a script.

use ivyward_fleet::{Fleet, LoadNotes, SlowStartModel};
use ivyward_settings::Section;

/// Builds the fleet described by a `Fleet` section, for managers with the given settings.
pub fn fleet(seed: u64, fleet_section: &Section, settings: &Section) -> Fleet {
    let network = settings.section("network");
    let slow_start = SlowStartModel {
        initial_capacity_fraction: fleet_section.number("cold_from"),
        warm_up: fleet_section.duration("warm_up_s"),
        overload_factor: fleet_section.number("multiple"),
        overload_window: fleet_section.duration("fall_s"),
    };
    let load_notes = LoadNotes::new(
        fleet_section.duration("seen_s"),
        fleet_section.duration("told_s"),
        fleet_section.boolean("reports_uplink"),
    );
    Fleet::new(
        seed,
        fleet_section.count("servers"),
        (network.count("places"), network.count("racks")),
        (fleet_section.number("link_kb"), fleet_section.number("uplink_kb"), fleet_section.number("uneven")),
        (fleet_section.count("places"), fleet_section.number("guard"), fleet_section.duration("set_up_s")),
        slow_start,
        load_notes,
    )
}
