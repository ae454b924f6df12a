//! What the core asks of whatever decides. The module decides in service; baselines stand in its place only to be
//! compared with it, behind the same core.

use ivyward::interface::*;
use ivyward::policy::Manager;
use std::time::Duration;

/// The module's inputs; see there for what each means.
pub trait Policy {
    fn start(&mut self, act: &mut dyn Actions, now: Duration);
    fn on_server_list(&mut self, now: Duration, list: &[ServerEntry], scope: ListScope);
    fn on_request(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, package: PackageId,
        title: TitleId, cells: Cells, top: usize, ends: Duration,
    );
    fn on_playing(&mut self, now: Duration, viewing_id: ViewingId, server: ServerId);
    fn restore_viewing(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, package: PackageId,
        title: TitleId, rungs: (usize, usize),
    );
    fn on_tune_in_ended(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, n: u16, server: ServerId,
        outcome: TuneInOutcome, terminal: bool, load: LoadReport,
    );
    fn on_viewer_left(&mut self, act: &mut dyn Actions, viewing_id: ViewingId);
    fn on_server_update(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, news: ServerUpdate,
    );
    fn on_load_report(&mut self, now: Duration, server: ServerId, load: LoadReport);
    fn on_probe_result(
        &mut self, act: &mut dyn Actions, now: Duration, server: ServerId, load: Option<LoadReport>,
    );
    fn on_timer(&mut self, act: &mut dyn Actions, now: Duration, token: u64);
    /// What is held of a server, to be compared with what passes on sockets: what is asked of its link and uplink over
    /// what they give, our viewings there, and bad endings kept.
    fn server_estimate(&self, _: ServerId) -> Option<([f64; 2], usize, usize)> {
        None
    }
}

impl Policy for Manager {
    fn start(&mut self, act: &mut dyn Actions, now: Duration) {
        self.start(act, now);
    }
    fn on_server_list(&mut self, now: Duration, list: &[ServerEntry], scope: ListScope) {
        self.on_server_list(now, list, scope);
    }
    fn on_request(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, package: PackageId,
        title: TitleId, cells: Cells, top: usize, ends: Duration,
    ) {
        self.on_request(act, now, viewing_id, package, title, cells, top, ends);
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
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, n: u16, server: ServerId,
        outcome: TuneInOutcome, terminal: bool, load: LoadReport,
    ) {
        self.on_tune_in_ended(act, now, viewing_id, n, server, outcome, terminal, load);
    }
    fn on_viewer_left(&mut self, act: &mut dyn Actions, viewing_id: ViewingId) {
        self.on_viewer_left(act, viewing_id);
    }
    fn on_server_update(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, news: ServerUpdate,
    ) {
        self.on_server_update(now, viewing_id, server, news);
    }
    fn on_load_report(&mut self, now: Duration, server: ServerId, load: LoadReport) {
        self.on_load_report(now, server, load);
    }
    fn on_probe_result(
        &mut self, act: &mut dyn Actions, now: Duration, server: ServerId, load: Option<LoadReport>,
    ) {
        self.on_probe_result(act, now, server, load);
    }
    fn on_timer(&mut self, act: &mut dyn Actions, now: Duration, token: u64) {
        self.on_timer(act, now, token);
    }
    fn server_estimate(&self, server: ServerId) -> Option<([f64; 2], usize, usize)> {
        self.server_estimate(server)
    }
}
