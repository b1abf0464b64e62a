Feature: Which requests are held back when targets end under them

  Background:
    Given the boxes "a b c" and 13 targets of one service

  Scenario: Two targets that ended alone, with one request in common, are its doing
    When "e1" ends under "poison, r1, r2" at box "a"
    And 1000 ms go by
    And "e2" ends under "poison, r3" at box "b"
    Then "poison" is unsettled at box "c", to be asked again soon
    When 600 ms go by
    Then "poison" is held back at box "c" and every other box knows it
    And "r1, r2, r3" may run at every box

  Scenario: Other targets that end meanwhile leave another explanation, so that it takes a third
    When "e1" ends under "poison, r1" at box "a"
    And 1000 ms go by
    And "e5" ends under "r4" at box "b"
    And 1000 ms go by
    And "e2" ends under "poison" at box "b"
    And 1000 ms go by
    Then "poison" may be sent once more
    When "e3" ends under "poison" at box "c"
    Then "poison" is unsettled at box "b", to be asked again soon
    When 600 ms go by
    Then "poison" is held back at box "a" and every other box knows it
    And "r1, r4" may run at every box

  Scenario: A companion that was at both targets is cleared by the third
    When "e1" ends under "poison, r1" at box "a"
    And 1000 ms go by
    And "e2" ends under "poison, r1" at box "a"
    And 1000 ms go by
    Then "poison, r1" may be sent once more
    When "e3" ends under "poison" at box "a"
    Then "poison" is unsettled at box "b", to be asked again soon
    When 600 ms go by
    Then "poison" is held back at box "a" and every other box knows it
    And "r1" may run at every box

  Scenario: Targets that end together are nobody's doing, however often
    When 9 targets end together, each under "r1" or another, 6 times
    Then "r1" may run at every box

  Scenario: Copies of one request on several targets that end together are no proof against it
    Six innocent requests were held back on a day on which 70 % of the targets crash every 2 s. Their callers had sent copies at once, three
    of which were on targets that ended in the same moment: "requestHeldBack" 0.01 s after the crash, with three targets.
    When 6 targets end together, 3 of them under "r1", the word of the other boxes coming later
    Then "r1" is not held back

  Scenario: A good answer clears a request of all that was before
    When "e1" ends under "r1" at box "a"
    And 1000 ms go by
    And "r1" is answered well at box "b"
    And "e2" ends under "r1" at box "c"
    And 1000 ms go by
    Then "r1" may run at every box

  Scenario: The requests of one target that are lost at different boxes are one end
    When "e1" ends under "r1" at box "a"
    And "e1" ends under "r1" at box "b"
    And "e1" ends under "r1" at box "c"
    And 1000 ms go by
    Then "r1" may run at every box

  Scenario: An operator lets it through again, and what it did before is forgiven
    Given "poison" is held back
    When an operator releases "poison" at box "b"
    And 1000 ms go by
    Then "poison" may run at every box
    When "e8" ends under "poison" at box "a"
    And 1000 ms go by
    And "e9" ends under "poison" at box "a"
    And 1000 ms go by
    Then "poison" is held back at box "c" and every other box knows it

  Scenario: A box that starts learns from another box
    Given "poison" is held back
    When box "b" starts again
    And 1000 ms go by
    Then "poison" is held back at box "b" and every other box knows it

  Scenario: An account that sends thousands of them pushes out none of another account
    Given "poison" is held back
    When 3000 requests of the account "loud" are held back
    Then "poison" is held back at box "a" and every other box knows it
    And no box holds back more than 1000 requests

  Scenario: No innocent request is held back when most targets crash again and again
    Then with 9 of 13 targets crashing every 2 s for 24 s, and callers that return 6 times, no request is held back, seeds 1 to 20

  Scenario: A request that ends its targets takes three of them at most, among random crashes and returns at any box
    Then among 13 targets of which one crashes alone each second it takes 3 targets at most, seeds 1 to 40
    And where no other target crashes it takes 2, or 3 where another request was on both, seeds 1 to 40
