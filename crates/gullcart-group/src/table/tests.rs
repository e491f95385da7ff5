use super::*;

const A: MemberId = MemberId(1);
const B: MemberId = MemberId(2);

fn duty() -> Duty {
    Duty::new("trials/7").unwrap()
}

fn heartbeat(member: MemberId, incarnation: u64, number: u64, claim: bool) -> Command {
    Command::Heartbeat {
        member,
        incarnation: Incarnation(incarnation),
        heartbeat: HeartbeatNumber(number),
        claim: claim.then(duty),
    }
}

fn expire(member: MemberId, incarnation: u64, number: u64) -> Command {
    Command::Expire { member, incarnation: Incarnation(incarnation), heartbeat: HeartbeatNumber(number) }
}

fn table_after(commands: &[Command]) -> Table {
    let mut table = Table::default();
    commands.iter().for_each(|command| drop(table.apply(command)));
    table
}

/// The holder and the epoch of the duty.
fn held(table: &Table) -> Option<(u64, u64)> {
    table.grant(&duty()).map(|grant| (grant.holder.0, grant.epoch.0))
}

#[test]
fn the_first_claim_is_granted_and_another_one_after_it_has_expired() {
    let mut table = table_after(&[heartbeat(A, 1, 1, true), heartbeat(B, 1, 1, true)]);
    assert_eq!(held(&table), Some((1, 1)));
    table.apply(&expire(A, 1, 1));
    assert_eq!(held(&table), None);
    table.apply(&heartbeat(B, 1, 2, true));
    assert_eq!(held(&table), Some((2, 2)));
}

#[test]
fn a_newer_heartbeat_prevents_the_expiry() {
    let mut table = table_after(&[heartbeat(A, 1, 1, true), heartbeat(A, 1, 2, false), expire(A, 1, 1)]);
    assert_eq!(held(&table), Some((1, 1)));
    table.apply(&expire(A, 1, 2));
    assert_eq!(held(&table), None);
}

#[test]
fn only_the_holder_publishes_notes_and_they_outlast_its_grant() {
    let payload = |text: &str| Payload::new(text.as_bytes()).unwrap();
    let note = |member, epoch, text| Command::Note {
        member,
        incarnation: Incarnation(1),
        duty: duty(),
        epoch: Epoch(epoch),
        payload: payload(text),
    };
    let note_of = |table: &Table| table.note(&duty()).map(|note| (note.epoch.0, note.payload.clone()));
    let mut table = Table::default();
    table.apply(&heartbeat(A, 1, 1, true));
    assert_eq!(table.apply(&note(A, 1, "served")), vec![duty()]);
    assert_eq!(table.apply(&note(A, 1, "served")), vec![], "it is unchanged");
    assert_eq!(table.apply(&note(B, 1, "no")), vec![]);
    table.apply(&expire(A, 1, 1));
    assert_eq!(note_of(&table), Some((1, payload("served"))));
    table.apply(&heartbeat(B, 1, 1, true));
    // The previous holder comes back.
    assert_eq!(table.apply(&note(A, 1, "late")), vec![]);
    assert_eq!(table.apply(&note(B, 2, "down")), vec![duty()]);
    assert_eq!(note_of(&table), Some((2, payload("down"))));
    // Without the check of the holder, a late note overwrites a newer table.
    let disabled = DisabledGuards { accept_notes_of_past_holders: true, ..DisabledGuards::default() };
    table.apply_unguarded(&note(A, 1, "late"), disabled);
    assert_eq!(note_of(&table), Some((1, payload("late"))));
}

#[test]
fn duplicate_and_late_commands_have_no_effect() {
    let mut table = table_after(&[heartbeat(A, 1, 1, true), heartbeat(A, 1, 2, false)]);
    let release = Command::Release { member: A, incarnation: Incarnation(1), duty: duty(), epoch: Epoch(1) };
    table.apply(&release);
    // The claim is applied again.
    table.apply(&heartbeat(A, 1, 1, true));
    assert_eq!(held(&table), None);
    table.apply(&heartbeat(A, 1, 3, true));
    // So is the release, which names another epoch.
    table.apply(&release);
    assert_eq!(held(&table), Some((1, 2)));
    table.apply(&expire(A, 1, 3));
    table.apply(&heartbeat(A, 1, 2, true));
    assert_eq!((held(&table), table.session(A)), (None, None));
}

#[test]
fn a_new_incarnation_waits_for_the_expiry_of_the_old_one_and_supersedes_it() {
    let mut table = table_after(&[heartbeat(A, 1, 5, true), heartbeat(A, 2, 1, true)]);
    let grant = table.grant(&duty()).unwrap();
    assert_eq!((grant.incarnation, grant.epoch), (Incarnation(1), Epoch(1)));
    // Heartbeats of the old incarnation no longer renew its session.
    table.apply(&heartbeat(A, 1, 6, false));
    assert_eq!(
        table.session(A),
        Some(Session { incarnation: Incarnation(1), heartbeat: HeartbeatNumber(5) })
    );
    table.apply(&expire(A, 1, 5));
    table.apply(&heartbeat(A, 1, 7, true));
    assert_eq!(held(&table), None);
    table.apply(&heartbeat(A, 2, 2, true));
    assert_eq!(
        table.grant(&duty()).map(|grant| (grant.incarnation, grant.epoch)),
        Some((Incarnation(2), Epoch(2)))
    );
}
