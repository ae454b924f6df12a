//! The embedded set-up that `ivyward run` starts without a settings file: one manager, and stand-in video
//! servers on a thread of their own.

use crate::setup;
use ivyward_dash::token::TokenClaims;
use ivyward_settings::Section;
use ivyward_standin::Standins;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The settings of the manager, without the address of the server list.
const SETTINGS: &str = include_str!("default.txtpb");
/// The stand-in servers, as a `Fleet` message.
const FLEET: &str = "servers: 12 link_kb: 4300 uplink_kb: 21000 places: 34 list_late_s: 0.2";

/// The embedded settings, with the server list at `list_address`.
///
/// # Errors
/// Faults in the embedded text; the tests make sure that there are none.
pub fn settings(list_address: SocketAddr) -> Result<Section, String> {
    let text = format!("{SETTINGS}list_address: \"{list_address}\"\n");
    crate::read_settings(&text).map_err(|faults| format!("embedded settings: {faults:?}"))
}

/// Starts the stand-in servers and returns the address of their server list.
///
/// # Errors
/// They could not be started.
pub fn start_standins() -> Result<SocketAddr, String> {
    let (address_sender, address_receiver) = mpsc::channel();
    thread::spawn(move || {
        let build_runtime = || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            Ok::<_, String>((runtime.map_err(|e| e.to_string())?, LocalSet::new()))
        };
        let (runtime, local) = match build_runtime() {
            Ok(runtime_and_tasks) => runtime_and_tasks,
            Err(error) => return drop(address_sender.send(Err(error))),
        };
        local.block_on(&runtime, async move {
            let open_result = open_standins();
            let running_standins = open_result.as_ref().ok().cloned();
            address_sender.send(open_result.map(|standins| standins.list_address())).ok();
            if running_standins.is_some() {
                std::future::pending::<()>().await;
            }
        });
    });
    address_receiver
        .recv()
        .map_err(|_| "the thread of the stand-in servers ended before they started".to_string())?
}

/// Opens the stand-in servers on the current thread.
fn open_standins() -> Result<Standins, String> {
    let read_section =
        |text, kind| ivyward_settings::read(kind, text).map_err(|faults| format!("{faults:?}"));
    let (settings, fleet) = (read_section(SETTINGS, "Settings")?, read_section(FLEET, "Fleet")?);
    let tokens = settings.section("tokens");
    let keys = setup::keys(&tokens).map_err(|faults| format!("{faults:?}"))?;
    let fleet_model = ivyward_standin::fleet(1, &fleet, &settings);
    let cells = settings.section("network").count("places");
    let variation_and_delay = (fleet.number("vary"), fleet.duration("list_late_s"));
    Standins::open(
        1,
        fleet_model,
        cells,
        (keys, tokens.duration("skew_s")),
        variation_and_delay,
        Instant::now(),
    )
    .map_err(|e| e.to_string())
}

/// Mints a test token with a new session.
///
/// # Errors
/// The settings have no such title or package, or no key can sign.
pub fn token(
    settings: &Section, title: &str, package: &str, top: usize, lifetime: Duration,
) -> Result<String, String> {
    let is_configured = |list_name: &str, name: &str| {
        settings.sections(list_name).iter().any(|part| part.text("name") == name)
    };
    for (list_name, name) in [("title", title), ("package", package)] {
        if !is_configured(list_name, name) {
            return Err(format!("the settings have no {list_name} named {name:?}"));
        }
    }
    let keys = setup::keys(&settings.section("tokens")).map_err(|faults| format!("{faults:?}"))?;
    let date_now = crate::unix_date();
    // A unique session: the date in nanoseconds, then 32 bits for the process id.
    let session = date_now.as_nanos() << 32 | u128::from(std::process::id());
    let (title, package) = (title.to_string(), package.to_string());
    let token_claims = TokenClaims { session, title, package, top, tenant: String::new(), granted: None };
    keys.mint(&token_claims, date_now, lifetime)
}
