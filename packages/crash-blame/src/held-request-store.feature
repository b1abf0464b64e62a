Feature: Held requests are kept in the store

  # Guards against held requests that go free at the next start of all boxes.
  Scenario: A held request that the store has lost is written again
    Given a box with a store for held requests
    And the box holds back the request "r1"
    When the store of held requests goes back by 1 records
    And the box holds back the request "r2"
    Then the store has the held requests "r1 r2"
