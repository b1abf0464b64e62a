Feature: The feed provides the newest configuration and target list, also during outages of the store

  Background:
    Given a store with configuration 3 and targets "t1 t2"
    And a feed that has read them

  Scenario: A newer configuration is activated, an older or invalid one is not
    When configuration 5 is written
    And configuration 4 is written
    And an invalid configuration is written
    And 1000 ms pass in the feed
    Then configuration 5 is active
    And 1 bad record has been logged

  Scenario: Changes made during an outage are read after it
    When the store refuses the feed
    And configuration 6 is written
    And the target "t3" is written
    And 3000 ms pass in the feed
    Then the feed reports the store as unreachable
    And configuration 3 is active
    When the store serves the feed
    And 2000 ms pass in the feed
    Then configuration 6 is active
    And the targets "t1 t2 t3" are known

  # Guards against counting the store as unreachable until a read has waited for a change.
  Scenario: The feed notices the end of an outage although nothing has changed
    When the store refuses the feed
    And 3100 ms pass in the feed
    Then the feed reports the store as unreachable
    When the store serves the feed
    And 300 ms pass in the feed
    Then the feed reports the store as reachable

  # Guards against taking entries that lapsed during an outage for targets that left.
  Scenario: Targets whose entries are gone in the first answer after an outage may get requests
    When the store refuses the feed
    And 1000 ms pass in the feed
    And the target "t1" is deleted
    And the target "t2" is deleted
    And the store serves the feed
    And 500 ms pass in the feed
    Then the targets "t1 t2" may get requests

  # Guards against taking a second deletion of an entry that lapsed for its target's going.
  Scenario: A target whose lapsed entry is deleted once more may get requests
    When the store refuses the feed
    And 1000 ms pass in the feed
    And the target "t1" is deleted
    And the target "t2" is deleted
    And the store serves the feed
    And 500 ms pass in the feed
    And the target "t1" is deleted
    And 100 ms pass in the feed
    Then the targets "t1 t2" may get requests

  # Guards against judging entries by an outage that had ended before they disappeared.
  Scenario: Targets whose entries are gone in a later answer after an outage get no requests
    When the store refuses the feed
    And 1000 ms pass in the feed
    And the store serves the feed
    And 500 ms pass in the feed
    And the target "t1" is deleted
    And the target "t2" is deleted
    And 100 ms pass in the feed
    Then no target of the feed may get requests

  Scenario: After truncation of the history the feed reads a full snapshot, including removals
    When the store refuses the feed
    And the target "t1" is deleted
    And the target "t3" is written
    And the history is truncated
    And the store serves the feed
    And 6000 ms pass in the feed
    Then the targets "t2 t3" are known

  Scenario: A copy from another box is applied only if it is newer
    When the store refuses the feed
    And a copy with configuration 7 and targets "t2 t4" of a later read comes from another box
    Then configuration 7 is active
    When a copy with configuration 2 and targets "t9" of an earlier read comes from another box
    Then configuration 7 is active
    And the target "t9" is not known

  Scenario: A box that is not a reader does not call the store, and applies changes from readers
    When the feed is not a reader of the store
    And 500 ms pass in the feed
    Then the store is not read
    When another box sends "t3" as changed and "t1" as removed
    And 2000 ms pass in the feed
    Then the targets "t2 t3" are known

  Scenario: A box that becomes a reader again reads the full list from the store
    When the feed is not a reader of the store
    And 500 ms pass in the feed
    And another box sends "t8" as changed and "t1" as removed
    And the target "t3" is written
    And the target "t4" is written
    And the target "t5" is written
    And the feed is a reader of the store again
    And 4000 ms pass in the feed
    Then the targets "t1 t2 t3 t4 t5" are known

  Scenario: Another box receives only the changes since its offset
    Given another box has received everything
    When the target "t3" is written
    And the target "t1" is deleted
    And 500 ms pass in the feed
    Then a box that has received everything before receives "t3" as changed and "t1" as removed
    And a box at the first offset receives the full list "t2 t3"

  Scenario: Received changes are relayed
    Given another box has received everything
    When the store refuses the feed
    And another box sends "t3" as changed and "t1" as removed
    Then a box that has received everything before receives "t3" as changed and "t1" as removed
    When another box sends "t4" as changed and "t2" as removed
    Then a box that has received everything before receives "t3 t4" as changed and "t1 t2" as removed

  Scenario: An invalid entry affects no other target, and is used again once it is valid
    When "{" is written as the entry of "t1"
    And the target "t3" is written
    And 500 ms pass in the feed
    Then the targets "t2 t3" are known
    And a box at the first offset receives the full list "t2 t3", with "t1" as unreadable
    When the target "t1" is written
    And 500 ms pass in the feed
    Then the targets "t1 t2 t3" are known

  Scenario: An entry that another box can't read is excluded here as well
    Given another box has received everything
    When the feed is not a reader of the store
    And 500 ms pass in the feed
    And another box sends "t1" as unreadable
    Then the targets "t2" are known
    And a box that has received everything before receives "t1" as unreadable

  Scenario: A read in progress while changes are received from another box removes no target
    When another box sends "t3" as changed and "t9" as removed
    And the target "t3" is written
    And the target "t4" is written
    And the target "t5" is written
    And 4000 ms pass in the feed
    Then the targets "t1 t2 t3 t4 t5" are known

  # Guards against ignoring a list that ends lower because the store has lost its newest records.
  Scenario: Changes are applied after the store has come back from an older copy
    When the target "t3" is written
    And the target "t4" is written
    And 500 ms pass in the feed
    And the store goes back by 2 records
    And the target "t5" is written
    And 500 ms pass in the feed
    Then the target "t5" is known

  # Guards against reading on in a history that is not the one read before.
  Scenario: Changes are applied after the store has come back from an older copy and grown past its earlier end
    When the target "t3" is written
    And the target "t4" is written
    And 500 ms pass in the feed
    And the store refuses the feed
    And the store goes back by 2 records
    And the target "t5" is written
    And the target "t6" is written
    And the target "t7" is written
    And 1000 ms pass in the feed
    And the store serves the feed
    And 1000 ms pass in the feed
    Then the target "t5" is known

  Scenario: A box that does not read the store applies a shorter list of a store that has come back
    When the feed is not a reader of the store
    And 500 ms pass in the feed
    And another box that has read generation 1 of the store up to 1 sends the whole list "t2 t9"
    And 2000 ms pass in the feed
    Then the target "t9" is known

  Scenario: A list of an earlier generation of the store is ignored
    When the store goes back by 1 records
    And 500 ms pass in the feed
    And the feed is not a reader of the store
    And another box that has read generation 0 of the store up to 90 sends the whole list "t9"
    Then the target "t9" is not known

  Scenario: The configuration does not go back with the store
    When configuration 6 is written
    And 500 ms pass in the feed
    And the store of configurations goes back by 1 records
    And 500 ms pass in the feed
    Then configuration 6 is active
    When configuration 7 is written
    And 500 ms pass in the feed
    Then configuration 7 is active

  # Guards against callers losing targets whose entries the copy lacks until they are written again.
  Scenario: A target whose entry the store has lost stays in use for the grace period
    When the target "t3" is written
    And 500 ms pass in the feed
    And the store goes back by 1 records
    And 500 ms pass in the feed
    Then the targets "t1 t2 t3" may get requests
    When 3000 ms pass in the feed
    Then the targets "t1 t2" may get requests

  # Guards against deciding by a list whose link has fallen silent.
  Scenario: A feed that is caught up knows what was written until then
    When the feed is not a reader of the store
    And 500 ms pass in the feed
    And the target "t3" is written
    And the target "t1" is deleted
    Then the feed catches up with the targets
    And the targets "t2 t3" are known

  Scenario: A feed whose store does not answer can't be caught up
    When the store refuses the feed
    Then the feed can't catch up with the targets

  Scenario: A feed whose history was truncated can't be caught up
    When the feed is not a reader of the store
    And 500 ms pass in the feed
    And the target "t3" is written
    And the history is truncated
    Then the feed can't catch up with the targets

  # Guards against taking an older copy, which lacks running targets, for the list.
  Scenario: A feed can't be caught up until the targets have written to a store that has come back
    When the target "t3" is written
    And 500 ms pass in the feed
    And the store goes back by 1 records
    And 500 ms pass in the feed
    Then the feed can't catch up with the targets
    When 2000 ms pass in the feed
    Then the feed catches up with the targets
