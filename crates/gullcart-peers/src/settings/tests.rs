use super::*;

fn read(text: &str) -> Result<Settings, String> {
    let file = toml::from_str(text).map_err(|error| error.to_string())?;
    Settings::check(file, vec![0; 16])
}

fn text(top: &str, votes: [bool; 3]) -> String {
    let member = |(index, votes): (usize, &bool)| {
        format!(
            "[[member]]\nname = \"{index}\"\nnumber = {}\naddress = \"127.0.0.1:{}\"\nvotes = {votes}\n",
            index + 1,
            index + 7000
        )
    };
    let members: String = votes.iter().enumerate().map(member).collect();
    format!("name = \"0\"\nlisten = \"127.0.0.1:0\"\nkey_file = \"key\"\n{top}\n{members}")
}

#[test]
fn invalid_settings_are_rejected_with_a_reason() {
    let good = read(&text("", [true; 3])).unwrap();
    assert_eq!((good.me, good.voter_ids().len(), good.terms), (MemberId(1), 3, LeaseTerms::default()));
    for (top, votes, word) in [
        ("lease_ms = 5", [true; 3], "lease_ms"),
        ("drift_ppm = 900000", [true; 3], "drift_ppm"),
        ("disk_kb = 1", [true; 3], "disk_kb"),
        ("leese_ms = 5", [true; 3], "leese_ms"),
        ("", [true, true, false], "2 members vote"),
    ] {
        let error = read(&text(top, votes)).unwrap_err();
        assert!(error.contains(word), "{error}");
    }
    // The maximum number of members, and one more.
    let more = |count: usize| -> String {
        let member = |index: usize| {
            let (number, port) = (index + 1, index + 7000);
            format!("[[member]]\nname = \"{index}\"\nnumber = {number}\naddress = \"127.0.0.1:{port}\"\n")
        };
        text("", [true; 3]) + &(3..count).map(member).collect::<String>()
    };
    assert_eq!(read(&more(MAX_MEMBERS)).unwrap().members.len(), MAX_MEMBERS);
    let error = read(&more(MAX_MEMBERS + 1)).unwrap_err();
    assert!(error.contains("1025") && error.contains("1024"), "{error}");
    // Other lease terms or voters make another group; other names do not.
    assert_ne!(read(&text("lease_ms = 2000", [true; 3])).unwrap().group_id(), good.group_id());
    let renumbered = text("", [true; 3]).replace("number = 3", "number = 4");
    assert_ne!(read(&renumbered).unwrap().group_id(), good.group_id());
    let renamed = text("", [true; 3]).replace("name = \"2\"", "name = \"two\"");
    assert_eq!(read(&renamed).unwrap().group_id(), good.group_id());
    let twice = text("", [true; 3]).replace("number = 2", "number = 1");
    assert!(read(&twice).unwrap_err().contains("shares"));
    let nobody = text("", [true; 3]).replace("name = \"0\"\nlisten", "name = \"x\"\nlisten");
    assert!(read(&nobody).unwrap_err().contains("no member"));
}
