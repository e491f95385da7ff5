//! The configuration of couriers, and the files in their folder.

use super::agent::Agent;
use super::harness::World;
use serde_json::{json, Value};

/// A class of the settings: its name, effect, window in milliseconds, and whether it keeps its order.
fn class(aim: u64, name: &str, effect: &str, window: u64, order: bool) -> Value {
    json!({
        "Name": name, "Effect": effect, "Group": "all", "RepeatWindow": window * 1_000_000,
        "OneAtATime": order, "Worth": 1.0, "LateShare": 0.5,
        "Aim": aim * 1_000_000_000, "Deadline": aim * 8 * 1_000_000_000,
    })
}

impl World {
    /// Writes the configuration, with discovery at some agent.
    pub fn configure(&self, agent: &Agent) {
        let targets: Vec<Value> = (0..self.endpoints.len()).map(|at| self.target(at, "SERVING")).collect();
        let classes = [
            class(self.aim, "notice", "idempotency_key", 10_000, true),
            class(self.aim, "brief", "idempotency_key", 400, true),
            class(self.aim, "salary", "non_idempotent", 0, false),
        ];
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": agent.address.to_string(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets, "disk_mb": self.disk_mb},
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

    /// Puts other words in the place of the configuration.
    pub fn write_invalid_configuration(&self) {
        std::fs::write(self.folder.join("config.json"), "{\"name\":").unwrap();
    }
}
