use super::*;

fn answer(number: u64, status: Option<Status>) -> MemberAnswer {
    let error = status.is_none().then(|| "refused".to_owned());
    let (name, address) = (format!("m{number}"), format!("127.0.0.1:{number}"));
    MemberAnswer { name, number, address, is_voter: number <= 3, status, error }
}

fn status(me: u64, leader: Option<u64>, version: u64) -> Status {
    let held = DutyStatus {
        name: "trials/7".to_owned(),
        holder: Some(2),
        epoch: Some(version),
        since_ms: 1500,
        vacancy_reason: None,
    };
    let free = DutyStatus {
        name: "trials/8".to_owned(),
        holder: None,
        epoch: None,
        since_ms: 0,
        vacancy_reason: Some("because".to_owned()),
    };
    Status { me, votes: me <= 3, leader, version, duties: vec![held, free], ..Status::default() }
}

#[test]
fn the_newest_status_counts_and_a_majority_names_the_leader() {
    let report = Report::from_answers(vec![
        answer(1, Some(status(1, Some(2), 40))),
        answer(2, Some(status(2, Some(2), 42))),
        answer(3, Some(status(3, Some(3), 7))),
    ]);
    assert_eq!((report.leader.as_deref(), report.version), (Some("m2"), 42));
    assert_eq!(report.duties[0].epoch, Some(42));
    assert_eq!(report.duties[1].reason.as_deref(), Some("because"));
    assert_eq!(report.problems, Vec::<String>::new());
    assert!(report.member_lines()[3].contains(" 35 "), "{:?}", report.member_lines());
    assert!(report.duty_lines()[1].contains("m2") && report.duty_lines()[2].contains("NOBODY"));
}

#[test]
fn problems_are_described() {
    let without_state = Status { votes: false, problem: Some("replace it".to_owned()), ..status(1, None, 0) };
    let report = Report::from_answers(vec![
        answer(1, Some(without_state)),
        answer(2, Some(status(2, Some(2), 42))),
        answer(3, None),
        answer(4, Some(status(4, None, 0))),
    ]);
    assert_eq!(report.leader, None, "one of three is no majority");
    let text = report.problems.join("\n");
    for word in ["no leader", "m1: replace it", "m3 at 127.0.0.1:3 cannot be asked: refused"] {
        assert!(text.contains(word), "{text}");
    }
    assert!(!text.contains("m4"), "it does not vote, and need not: {text}");
}
