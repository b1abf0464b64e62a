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

  Scenario: Requests that are refused are demand as well
    Given a meter in which 25 requests a second for m are refused
    Then its prompts would take between 0.4 and 0.6 of an engine

  Scenario: Demand that grows shows before it has grown
    Given a meter in which requests for m come at 2 a second for 5 s and then at 40
    Then its rate is more than 1 times that of before
