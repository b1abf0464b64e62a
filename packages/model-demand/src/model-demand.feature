Feature: Demand for a model counts running and waiting requests over all boxes

  Scenario: Requests in flight are averaged over about one second
    Given a meter with 10 running requests for m
    When 3 s pass
    Then m has between 9 and 10 requests in flight
    When the requests end and 3 s pass
    Then m has between 0 and 1 requests in flight and was last requested 3 s ago

  Scenario: Waiting requests are counted per model and adapter, and removed only once
    Given a meter with 2 requests waiting for m and 1 for its adapter x
    Then the meter reports 2 requests waiting for m and 1 for its adapter x
    When the waits end twice
    Then the meter reports 0 requests waiting for m and 0 for its adapter x

  Scenario: Requests that wait at one software version are counted apart, and summed over boxes
    Given a meter with 2 requests waiting for m at version v1 and 1 for its adapter x there
    Then the meter reports 0 requests waiting for m and 0 for its adapter x
    And two such meters report 4 requests waiting for m at version v1 and 2 for its adapter x there
    When the waits end twice
    Then the meter reports no requests that wait at a version

  Scenario: The demand of several boxes is summed
    Given two meters with 4 running requests for m each
    When 3 s pass
    Then m has between 7 and 8 requests in flight in total

  Scenario: Refused requests count as demand
    Given a meter that records 25 refused requests per second for m
    Then its prompts would occupy between 0.4 and 0.6 of an engine

  # Guards against refusals that are forgotten before the plan sees them, or remembered after the burst is over.
  Scenario: Refusals are reported while they last
    Given a meter with 1 running requests for m
    When 10 of its requests are refused
    Then between 9 and 11 requests per second are reported as refused
    When 5 s pass
    Then between 0 and 0.1 requests per second are reported as refused

  Scenario: Growing demand raises the rate above the baseline
    Given a meter that records 2 requests per second for m for 5 s and then 40 per second
    Then its rate is more than 1 times the baseline rate
