//! What `ivyward run` starts without a settings file: one manager, and a fleet of stand-in servers in a
//! thread of its own.

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

const SETTINGS: &str = include_str!("default.txtpb");
const FLEET: &str = "servers: 12 link_kb: 4300 uplink_kb: 21000 places: 34 list_late_s: 0.2";

/// The embedded settings, which follow the list at `list`.
///
/// # Errors
/// The faults of the embedded text, which its tests keep free of any.
pub fn settings(list: SocketAddr) -> Result<Section, String> {
    let text = format!("{SETTINGS}list_address: \"{list}\"\n");
    crate::read(&text).map_err(|faults| format!("embedded settings: {faults:?}"))
}

/// Starts the stand-ins; their list's address.
///
/// # Errors
/// They could not be started.
pub fn fleet() -> Result<SocketAddr, String> {
    let (tell, told) = mpsc::channel();
    thread::spawn(move || {
        let opened = || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            Ok::<_, String>((runtime.map_err(|e| e.to_string())?, LocalSet::new()))
        };
        let (runtime, local) = match opened() {
            Ok(opened) => opened,
            Err(error) => return drop(tell.send(Err(error))),
        };
        local.block_on(&runtime, async move {
            let opened = open_standins();
            let running = opened.as_ref().ok().cloned();
            tell.send(opened.map(|standins| standins.list_address())).ok();
            if running.is_some() {
                std::future::pending::<()>().await;
            }
        });
    });
    told.recv().map_err(|_| "the stand-ins did not start".to_string())?
}

fn open_standins() -> Result<Standins, String> {
    let parts = |text, kind| ivyward_settings::read(kind, text).map_err(|faults| format!("{faults:?}"));
    let (settings, fleet) = (parts(SETTINGS, "Settings")?, parts(FLEET, "Fleet")?);
    let tokens = settings.section("tokens");
    let keys = setup::keys(&tokens).map_err(|faults| format!("{faults:?}"))?;
    let model = ivyward_standin::fleet(1, &fleet, &settings);
    let cells = settings.section("network").count("places");
    let rates = (fleet.number("vary"), fleet.duration("list_late_s"));
    Standins::open(1, model, cells, (keys, tokens.duration("skew_s")), rates, Instant::now())
        .map_err(|e| e.to_string())
}

/// A token for trying, with a session of its own.
///
/// # Errors
/// No such title or package, or no key signs.
pub fn token(
    settings: &Section, title: &str, package: &str, top: usize, life: Duration,
) -> Result<String, String> {
    let has = |list: &str, name: &str| settings.sections(list).iter().any(|part| part.text("name") == name);
    for (list, name) in [("title", title), ("package", package)] {
        if !has(list, name) {
            return Err(format!("no {list} {name:?} in the settings"));
        }
    }
    let keys = setup::keys(&settings.section("tokens")).map_err(|faults| format!("{faults:?}"))?;
    let now = crate::date();
    // A session of its own each time: the date in nanoseconds over the process.
    let session = now.as_nanos() << 32 | u128::from(std::process::id());
    let (title, package) = (title.to_string(), package.to_string());
    let token_claims = TokenClaims { session, title, package, top, tenant: String::new(), granted: None };
    keys.mint(&token_claims, now, life)
}
