//! Byte examples of the protocol description, the encoding of every record, and invalid input.

use cloverstile_wirehost::{host, wire};
use std::io::Write;
use std::process::{Command, Output, Stdio};
use wire::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

fn frame(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let mut body = clock.to_be_bytes().to_vec();
    body.extend((records.len() as u32).to_be_bytes());
    body.extend(records.concat());
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend(body);
    out
}

fn run_host(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cloverstile-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The host may exit before it has read all of an invalid input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let out = run_host(&hex("0000000c 00000001f568bf90 00000000"));
    assert!(out.status.success());
    assert_eq!(out.stdout, hex("00000000"));
}

#[test]
fn events_of_the_protocol_description() {
    let body = hex("00000001f568bf90 00000003
        1e 0003 5d3a91c4 00 42640000 91f03b7c55d20a64 0000000203b6db90 0000000000b71b00 01 00000000
        46 0003 000000000000004d  3c 0005 0e6f2b19");
    assert_eq!(body.len(), 0x47);
    let (clock, records) = read_batch(&body).unwrap();
    assert_eq!(clock, 0x1_f568_bf90);
    let accept = Record::Accept {
        instance: 3,
        message: 0x5d3a_91c4,
        class: 0,
        destination: 57.0,
        key: 0x91f0_3b7c_55d2_0a64,
        deadline: 0x2_03b6_db90,
        weight_hint: 12_000_000,
        options: 1,
        tenant: 0,
    };
    let timer = Record::TimerExpired { instance: 3, token: 77 };
    assert_eq!(records, [accept, timer, Record::ClientGone { instance: 5, message: 0x0e6f_2b19 }]);
}

#[test]
fn list_and_outcome_of_the_protocol_description() {
    let body = hex("00000001f568bf90 00000003
        6e 0000 00000002
        03124a07 00 0000 0039 03 3f800000 0000000000000000
        2c9011f2 00 0000 0039 03 3fc00000 000000016b969d00
        14 0003 0000 00000029 02
        32 0003 5d3a91c4 0064 00000000011a49a0 01 03124a07 0000 00000000 02 3ecccccd3fa00000");
    let (_, records) = read_batch(&body).unwrap();
    let entry = |endpoint, weight, up_since| Entry {
        endpoint,
        zone: 0,
        kind: 0,
        cell: 57,
        mode: 3,
        weight,
        up_since,
    };
    let entries = vec![entry(0x0312_4a07, 1.0, 0), entry(0x2c90_11f2, 1.5, 0x1_6b96_9d00)];
    assert_eq!(records[0], Record::EndpointList { list_number: 0, entries });
    assert_eq!(records[1], Record::ListingChanged { instance: 3, list_number: 0, generation: 41, kind: 2 });
    let Record::Finished(finished) = &records[2] else { panic!("{records:?}") };
    assert_eq!((finished.code, finished.latency, finished.complete), (100, 18_500_000, true));
    assert_eq!(finished.report, [0.4, 1.25]);
}

#[test]
fn actions_of_the_protocol_description() {
    let text = "two servers known".to_owned();
    let replies = [
        Reply::Route { instance: 3, message: 0x5d3a_91c4, endpoint: 0x0312_4a07, timeout: 80_000_000 },
        Reply::SetTimer { instance: 3, after: 500_000_000, token: 77 },
        Reply::Log { instance: 5, text },
        Reply::SendNote { instance: 3, peer: 0xffff, text: b"hi 7".to_vec() },
    ];
    let expected = hex("00000047
        0a 0003 5d3a91c4 03124a07 0000000004c4b400
        32 0003 000000001dcd6500 000000000000004d
        5a 0005 0011 74776f2073657276657273206b6e6f776e
        50 0003 ffff 0004 68692037");
    assert_eq!(write_frame(&replies), expected);
}

#[test]
fn every_other_action_is_encoded() {
    let cases = [
        (Reply::Return { instance: 1, message: 2, retry_after: 3 }, "14 0001 00000002 0000000000000003"),
        (Reply::ReportFailure { instance: 1, message: 2 }, "1e 0001 00000002"),
        (Reply::CancelAttempt { instance: 1, message: 2, attempt: 3 }, "28 0001 00000002 0003"),
        (Reply::Probe { instance: 1, endpoint: 2 }, "3c 0001 00000002"),
        (Reply::CloseIdle { instance: 1, endpoint: 2 }, "46 0001 00000002"),
        (Reply::Panic { instance: 1, text: "x".to_owned() }, "64 0001 0001 78"),
        (Reply::SubscribeListing { instance: 1, active: true }, "6e 0001 01"),
        (Reply::RefreshListing { instance: 1 }, "78 0001"),
    ];
    for (reply, bytes) in cases {
        let mut out = Vec::new();
        write_reply(&mut out, &reply);
        assert_eq!(out, hex(bytes), "{reply:?}");
    }
}

#[test]
fn every_other_event_is_decoded() {
    let cases = [
        (
            "0a 0001 0000000000000002 00000003 613d62",
            Record::NewInstance { instance: 1, seed: 2, settings: "a=b".into() },
        ),
        ("64 0001", Record::RemoveInstance { instance: 1 }),
        (
            "50 0001 012f 0000000000000002 00000003 01 3f800000",
            Record::Probed { instance: 1, code: 303, latency: 2, endpoint: 3, report: vec![1.0] },
        ),
        (
            "28 0001 00000002 00000003 0004 0000000000000005",
            Record::FirstByte { instance: 1, message: 2, endpoint: 3, attempt: 4, latency: 5 },
        ),
        ("5a 0001 00000002 0002 6869", Record::Note { instance: 1, from: 2, text: b"hi".to_vec() }),
    ];
    for (bytes, record) in cases {
        let bytes = hex(bytes);
        let whole = &frame(9, std::slice::from_ref(&bytes))[4..];
        assert_eq!(read_batch(whole), Ok((9, vec![record])));
        // Every truncation is an error, never a panic.
        for cut in 1..bytes.len() {
            let body = &frame(9, &[bytes[..cut].to_vec()])[4..];
            assert!(matches!(read_batch(body), Err(WireError::Truncated { .. })), "{cut}");
        }
    }
}

#[test]
fn invalid_input_ends_with_one_error_line() {
    let bad_setting = {
        let settings = b"Balancers=two";
        let mut record = hex("0a 0001 0000000000000002");
        record.extend((settings.len() as u32).to_be_bytes());
        record.extend(settings);
        frame(9, &[record])
    };
    let cases = [
        (hex("0000"), "2 of 4 bytes"),
        (hex("ffffffff 00"), "1 of 4294967295 bytes"),
        (hex("00000004 00000000"), "clock is cut short"),
        (frame(9, &[hex("ff 0001")]), "unknown code 255"),
        (frame(9, &[hex("6e 0000 ffffffff")]), "entry Endpoint is cut short"),
        (frame(9, &[hex("64 0001"), hex("64 0001 00")]), "left over"),
        (bad_setting, "Balancers: 'two'"),
    ];
    for (input, expected) in cases {
        let out = run_host(&input);
        let error = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success(), "{expected}");
        assert!(error.contains(expected), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

#[test]
fn unknown_settings_are_ignored_and_lists_can_be_replaced() {
    let settings =
        "Balancers=3\nLanes.count=1\nLanes.0.Effect=read_like\nNew.Thing=1,2\nFamilyInfo.KindBatch=1,4\n";
    let parsed = cloverstile::parse_settings(settings).unwrap();
    assert_eq!(parsed.settings.couriers, 3);
    assert_eq!(parsed.settings.kinds[1].max_batch, 4);
    // Replacing an endpoint list later in a batch does not affect earlier references to its number.
    let list = |endpoint| {
        let entry = Entry { endpoint, zone: 0, kind: 0, cell: 1, mode: 3, weight: 9.0, up_since: 0 };
        Record::EndpointList { list_number: 0, entries: vec![entry] }
    };
    let listing_changed =
        |instance| Record::ListingChanged { instance, list_number: 0, generation: 1, kind: 2 };
    let start = |instance| Record::NewInstance { instance, seed: 1, settings: settings.to_owned() };
    let (key, weight_hint, options, tenant, deadline) = (0, 0, 0, 0, 60_000_000_000);
    let accept = |instance| Record::Accept {
        instance,
        message: 5,
        class: 0,
        destination: 1.0,
        key,
        deadline,
        weight_hint,
        options,
        tenant,
    };
    let mut host = host::Host::default();
    let batch = vec![
        start(1),
        start(2),
        list(10),
        listing_changed(1),
        list(20),
        listing_changed(2),
        accept(1),
        accept(2),
    ];
    let replies = host.run(50_000_000_000, batch).unwrap();
    let routed = |instance, to| {
        let is = |r: &&Reply| matches!(r, Reply::Route { instance: w, endpoint, .. } if (*w, *endpoint) == (instance, to));
        replies.iter().filter(is).count()
    };
    assert_eq!((routed(1, 10), routed(2, 20)), (1, 1));
}
