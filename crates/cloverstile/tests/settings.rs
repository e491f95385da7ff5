//! Settings as lines, as in the simulator's wire protocol, and as nested JSON, as in the courier's configuration, have the
//! same meaning.

use cloverstile::{parse_settings, parse_settings_json, Decay, SettingError, ZoneId};
use serde_json::json;

const LINES: &str = "Balancers=3
FamilyInfo.CallsOut=28
FamilyInfo.Decay=halves
FamilyInfo.KindBatch=1,4
FamilyInfo.OwnLimits=false,true
Lanes.count=1
Lanes.0.Aim=3000000000
Lanes.0.Effect=idempotency_key
Lanes.0.Group=all
Lanes.0.Name=pay-notice
Lanes.0.OneAtATime=true
Lanes.0.RepeatWindow=10000000000
Locality=1
MachineTypes=banks,employer-systems
Permissions.Cancel=true
Permissions.MostHeld=519
Report.Fields=x0,x1
Rules.ColdFrom=0.16
Zones=kingston-dc
";

#[test]
fn lines_and_json_parse_to_the_same_settings() {
    let nested = json!({
        "Balancers": 3,
        "Locality": 1,
        "FamilyInfo": {"CallsOut": 28, "Decay": "halves", "KindBatch": [1, 4], "OwnLimits": [false, true]},
        "Lanes": [{
            "Aim": 3_000_000_000_u64, "Effect": "idempotency_key", "Group": "all", "Name": "pay-notice",
            "OneAtATime": true, "RepeatWindow": 1e10,
        }],
        "MachineTypes": ["banks", "employer-systems"],
        "Permissions": {"Cancel": true, "MostHeld": 519.0},
        "Report": {"Fields": ["x0", "x1"]},
        "Rules": {"ColdFrom": 0.16},
        "Zones": ["kingston-dc"],
        "Unheard": {"Of": null},
    });
    let (lines, json) = (parse_settings(LINES).unwrap(), parse_settings_json(&nested).unwrap());
    assert_eq!(format!("{lines:?}"), format!("{json:?}"));
    assert_eq!(json.settings.max_held, 519);
    assert_eq!(json.settings.zone, Some(ZoneId(1)));
    assert_eq!(json.settings.decay, Decay::Halving);
    assert_eq!(json.class_names, ["pay-notice"]);
    assert!(json.settings.kinds[1].own_limits);
}

#[test]
fn an_invalid_value_is_reported_with_its_path() {
    let error = parse_settings_json(&json!({"Permissions": {"MostHeld": "many"}})).unwrap_err();
    assert_eq!(error, SettingError::Value { path: "Permissions.MostHeld".into(), value: "many".into() });
}
