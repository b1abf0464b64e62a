Feature: Few boxes do the work that is done once for all

  Scenario: Boxes that read the store stand in several failure domains
    Given boxes "a1 a2 a3" of domain "x" with capacity 3, and "b1 b2" of domain "y" with capacity 1
    Then of 2 readers one stands in "x" and one in "y"
    And 4 readers are 4 boxes

  Scenario: In one failure domain the strongest read
    Given boxes "a1 a2" of domain "x" with capacity 1, and "b1 b2" of domain "x" with capacity 2
    Then of 2 readers all are among "b1 b2"
