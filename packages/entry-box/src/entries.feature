Feature: Callers receive the addresses of boxes with enough capacity

  Background:
    Given boxes of these capacities
      | box | domain | capacity |
      | a1  | a      | 1.35     |
      | a2  | a      | 1.35     |
      | a3  | a      | 0.3      |
      | b1  | b      | 1.35     |
      | b2  | b      | 1.35     |
      | b3  | b      | 0.3      |

  Scenario: Callers receive the high-capacity boxes of their failure domain
    Then callers in "a" receive the addresses of "a1 a2"

  # Guards against connections that wait at a strained box while others of its kind have room.
  Scenario: With a high-capacity box strained, callers receive those of all failure domains that are not
    Given "a1" is strained
    Then callers in "a" receive the addresses of "a2 b1 b2"
    And callers in "b" receive the addresses of "b1 b2"

  Scenario: With half of the high-capacity boxes of each failure domain strained, callers receive the others
    Given "a1 b1" are strained
    Then callers in "a" receive the addresses of "a2 b2"
    And callers in "b" receive the addresses of "a2 b2"

  Scenario: With most high-capacity boxes of a failure domain strained, callers also receive its other boxes
    Given "a1 a2" are strained
    Then callers in "a" receive the addresses of "a1 a2 a3"

  Scenario: Callers in a failure domain without boxes receive high-capacity boxes of other domains
    Then callers in "c" receive the addresses of "a1 a2 b1 b2"

  Scenario: A single box is returned even when it is strained
    Given only "a1", which is strained
    Then callers in "a" receive the addresses of "a1"
