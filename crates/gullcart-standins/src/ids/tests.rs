use super::*;

#[test]
fn ids_can_be_parsed_and_foreign_ones_are_rejected() {
    for number in [0, 1, 2, 999_999, 1 << 39] {
        let id = wire_id(MessageId(number));
        assert_eq!(parse_wire_id(&id), Some(MessageId(number)), "{id}");
    }
    for foreign in ["", "0", "0000000000000000", "zzzzzzzzzzzzzzzz", "9e3779b97f4a7c16", "00ff00ff00ff00ff"] {
        assert_eq!(parse_wire_id(foreign), None, "{foreign}");
    }
}
