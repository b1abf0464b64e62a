Feature: A box tracks its targets by the newest reports, and tolerates a lapse of the target list

  Background:
    Given a fleet with targets "t1 t2 t3 t4 t5" of one service

  Scenario: A leaving target gets no new requests, even if it is listed as ready later
    When "t1" is listed as leaving
    And "t1" is listed as ready
    Then "t2 t3 t4 t5" may get requests

  Scenario: The log tells that a target is leaving according to its list entry
    When "t1" is listed as leaving
    And "t1" is listed as leaving
    Then it is logged once that "t1" is leaving according to the list

  Scenario: A single target whose entry disappears gets no new requests
    When the entry of "t1" disappears
    Then "t2 t3 t4 t5" may get requests

  Scenario: Targets stay in use when many entries disappear at once while the store is unsettled
    When the entries of "t1 t2 t3" disappear while the store is unsettled
    Then "t1 t2 t3 t4 t5" may get requests

  # Guards against spending the retry budget on targets that have crashed and come back under other ids.
  Scenario: Crashed targets get no requests once others are listed at their addresses
    When the entries of "t1 t2 t3" disappear while the store is unsettled
    And "t6" is listed at the address of "t1"
    And "t7" is listed at the address of "t2"
    And "t8" is listed at the address of "t3"
    Then "t4 t5 t6 t7 t8" may get requests

  Scenario: Crashed targets get no requests if others were listed at their addresses before
    When "t6" is listed at the address of "t1"
    And "t7" is listed at the address of "t2"
    And "t8" is listed at the address of "t3"
    And the entries of "t1 t2 t3" disappear while the store is unsettled
    Then "t4 t5 t6 t7 t8" may get requests

  Scenario: Entries that disappear one after the other are no lapse, however long the first are missing
    Guards against sending requests to removed targets after a store outage has extended their grace period.
    When the entries of "t1" disappear while the store is unsettled
    And 1700 ms pass with the store unavailable
    And the entries of "t2" disappear while the store is unsettled
    Then "t3 t4 t5" may get requests

  Scenario: Targets still missing after the grace period are removed
    When the entries of "t1 t2 t3" disappear while the store is unsettled
    And 2000 ms pass
    Then "t4 t5" may get requests

  Scenario: The grace period does not end while the store is unavailable, and is over once it is back
    When the entries of "t1 t2 t3" disappear while the store is unsettled
    And 9000 ms pass with the store unavailable
    Then "t1 t2 t3 t4 t5" may get requests
    When 100 ms pass
    Then "t4 t5" may get requests

  # Guards against taking many departures for a lapse of the list.
  Scenario: Targets whose entries disappear together while the store is settled get no requests
    When the entry of "t1" disappears
    And the entry of "t2" disappears
    And the entry of "t3" disappears
    Then "t4 t5" may get requests
    When 9000 ms pass with the store unavailable
    Then "t4 t5" may get requests

  Scenario: Targets get no requests when the entries of all have disappeared while the store is settled
    When the whole list is empty
    Then no target may get requests

  Scenario: A departed target gets no requests when an older copy of the list, or a late write, contains it for a while
    When the entry of "t1" disappears
    And "t1" is listed as ready
    And 1500 ms pass
    Then "t2 t3 t4 t5" may get requests
    When the entry of "t1" disappears
    And "t1 t2 t3 t4 t5" are listed as the whole list of a store that has come back
    And 9000 ms pass with the store unavailable
    Then "t2 t3 t4 t5" may get requests
    When 2300 ms pass
    Then "t2 t3 t4 t5 t1" may get requests

  Scenario: A box that was told of a departure sends nothing there while its own list is behind
    When another box sends the departure of "t1" at the next change of the list
    Then "t2 t3 t4 t5" may get requests
    When "t1" is listed as ready
    And 2300 ms pass
    Then "t1 t2 t3 t4 t5" may get requests

  Scenario: A departure told late does not put a target out of use that has been listed since
    When "t1" is listed as ready
    And another box sends the departure of "t1" at an earlier change of the list
    Then "t1 t2 t3 t4 t5" may get requests

  Scenario: A departed target that starts again gets requests at once
    Given "t1" is listed with incarnation 1000
    When the entry of "t1" disappears
    And "t1" is listed with incarnation 2000
    Then "t2 t3 t4 t5 t1" may get requests

  Scenario: A target that is listed again gets requests again
    When the entry of "t1" disappears
    And 500 ms pass
    And "t1" is listed as ready
    And 5000 ms pass
    Then "t2 t3 t4 t5 t1" may get requests

  Scenario: Three consecutive failures eject a target, for longer each time
    When "t1" fails 3 times
    Then "t2 t3 t4 t5" may get requests
    When 1100 ms pass
    Then "t1 t2 t3 t4 t5" may get requests
    When "t1" fails 3 times
    And 1100 ms pass
    Then "t2 t3 t4 t5" may get requests

  Scenario: A refused connection ejects a target at once
    When a connection to "t1" is refused
    Then "t2 t3 t4 t5" may get requests

  Scenario: Failed connections of a box that was cut off from all targets eject no target any longer
    When "t1" fails 3 times
    And a connection to "t2" is refused
    And 100 ms pass
    And a connection to "t3" is refused
    And 3 connections to "t4" are not established
    And 2 connections to "t5" are not established
    Then "t5" may get requests
    When connections that failed in the last 50 ms are forgotten
    Then "t3 t4 t5" may get requests
    When 1 connections to "t5" are not established
    And 1000 ms pass
    And a connection to "t3" is refused
    And 500 ms pass
    Then "t1 t2 t4 t5" may get requests
    When 600 ms pass
    Then "t1 t2 t3 t4 t5" may get requests

  Scenario: Ejected targets are used when no other is left
    When a connection to "t1" is refused
    And a connection to "t2" is refused
    And a connection to "t3" is refused
    And a connection to "t4" is refused
    And a connection to "t5" is refused
    Then "t1 t2 t3 t4 t5" may get requests

  Scenario: An older report of loaded models does not replace a newer one
    When "t1" reports after 5 orders that it has loaded "a"
    And "t1" reports after 4 orders that it has loaded "b"
    Then "t1" is known to have "a" and not "b"

  Scenario: A model about to be unloaded gets no requests
    When "t1" reports after 5 orders that it has loaded "a"
    And "a" is about to be unloaded at "t1"
    Then "t1" is known not to have "a"

  Scenario: A refusal of a model counts until the target has accepted another order
    When "t1" reports after 5 orders that it has loaded "a"
    And "t1" refuses to serve "a"
    Then "t1" is known not to have "a"
    When "t1" reports after 6 orders that it has loaded "a"
    Then "t1" is known to have "a" and not "b"

  Scenario: A refusal of a model with a time limit counts until then
    When "t1" reports after 5 orders that it has loaded "a"
    And "t1" refuses to serve "a" for 500 ms
    Then "t1" is known not to have "a"
    When 600 ms pass
    Then "t1" is known to have "a" and not "b"

  Scenario: A restarted target has none of its previous models
    Given another box reports that "t1" of incarnation 1000 has, after 7 orders, loaded "m"
    When "t1" is listed with incarnation 2000
    Then "t1" is known not to have "m"
    When another box reports that "t1" of incarnation 1000 has, after 8 orders, loaded "m"
    Then "t1" is known not to have "m"
    When another box reports that "t1" of incarnation 2000 has, after 1 orders, loaded "n"
    Then "t1" is known to have "n"

  Scenario: A target's own report of a restart applies before the list shows it
    Given another box reports that "t1" of incarnation 1000 has, after 7 orders, loaded "m"
    When "t1" reports itself as incarnation 2000 and after 0 orders that it has loaded "n"
    Then "t1" is known to have "n"
    And "t1" is known not to have "m"
    When "t1" is listed with incarnation 1000
    Then "t1" is known to have "n"

  Scenario: A restart is detected although the target's clock was set back
    Given "t1" is listed with incarnation 2000
    And another box reports that "t1" of incarnation 2000 has, after 7 orders, loaded "m"
    When another box reports that "t1" of incarnation 1000 has, after 0 orders, loaded "n"
    Then "t1" is known to have "m"
    When "t1" is listed with incarnation 1000
    Then "t1" is known to have "n"
    And "t1" is known not to have "m"

  Scenario: Ejection and leaving end with a restart
    Given "t1" is listed with incarnation 1000
    And a connection to "t1" is refused
    And "t2" is listed with incarnation 1000
    And "t2" is listed as leaving with incarnation 1000
    Then "t3 t4 t5" may get requests
    When "t1" is listed with incarnation 2000
    And "t2" is listed with incarnation 2000
    Then "t1 t2 t3 t4 t5" may get requests

  Scenario: A target whose entry can't be read gets no new requests until the entry is valid again
    When the entries of "t1 t2 t3" can't be read
    Then "t4 t5" may get requests
    When "t2" is listed as ready
    Then "t4 t5 t2" may get requests

  Scenario: The newest incarnation wins for random restarts with late and relayed reports
    Then of 500 random histories each ends with the holdings of the last incarnation

  Scenario: A target that asks for a rest gets no new requests for that time
    When "t1" asks for a rest of 1000 ms
    Then "t2 t3 t4 t5" may get requests
    When 1000 ms pass
    Then "t1 t2 t3 t4 t5" may get requests

  # Guards against ending a rest before the target wants requests again.
  Scenario: A very long rest holds for all of its time
    When "t1" asks for a rest of 3600000 ms
    And 3599000 ms pass
    Then "t2 t3 t4 t5" may get requests
    When 1000 ms pass
    Then "t1 t2 t3 t4 t5" may get requests

  Scenario: A rest longer than any timer holds
    When "t1" asks for a rest of 999999999000 ms
    And 20000 ms pass
    Then "t2 t3 t4 t5" may get requests

  # Guards against using resting targets because no other one is left.
  Scenario: Targets that rest get no requests when no other is left
    When each target asks for a rest of 1000 ms
    Then no target may get requests
    And the first of 5 resting targets accepts requests in 1000 ms

  Scenario: An ejected target is used while all others rest
    When each target asks for a rest of 1000 ms
    And 1000 ms pass
    And a connection to "t1" is refused
    And "t2 t3 t4 t5" ask for a rest of 1000 ms
    Then "t1" may get requests

  Scenario: A later answer that asks for less does not end a rest sooner
    When "t1" asks for a rest of 1000 ms
    And "t1" asks for a rest of 100 ms
    And 500 ms pass
    Then "t2 t3 t4 t5" may get requests

  Scenario: A rest holds when the target's entry disappears and comes back
    When "t1" asks for a rest of 5000 ms
    And the entry of "t1" disappears
    And 2000 ms pass
    And "t1" is listed as ready
    Then "t2 t3 t4 t5" may get requests

  Scenario: A rest ends with a restart
    Given "t1" is listed with incarnation 1000
    When "t1" asks for a rest of 5000 ms
    And "t1" is listed with incarnation 2000
    Then "t1 t2 t3 t4 t5" may get requests

  # Guards against sending all waiting requests at the end of a rest at once.
  Scenario: A target whose rest has ended gets its requests one after the other
    When "t1" asks for a rest of 1000 ms
    And 1000 ms pass
    And a request is sent to "t1"
    Then "t2 t3 t4 t5" may get requests
    When 30 ms pass
    Then "t1 t2 t3 t4 t5" may get requests
    When a request is sent to "t1"
    Then "t2 t3 t4 t5" may get requests
    When 500 ms pass
    And 50 requests are sent to "t1"
    Then "t1 t2 t3 t4 t5" may get requests

  Scenario: A target that says in a response that it leaves stays leaving when its entry disappears and comes back
    When "t1" says in a response that it is leaving
    Then "t2 t3 t4 t5" may get requests
    When the entry of "t1" disappears
    And "t1" is listed as ready
    Then "t2 t3 t4 t5" may get requests
    When "t1 t2 t3 t4 t5" are listed as the whole list
    Then "t2 t3 t4 t5" may get requests

  Scenario: A target that said in its report that it leaves is usable as a new incarnation
    Given "t1" is listed with incarnation 1000
    When "t1" reports itself as incarnation 1000 and that it is leaving
    Then "t2 t3 t4 t5" may get requests
    When "t1" is listed with incarnation 2000
    Then "t1 t2 t3 t4 t5" may get requests
