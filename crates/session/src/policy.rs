//! The interface between the core and the placement policy.
//!
//! In production the policy is [`Manager`]. Baselines implement the trait only to be compared with it
//! behind the same core.

use ivyward::interface::*;
use ivyward::policy::Manager;
use std::time::Duration;

/// Inputs of the placement policy; [`Manager`] documents each of them.
pub trait Policy {
    /// Starts the policy, before any other event.
    fn start(&mut self, actions: &mut dyn Actions, now: Duration);
    /// Handles a server list: the full list, or changes to it.
    fn on_server_list(&mut self, now: Duration, list: &[ServerEntry], scope: ListScope);
    /// Handles a new viewing. `patience_ends_at`: when the viewer stops waiting.
    fn on_request(
        &mut self, actions: &mut dyn Actions, now: Duration, viewing_id: ViewingId, package: PackageId,
        title: TitleId, cells: Cells, top_rung: usize, patience_ends_at: Duration,
    );
    /// Handles a set-up that the server accepted.
    fn on_playing(&mut self, now: Duration, viewing_id: ViewingId, server: ServerId);
    /// Takes over a viewing that plays since an earlier incarnation. `rungs`: the current and the highest
    /// usable one.
    fn restore_viewing(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, package: PackageId,
        title: TitleId, rungs: (usize, usize),
    );
    /// Handles the end of a tune-in. `terminal`: nobody waits for the viewing's answer any more.
    fn on_tune_in_ended(
        &mut self, actions: &mut dyn Actions, now: Duration, viewing_id: ViewingId, attempt_number: u16,
        server: ServerId, outcome: TuneInOutcome, terminal: bool, load: LoadReport,
    );
    /// Handles a viewer that left before its viewing was answered.
    fn on_viewer_left(&mut self, actions: &mut dyn Actions, viewing_id: ViewingId);
    /// Handles a server's update about a viewing.
    fn on_server_update(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, update: ServerUpdate,
    );
    /// Handles a load report that arrives outside endings and probes.
    fn on_load_report(&mut self, now: Duration, server: ServerId, load: LoadReport);
    /// Handles the result of a probe; none if the server didn't answer.
    fn on_probe_result(
        &mut self, actions: &mut dyn Actions, now: Duration, server: ServerId, load: Option<LoadReport>,
    );
    /// Handles a timer that the policy set with this token.
    fn on_timer(&mut self, actions: &mut dyn Actions, now: Duration, token: u64);
    /// The policy's estimate of a server, for comparison with the measured traffic.
    ///
    /// It consists of the demand on the server's link and uplink relative to their capacity, the number of
    /// this manager's viewings there, and the number of recorded bad endings.
    fn server_estimate(&self, _: ServerId) -> Option<([f64; 2], usize, usize)> {
        None
    }
}

impl Policy for Manager {
    fn start(&mut self, actions: &mut dyn Actions, now: Duration) {
        self.start(actions, now);
    }
    fn on_server_list(&mut self, now: Duration, list: &[ServerEntry], scope: ListScope) {
        self.on_server_list(now, list, scope);
    }
    fn on_request(
        &mut self, actions: &mut dyn Actions, now: Duration, viewing_id: ViewingId, package: PackageId,
        title: TitleId, cells: Cells, top_rung: usize, patience_ends_at: Duration,
    ) {
        self.on_request(actions, now, viewing_id, package, title, cells, top_rung, patience_ends_at);
    }
    fn on_playing(&mut self, now: Duration, viewing_id: ViewingId, server: ServerId) {
        self.on_playing(now, viewing_id, server);
    }
    fn restore_viewing(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, package: PackageId,
        title: TitleId, rungs: (usize, usize),
    ) {
        self.restore_viewing(now, viewing_id, server, package, title, rungs);
    }
    fn on_tune_in_ended(
        &mut self, actions: &mut dyn Actions, now: Duration, viewing_id: ViewingId, attempt_number: u16,
        server: ServerId, outcome: TuneInOutcome, terminal: bool, load: LoadReport,
    ) {
        self.on_tune_in_ended(actions, now, viewing_id, attempt_number, server, outcome, terminal, load);
    }
    fn on_viewer_left(&mut self, actions: &mut dyn Actions, viewing_id: ViewingId) {
        self.on_viewer_left(actions, viewing_id);
    }
    fn on_server_update(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, update: ServerUpdate,
    ) {
        self.on_server_update(now, viewing_id, server, update);
    }
    fn on_load_report(&mut self, now: Duration, server: ServerId, load: LoadReport) {
        self.on_load_report(now, server, load);
    }
    fn on_probe_result(
        &mut self, actions: &mut dyn Actions, now: Duration, server: ServerId, load: Option<LoadReport>,
    ) {
        self.on_probe_result(actions, now, server, load);
    }
    fn on_timer(&mut self, actions: &mut dyn Actions, now: Duration, token: u64) {
        self.on_timer(actions, now, token);
    }
    fn server_estimate(&self, server: ServerId) -> Option<([f64; 2], usize, usize)> {
        self.server_estimate(server)
    }
}
