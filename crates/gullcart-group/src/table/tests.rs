use super::*;

const A: MemberId = MemberId(1);
const B: MemberId = MemberId(2);

fn duty() -> Duty {
    Duty::new("trials/7").unwrap()
}

fn beat(member: MemberId, life: u64, beat: u64, claim: bool) -> Command {
    Command::Beat { member, life: Life(life), beat: Beat(beat), claim: claim.then(duty) }
}

fn expire(member: MemberId, life: u64, beat: u64) -> Command {
    Command::Expire { member, life: Life(life), beat: Beat(beat) }
}

fn table(commands: &[Command]) -> Table {
    let mut table = Table::default();
    commands.iter().for_each(|command| drop(table.apply(command)));
    table
}

fn held(table: &Table) -> Option<(u64, u64)> {
    table.grant(&duty()).map(|grant| (grant.holder.0, grant.epoch.0))
}

#[test]
fn the_first_claim_is_granted_and_a_later_one_after_it_is_over() {
    let mut both = table(&[beat(A, 1, 1, true), beat(B, 1, 1, true)]);
    assert_eq!(held(&both), Some((1, 1)));
    both.apply(&expire(A, 1, 1));
    assert_eq!(held(&both), None);
    both.apply(&beat(B, 1, 2, true));
    assert_eq!(held(&both), Some((2, 2)));
}

#[test]
fn a_sign_of_life_outlasts_the_end_of_an_earlier_one() {
    let mut both = table(&[beat(A, 1, 1, true), beat(A, 1, 2, false), expire(A, 1, 1)]);
    assert_eq!(held(&both), Some((1, 1)));
    both.apply(&expire(A, 1, 2));
    assert_eq!(held(&both), None);
}

#[test]
fn who_holds_a_duty_is_listened_to_and_nobody_else_and_what_it_told_stays() {
    let words = |text: &str| Words::new(text.as_bytes()).unwrap();
    let note = |member, epoch, text| Command::Note {
        member,
        life: Life(1),
        duty: duty(),
        epoch: Epoch(epoch),
        words: words(text),
    };
    let told = |table: &Table| table.note(&duty()).map(|note| (note.epoch.0, note.words.clone()));
    let mut table = Table::default();
    table.apply(&beat(A, 1, 1, true));
    assert_eq!(table.apply(&note(A, 1, "served")), vec![duty()]);
    assert_eq!(table.apply(&note(A, 1, "served")), vec![], "it is told already");
    assert_eq!(table.apply(&note(B, 1, "no")), vec![]);
    table.apply(&expire(A, 1, 1));
    assert_eq!(told(&table), Some((1, words("served"))));
    table.apply(&beat(B, 1, 1, true));
    // The holder before wakes up.
    assert_eq!(table.apply(&note(A, 1, "late")), vec![]);
    assert_eq!(table.apply(&note(B, 2, "down")), vec![duty()]);
    assert_eq!(told(&table), Some((2, words("down"))));
    // Without the look at who holds it, what it says now is undone.
    let unguarded = Unguarded { listens_to_past_holders: true, ..Unguarded::default() };
    table.apply_without(&note(A, 1, "late"), unguarded);
    assert_eq!(told(&table), Some((1, words("late"))));
}

#[test]
fn what_comes_twice_or_late_does_nothing() {
    let mut one = table(&[beat(A, 1, 1, true), beat(A, 1, 2, false)]);
    let release = Command::Release { member: A, life: Life(1), duty: duty(), epoch: Epoch(1) };
    one.apply(&release);
    // The claim comes once more.
    one.apply(&beat(A, 1, 1, true));
    assert_eq!(held(&one), None);
    one.apply(&beat(A, 1, 3, true));
    // The release, too: it was of another grant.
    one.apply(&release);
    assert_eq!(held(&one), Some((1, 2)));
    one.apply(&expire(A, 1, 3));
    one.apply(&beat(A, 1, 2, true));
    assert_eq!((held(&one), one.session(A)), (None, None));
}

#[test]
fn a_new_life_waits_for_the_end_of_the_one_before_and_silences_it() {
    let mut one = table(&[beat(A, 1, 5, true), beat(A, 2, 1, true)]);
    let grant = one.grant(&duty()).unwrap();
    assert_eq!((grant.life, grant.epoch), (Life(1), Epoch(1)));
    // The old process renews nothing any more.
    one.apply(&beat(A, 1, 6, false));
    assert_eq!(one.session(A), Some(Session { life: Life(1), beat: Beat(5) }));
    one.apply(&expire(A, 1, 5));
    one.apply(&beat(A, 1, 7, true));
    assert_eq!(held(&one), None);
    one.apply(&beat(A, 2, 2, true));
    assert_eq!(one.grant(&duty()).map(|grant| (grant.life, grant.epoch)), Some((Life(2), Epoch(2))));
}
