Feature: Demand for a model is what is at work or waits, over all boxes

  Scenario: Requests in flight are averaged over about a second
    Given a meter in which 10 requests for m begin
    When 3 s pass
    Then m has between 9 and 10 requests in flight
    When the requests end and 3 s pass
    Then m has between 0 and 1 requests in flight and was last asked for 3 s ago

  Scenario: Waits are counted by model and by adapter, and end once
    Given a meter in which 2 requests wait for m and 1 for its adapter x
    Then the meter tells of 2 waiting for m and 1 for its adapter x
    When the waits end twice
    Then the meter tells of 0 waiting for m and 0 for its adapter x

  Scenario: Demand of several boxes adds up
    Given two meters in which 4 requests for m begin each
    When 3 s pass
    Then together m has between 7 and 8 requests in flight
