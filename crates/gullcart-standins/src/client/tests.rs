use super::*;

#[test]
fn answers_mean_what_the_protocol_says() {
    assert_eq!(read_answer("+OK"), EnqueueOutcome::Accepted);
    assert_eq!(read_answer("$2"), EnqueueOutcome::Accepted);
    assert_eq!(read_answer("-BUSY"), EnqueueOutcome::Busy(None));
    assert_eq!(read_answer("-BUSY 40"), EnqueueOutcome::Busy(Some(40)));
    assert_eq!(read_answer("-BUSY soon"), EnqueueOutcome::Error);
    assert_eq!(read_answer("-ERR no"), EnqueueOutcome::Error);
}

#[test]
fn a_hand_in_is_five_bulk_strings() {
    let hand_in = HandIn {
        id: "ab",
        key: 5,
        class: "notice",
        partner: 7,
        left: Duration::from_secs(2),
        idempotency_key: Some("k1"),
        retry: true,
        again: false,
        body: b"x\r\n",
    };
    let text = String::from_utf8(hand_in.request()).unwrap();
    let expected = "*5\r\n$7\r\nENQUEUE\r\n$16\r\n0000000000000005\r\n$2\r\nab\r\n\
                    $33\r\nc=notice,d=2000,dest=7,k=k1,r=1\r\n$3\r\nx\r\n\r\n";
    assert_eq!(text, expected.replace("$33", "$31"));
}
