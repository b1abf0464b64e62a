Feature: Boxes reach the same state by folding the log

  Scenario: Of two concurrent writes one is accepted and the other reports the conflict
    Given a log in which "model/a" was written at revision 2
    When two operators write "model/a" based on revision 2
    Then the first write is accepted and the second is rejected with both revisions

  Scenario: A duplicate record has no effect
    Given a log in which "model/a" was written at revision 2
    When the last record is appended again
    Then the second copy does nothing

  Scenario: An abandoned record has no effect after a later one of the same writer
    Given a log in which "model/a" was written at revision 2
    When an earlier record of the same writer arrives late
    Then the late record does nothing

  Scenario: Invalid records are skipped
    Given a log in which "model/a" was written at revision 2
    When records are appended that are not JSON, not an object, or of an unknown type
    Then each is reported as a bad record and the state is unchanged

  Scenario: A write is applied completely or not at all
    Given a log in which "model/a" was written at revision 2
    When a write changes "model/a" and names a pool that does not exist
    Then the write is rejected with the field and the reason, and "model/a" is unchanged

  Scenario: The decision with the highest revision on a held request wins, also in a snapshot
    Given a log in which "model/a" was written at revision 2
    When two boxes hold the request "f1" back, one of them releases it, and an older decision arrives late
    Then "f1" is released in the state and in a snapshot of it

  Scenario: Any history leads to the same state on every box, with duplicates and snapshots
    Then for any history of records, a box that starts from a snapshot or reads duplicates reaches the same state

  Scenario: An incomplete snapshot is ignored
    Given a log in which "model/a" was written at revision 2
    When an incomplete snapshot of it is read, and then a complete one
    Then only the complete one is used

  Scenario: A claim that is not based on the newest renewal is rejected
    Given a lease that was renewed after a competing box read it
    When the competing box claims it based on what it had read
    Then the claim is rejected and the holder keeps its epoch

  Scenario: The intent of a superseded holder is rejected
    Given a lease that was renewed after a competing box read it
    When another box claims it and the former holder's intent arrives
    Then the intent is not accepted
