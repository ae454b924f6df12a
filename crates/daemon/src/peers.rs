//! What `ivyward peers` prints.

use serde_json::Value;

/// The page of a manager's console on those that it speaks with, in words.
pub fn table(page: &Value) -> String {
    let mut text = String::from("member              heard of\n");
    for member in page["members"].as_array().into_iter().flatten() {
        let heard = match (member["here"].as_bool(), member["heard_ms_ago"].as_u64()) {
            (Some(true), _) => "this one".into(),
            (_, Some(ms)) => format!("{}.{:03} s ago", ms / 1000, ms % 1000),
            _ => "never since the start".into(),
        };
        text += &format!("{:<20}{heard}\n", member["name"].as_str().unwrap_or_default());
    }
    let whole = |name: &str| page[name].as_u64().unwrap_or_default();
    let memory = match page["catching_up"].as_bool() {
        Some(true) => {
            "catching up: it came back without memory, and keeps nothing that it may have kept before"
        }
        _ => "whole",
    };
    text += &format!("memory              {memory}\n");
    let neighbours = page["neighbours"].as_array().into_iter().flatten().filter_map(Value::as_str);
    text += &format!("neighbours          {}\n", neighbours.collect::<Vec<_>>().join(", "));
    for (label, name) in [
        ("sessions kept", "sessions_kept"),
        ("claims asking", "asking"),
        ("to be taken back", "to_take_back"),
        ("notes to disk", "notes_to_disk"),
        ("passed over", "passed_over"),
        ("paths open", "paths"),
        ("paths opened", "paths_opened"),
        ("frames sent", "frames_sent"),
        ("bytes sent", "bytes_sent"),
        ("revoked, told of", "revoked"),
    ] {
        text += &format!("{label:<20}{}\n", whole(name));
    }
    let digest = page["revoked_digest"].as_str().unwrap_or_default();
    text += &format!("digest of those     {digest}, the same on members that were told the same\n");
    text + &format!("counts              {}\n", page["counts"])
}
