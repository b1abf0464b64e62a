Feature: Boxes are ranked for work that only a few of them do

  Scenario: Store readers are spread over failure domains
    Given boxes "a1 a2 a3" of domain "x" with capacity 3, and "b1 b2" of domain "y" with capacity 1
    Then of 2 readers one is in "x" and one in "y"
    And 4 readers are 4 distinct boxes

  Scenario: Within one failure domain the boxes with the highest capacity read the store
    Given boxes "a1 a2" of domain "x" with capacity 1, and "b1 b2" of domain "x" with capacity 2
    Then all 2 readers are among "b1 b2"
