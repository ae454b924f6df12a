use super::{EvictionReason, LinkNeed, LinkUsage, link_to_evict};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The only connection to a server with sessions.
const IN_USE: LinkUsage = LinkUsage {
    last_used_at: Duration::ZERO,
    busy: false,
    suspect: false,
    server_has_sessions: true,
    reports_ends: true,
    has_alternative: false,
};

// Fails if a server whose sessions can't be reached finds no place while all connections are in use.
#[test]
fn sessions_that_cannot_be_reached_find_a_place_at_the_limit_and_set_ups_do_not() {
    let unneeded = LinkUsage { server_has_sessions: false, ..IN_USE };
    let suspect = LinkUsage { suspect: true, ..IN_USE };
    let spare = LinkUsage { has_alternative: true, reports_ends: false, ..IN_USE };
    let (need, set_up) = (LinkNeed::Sessions, LinkNeed::SetUp);
    let cases = [
        (set_up, unneeded, Some(EvictionReason::Unneeded)),
        (set_up, suspect, None),
        (set_up, spare, None),
        (set_up, IN_USE, None),
        (need, unneeded, Some(EvictionReason::Unneeded)),
        (need, suspect, Some(EvictionReason::Suspect)),
        (need, spare, Some(EvictionReason::Spare)),
        (need, LinkUsage { reports_ends: true, ..spare }, None),
        (need, IN_USE, None),
    ];
    for (need, link, expected) in cases {
        let evicted = link_to_evict(need, [((), link)].into_iter()).map(|(_, reason)| reason);
        assert_eq!(evicted, expected, "{need:?}: {link:?}");
        let busy = LinkUsage { busy: true, ..link };
        assert_eq!(link_to_evict(need, [((), busy)].into_iter()), None, "{need:?}: {busy:?}");
    }
}

#[test]
fn the_connection_that_is_missed_least_is_closed_first() {
    let need = LinkNeed::Sessions;
    let links = [
        (1, IN_USE),
        (2, LinkUsage { has_alternative: true, reports_ends: false, ..IN_USE }),
        (3, LinkUsage { suspect: true, last_used_at: ms(70), ..IN_USE }),
        (4, LinkUsage { suspect: true, last_used_at: ms(60), ..IN_USE }),
        (5, LinkUsage { server_has_sessions: false, last_used_at: ms(95), ..IN_USE }),
    ];
    let mut order = vec![];
    while let Some((evicted, _)) =
        link_to_evict(need, links.iter().copied().filter(|(id, _)| !order.contains(id)))
    {
        order.push(evicted);
    }
    assert_eq!(order, [5, 4, 3, 2]);
}
