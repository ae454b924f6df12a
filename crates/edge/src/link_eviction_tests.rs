use super::{EvictionReason, LinkNeed, LinkUsage, MIN_HOLD_TIME, ROTATION_WAIT, link_to_evict};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The only connection to a server with sessions.
const IN_USE: LinkUsage = LinkUsage {
    established_at: Duration::ZERO,
    last_used_at: Duration::ZERO,
    busy: false,
    suspect: false,
    server_has_sessions: true,
    reports_ends: true,
    has_alternative: false,
    same_server: false,
};

// Fails if a server whose sessions can't be reached finds no place while all connections are in use.
#[test]
fn sessions_that_cannot_be_reached_find_a_place_at_the_limit_and_set_ups_do_not() {
    let since = ms(10_000);
    let late = since + ROTATION_WAIT;
    let unneeded = LinkUsage { server_has_sessions: false, ..IN_USE };
    let suspect = LinkUsage { suspect: true, ..IN_USE };
    let spare = LinkUsage { has_alternative: true, reports_ends: false, ..IN_USE };
    let just_established = LinkUsage { established_at: late - MIN_HOLD_TIME + ms(1), ..IN_USE };
    let (need, set_up) = (LinkNeed::Sessions { since }, LinkNeed::SetUp);
    let cases = [
        (set_up, late, unneeded, Some(EvictionReason::Unneeded)),
        (set_up, late, suspect, None),
        (set_up, late, spare, None),
        (set_up, late, IN_USE, None),
        (need, since, unneeded, Some(EvictionReason::Unneeded)),
        (need, since, suspect, Some(EvictionReason::Suspect)),
        (need, since, spare, Some(EvictionReason::Spare)),
        (need, late - ms(1), LinkUsage { reports_ends: true, ..spare }, None),
        (need, late, LinkUsage { reports_ends: true, ..spare }, Some(EvictionReason::Rotation)),
        (need, since, LinkUsage { same_server: true, ..IN_USE }, Some(EvictionReason::Replacement)),
        (set_up, late, LinkUsage { same_server: true, ..IN_USE }, None),
        (need, late - ms(1), IN_USE, None),
        (need, late, IN_USE, Some(EvictionReason::Rotation)),
        (need, late, just_established, None),
    ];
    for (need, now, link, expected) in cases {
        let evicted = link_to_evict(now, need, [((), link)].into_iter()).map(|(_, reason)| reason);
        assert_eq!(evicted, expected, "{need:?} at {now:?}: {link:?}");
        let busy = LinkUsage { busy: true, ..link };
        assert_eq!(link_to_evict(now, need, [((), busy)].into_iter()), None, "{need:?} at {now:?}: {busy:?}");
    }
}

#[test]
fn the_connection_that_is_missed_least_is_closed_first() {
    let need = LinkNeed::Sessions { since: ms(0) };
    let links = [
        (0, LinkUsage { established_at: ms(50), last_used_at: ms(900), ..IN_USE }),
        (1, LinkUsage { established_at: ms(60), last_used_at: ms(800), ..IN_USE }),
        (2, LinkUsage { has_alternative: true, reports_ends: false, ..IN_USE }),
        (3, LinkUsage { suspect: true, last_used_at: ms(70), ..IN_USE }),
        (4, LinkUsage { suspect: true, last_used_at: ms(60), ..IN_USE }),
        (5, LinkUsage { server_has_sessions: false, last_used_at: ms(95), ..IN_USE }),
        (6, LinkUsage { same_server: true, last_used_at: ms(990), ..IN_USE }),
    ];
    let mut order = vec![];
    while let Some((evicted, _)) =
        link_to_evict(ms(5000), need, links.iter().copied().filter(|(id, _)| !order.contains(id)))
    {
        order.push(evicted);
    }
    assert_eq!(order, [5, 6, 4, 3, 2, 0, 1]);
}
