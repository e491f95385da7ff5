//! The configuration files of couriers under test.

use super::agent::Agent;
use super::harness::World;
use serde_json::{json, Value};

/// Deadline of a message as a multiple of its aim.
const DEADLINE_PER_AIM: u64 = 8;

/// A class of the settings: `aim_s` is its aim in seconds, `effect` how the partner recognizes repeated calls, `repeat_window_ms`
/// how long it does so, and `ordered` whether messages with one order key are sent one at a time.
fn class(aim_s: u64, name: &str, effect: &str, repeat_window_ms: u64, ordered: bool) -> Value {
    json!({
        "Name": name, "Effect": effect, "Group": "all", "RepeatWindow": repeat_window_ms * 1_000_000,
        "OneAtATime": ordered, "Worth": 1.0, "LateShare": 0.5,
        "Aim": aim_s * 1_000_000_000, "Deadline": aim_s * DEADLINE_PER_AIM * 1_000_000_000,
    })
}

impl World {
    /// Writes the configuration, with discovery at this agent.
    pub fn configure(&self, agent: &Agent) {
        let targets: Vec<Value> =
            (0..self.endpoints.len()).map(|index| self.target(index, "SERVING")).collect();
        let classes = [
            class(self.aim_s, "notice", "idempotency_key", 10_000, true),
            class(self.aim_s, "brief", "idempotency_key", 400, true),
            class(self.aim_s, "salary", "non_idempotent", 0, false),
        ];
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": agent.address.to_string(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets, "disk_mb": self.disk_mb},
            "known": {"rev": 1, "all": true, "targets": targets},
            "settings": {
                "Balancers": self.couriers, "Lanes": classes, "MachineTypes": ["banks"], "Zones": ["kingston"],
                "WeightSource": "nominal", "FamilyInfo": {"CallsOut": self.slots, "KindBatch": [1], "OwnLimits": [false]},
                "Permissions": {"MostHeld": self.max_held, "SendCap": 8, "Cancel": true, "ConnIdle": 15_000_000_000_u64, "ConnectTimeout": 5_000_000_000_u64},
                "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 2_000_000_000},
            },
        });
        let new = self.folder.join("config.new");
        std::fs::write(&new, config.to_string()).unwrap();
        std::fs::rename(new, self.folder.join("config.json")).unwrap();
    }

    /// Replaces the configuration with text that is not valid JSON.
    pub fn write_invalid_configuration(&self) {
        std::fs::write(self.folder.join("config.json"), "{\"name\":").unwrap();
    }
}
