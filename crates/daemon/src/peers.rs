//! The table that `ivyward peers` prints.

use serde_json::Value;

/// Formats the console's `/peers` page, on the other managers of the group, as a table.
pub fn table(page: &Value) -> String {
    let mut text = String::from("member              last heard from\n");
    for member in page["members"].as_array().into_iter().flatten() {
        let last_heard = match (member["here"].as_bool(), member["heard_ms_ago"].as_u64()) {
            (Some(true), _) => "this manager".into(),
            (_, Some(ms)) => format!("{}.{:03} s ago", ms / 1000, ms % 1000),
            _ => "not since the start".into(),
        };
        text += &format!("{:<20}{last_heard}\n", member["name"].as_str().unwrap_or_default());
    }
    let count_of = |name: &str| page[name].as_u64().unwrap_or_default();
    let memory = match page["catching_up"].as_bool() {
        Some(true) => {
            "catching up: it restarted without its memory, and accepts no claim that it may have accepted before"
        }
        _ => "complete",
    };
    text += &format!("memory              {memory}\n");
    let neighbours = page["neighbours"].as_array().into_iter().flatten().filter_map(Value::as_str);
    text += &format!("neighbours          {}\n", neighbours.collect::<Vec<_>>().join(", "));
    for (label, name) in [
        ("sessions stored", "sessions_kept"),
        ("claims pending", "asking"),
        ("claims to withdraw", "to_take_back"),
        ("records to disk", "notes_to_disk"),
        ("unreachable", "passed_over"),
        ("connections open", "paths"),
        ("connections opened", "paths_opened"),
        ("frames sent", "frames_sent"),
        ("bytes sent", "bytes_sent"),
        ("revoked sessions", "revoked"),
    ] {
        text += &format!("{label:<20}{}\n", count_of(name));
    }
    let digest = page["revoked_digest"].as_str().unwrap_or_default();
    text += &format!("revocation digest   {digest} (equal on members with the same revocations)\n");
    text + &format!("counts              {}\n", page["counts"])
}
