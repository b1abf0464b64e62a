Feature: Boxes agree by folding the log

  Scenario: Racing operators have one winner and one clear conflict
    Given a log in which "model/a" was written at revision 2
    When two operators write "model/a" based on revision 2
    Then the first write is accepted and the second names both revisions

  Scenario: A record that is in the log twice counts once
    Given a log in which "model/a" was written at revision 2
    When the last record is appended again
    Then the second copy does nothing

  Scenario: A record that its writer gave up is void once a later one is in the log
    Given a log in which "model/a" was written at revision 2
    When a record with an earlier number of the same writer arrives late
    Then the late record does nothing

  Scenario: Records that cannot be understood stop nobody
    Given a log in which "model/a" was written at revision 2
    When records are appended that are no JSON, no object, or of no known type
    Then each is counted as bad and the state is as before

  Scenario: All of a write takes effect, or nothing
    Given a log in which "model/a" was written at revision 2
    When one write changes "model/a" and names a pool that does not exist
    Then the write is refused with the field and the reason, and "model/a" is as before

  Scenario: Of two words on a request that is held back the one with the higher revision stands, in a snapshot too
    Given a log in which "model/a" was written at revision 2
    When two boxes hold the request "f1" back, one of them releases it, and an older word arrives late
    Then "f1" is released in the state and in a snapshot of it

  Scenario: Any history folds alike on every box, over repeats and snapshots
    Then for any history of records, a box that starts from a snapshot or sees repeats holds the same state

  Scenario: A snapshot with a part missing is ignored
    Given a log in which "model/a" was written at revision 2
    When a snapshot of it is read with a part missing, and then one that is whole
    Then only the whole one is taken

  Scenario: A claim that does not name the newest renewal loses
    Given a lease that was renewed after a rival read it
    When the rival claims it by what it had read
    Then the claim is rejected and the holder keeps its epoch

  Scenario: The intent of a superseded holder is void
    Given a lease that was renewed after a rival read it
    When another box claims it and the former holder's intent arrives
    Then the intent is not accepted
