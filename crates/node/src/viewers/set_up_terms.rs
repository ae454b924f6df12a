//! What a viewer's set-up may ask for, by the settings.

use ivyward_edge::ClientLimits;
use ivyward_signal::{Field, Kind, Signal, binary, parse_id};
use std::time::Duration;

/// The names and ranges that the settings give for the fields of a set-up.
pub struct SetUpTerms {
    /// The names of the packages, in the order of their ids.
    pub packages: Vec<String>,
    /// The names of the tenants. If there are none, a set-up names none either.
    pub tenants: Vec<String>,
    /// The number of cells. Their numbers begin with 0.
    pub cell_count: u32,
    /// The number of rungs of the ladder. Their numbers begin with 0.
    pub rung_count: usize,
    /// The longest patience of any package.
    pub longest_patience: Duration,
}

impl SetUpTerms {
    /// The first field of a set-up that is missing, unknown or out of range.
    pub fn invalid_field(&self, signal: &Signal) -> Option<&'static str> {
        let plays_already = signal.extra("at").is_some();
        let cells = u64::from(self.cell_count);
        let last_cell = cells.saturating_sub(1);
        let last_rung = self.rung_count.saturating_sub(1) as u64;
        [
            ("class", is_listed(&self.packages, signal.text(Field::Package))),
            ("tenant", self.is_tenant_valid(signal)),
            ("left", plays_already || self.is_time_left_valid(signal)),
            ("retry", signal.text(Field::Retry).is_none_or(is_whole_number)),
            ("key", signal.text(Field::Title).and_then(parse_id).is_some()),
            ("home", is_extra_within(signal, "home", 0, last_cell)),
            ("copies", is_extra_within(signal, "copies", 1, cells)),
            ("top", is_extra_within(signal, "top", 0, last_rung)),
            ("viewer", signal.extra("viewer").is_none_or(|text| parse_id(text).is_some())),
            ("again", signal.extra("again").is_none_or(is_whole_number)),
            ("description", plays_already || fits_server_message(signal)),
        ]
        .into_iter()
        .find(|(_, is_valid)| !is_valid)
        .map(|(field, _)| field)
    }

    /// Whether the tenant is one of the settings, or left out where they have none.
    fn is_tenant_valid(&self, signal: &Signal) -> bool {
        let tenant = signal.text(Field::Tenant);
        if self.tenants.is_empty() {
            return tenant.is_none_or(str::is_empty);
        }
        is_listed(&self.tenants, tenant)
    }

    /// Whether the viewer waits for a time that some package could have.
    fn is_time_left_valid(&self, signal: &Signal) -> bool {
        let longest = self.longest_patience * ClientLimits::MAX_PATIENCE_FACTOR;
        let time_left = signal.integer(Field::TimeLeft).map(Duration::from_millis);
        time_left.is_some_and(|time_left| !time_left.is_zero() && time_left <= longest)
    }
}

/// Whether a name is on a list.
fn is_listed(names: &[String], name: Option<&str>) -> bool {
    name.is_some_and(|name| names.iter().any(|known| known == name))
}

/// Whether a text is a whole number of at least 0.
fn is_whole_number(text: &str) -> bool {
    text.parse::<u32>().is_ok()
}

/// Whether one of the extras is a whole number in this range.
fn is_extra_within(signal: &Signal, name: &str, least: u64, greatest: u64) -> bool {
    let number = signal.extra(name).and_then(|text| text.parse().ok());
    number.is_some_and(|number: u64| (least..=greatest).contains(&number))
}

/// Whether the set-up fits into a message to a server, with the longest values of the fields added here.
fn fits_server_message(signal: &Signal) -> bool {
    let text = |field| (field, signal.text(field).unwrap_or_default());
    let fields =
        [text(Field::Package), text(Field::Title), (Field::TimeLeft, "4294967295"), (Field::Rung, "255")];
    signal.description.as_deref().is_some_and(|description| {
        binary::write(Kind::SetUp, signal.session, &fields, None, Some(description)).is_ok()
    })
}
