//! Sample configuration: organisations, adapters and a booking service.

use eyre::{Result, ensure};
use guavaspread_model::KeyHash;
use serde_json::{Value, json};

use crate::fleet::Fleet;

/// Bearer key of the organisation `kita-shigoto`.
pub const KITA_KEY: &str = "key-of-kita-shigoto";

/// Bearer key of the organisation `dopravni-smeny`.
pub const DOPRAVNI_KEY: &str = "key-of-dopravni-smeny";

/// Adapter version of the organisation `kita-shigoto`.
pub const INTAKE_ADAPTER: &str = "kita-shigoto/intake@3";

/// Declares two organisations, their adapters and the booking service.
///
/// # Errors
///
/// Returns an error if the gateway rejects the changes or they are not applied in time.
pub fn declare_sample(fleet: &Fleet) -> Result<()> {
    let host = fleet.entry_host_name(0)?;
    let reply = fleet.operator(&host)?.submit_changes(&changes())?;
    ensure!(reply.status == 200, "the gateway rejected the sample configuration: {reply:?}");
    fleet.wait_for_revision(reply.body["revision"].as_u64().unwrap_or(0))
}

fn changes() -> Value {
    let class = |name: &str, repeatable: bool, deadline_ms: u32, priority: &str| {
        json!({"declare-class": {"class": name, "policy": {
            "repeatable": repeatable, "worth": 10, "deadline-ms": deadline_ms,
            "priority": priority,
        }}})
    };
    let adapter = |organisation: &str, adapter: &str| {
        json!({"register-adapter": {
            "organisation": organisation, "adapter": adapter, "base": "base", "class": null,
        }})
    };
    let version = |adapter: &str| json!({"register-version": {"adapter": adapter}});
    let route = |path: &str, class: &str| json!({"declare-route": {"service": "booking", "path": path, "class": class}});
    let mut changes = vec![
        json!({"create-organisation": {"organisation": "kita-shigoto"}}),
        json!({"create-organisation": {"organisation": "dopravni-smeny"}}),
        json!({"add-key": {
            "organisation": "kita-shigoto", "hash": KeyHash::of(KITA_KEY).to_string(),
        }}),
        json!({"add-key": {
            "organisation": "dopravni-smeny", "hash": KeyHash::of(DOPRAVNI_KEY).to_string(),
        }}),
        class("chat", true, 10_000, "interactive"),
        class("brief", true, 1_500, "interactive"),
        class("confirm", false, 5_000, "interactive"),
        class("check", true, 5_000, "interactive"),
        adapter("kita-shigoto", "intake"),
        version(INTAKE_ADAPTER),
        adapter("dopravni-smeny", "notices"),
        version("dopravni-smeny/notices@1"),
        route("/confirm", "confirm"),
        route("/check", "check"),
    ];
    for index in 0..20 {
        changes.push(adapter("kita-shigoto", &format!("town-{index}")));
        changes.push(version(&format!("kita-shigoto/town-{index}@1")));
    }
    Value::Array(changes)
}
