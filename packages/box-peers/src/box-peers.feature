Feature: Boxes know each other at any size of the deployment

  Scenario: In a small deployment every box hears every other one
    Given 8 boxes of which one holds the order lease
    When 3000 ms go by among the boxes
    Then every box takes 7 others for alive
    And every box has heard 7 others itself

  Scenario: Two boxes exchange one heartbeat in a round, whichever of them begins
    Given 8 boxes of which one holds the order lease
    When 6000 ms go by among the boxes
    Then a box sends less than 13 heartbeats a second

  Scenario: In a large deployment every box knows of every other one, and few messages go
    Given 60 boxes of which one holds the order lease
    When 6000 ms go by among the boxes
    Then every box takes 59 others for alive
    And a box sends less than 10 heartbeats a second

  Scenario: A box that stops is known to be gone everywhere
    Given 60 boxes of which one holds the order lease
    When 6000 ms go by among the boxes
    And box 7 stops
    And 3500 ms go by among the boxes
    Then every box takes 58 others for alive

  Scenario: A box without callers makes its rounds farther apart, and is known to be gone as well
    Given 60 boxes of which one holds the order lease
    When 6000 ms go by among the boxes
    And box 30 stops
    And 6000 ms go by among the boxes
    Then every box takes 58 others for alive
    And box 20 has sent less than box 5

  Scenario: Boxes are not forgotten while the order lease passes on
    Given 60 boxes of which one holds the order lease
    When 6000 ms go by among the boxes
    And the holder stops
    And 2500 ms go by among the boxes
    Then every box takes at least 55 others for alive
    When box 3 holds the order lease
    And 5000 ms go by among the boxes
    Then every box takes 58 others for alive

  Scenario: A box that was suspended has heard nobody lately before it hears them again
    A box whose machine had slept took what it had heard before for fresh: that the store was away for all, so that it went on giving orders, and that it was
    connected, so that it went on allotting limits. The steady clock, by which it measured, does not count a suspension.
    Given 5 boxes of which one holds the order lease
    When 3000 ms go by among the boxes
    Then every box has heard 4 others itself
    When all machines are suspended for 5000 ms
    Then every box has heard 0 others itself
    When 1000 ms go by among the boxes
    Then every box has heard 4 others itself

  Scenario: A round lengthens with the deployment
    Then with 7, 86 and 429 others a round of 400 ms and 4 ms a box takes 400, 400 and 1716 ms

  Scenario: Boxes ask readers that the store serves, and two of them while it refuses the holder
    Given a holder and the readers "r1 r2 r3", of which the store refuses "r2"
    Then rounds 0 to 3 go to the holder and "r1", "r3", "r1", "r3"
    Given the store refuses the holder as well
    Then rounds 0 to 3 go to the holder and "r1 r3", "r1 r3", "r1 r3", "r1 r3"
    Given the store refuses all readers
    Then rounds 0 to 2 go to the holder and "r1 r2", "r3 r1", "r2 r3"
