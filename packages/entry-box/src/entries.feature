Feature: Callers are told of boxes that can carry their requests

  Background:
    Given boxes of these capacities
      | box | domain | capacity |
      | a1  | a      | 1.35     |
      | a2  | a      | 1.35     |
      | a3  | a      | 0.3      |
      | b1  | b      | 1.35     |
      | b2  | b      | 1.35     |
      | b3  | b      | 0.3      |

  Scenario: Callers are told of the strong boxes of their failure domain
    Then callers of "a" are told of "a1 a2"

  Scenario: With half of the strong boxes strained, callers are still told of them alone
    Given "a1" is strained
    Then callers of "a" are told of "a1 a2"

  Scenario: With most strong boxes of a failure domain strained, its other boxes help
    Given "a1 a2" are strained
    Then callers of "a" are told of "a1 a2 a3"

  Scenario: Callers of a failure domain without boxes are told of strong ones elsewhere
    Then callers of "c" are told of "a1 a2 b1 b2"

  Scenario: A single box is told of, however strained
    Given only "a1", which is strained
    Then callers of "a" are told of "a1"
