Feature: Log events are numbered and catalogued

  Scenario: The catalogue in the docs agrees with the code
    Then docs/EVENTS.md is what the code describes

  Scenario: Every event of the catalogue is logged somewhere
    Then each event's name stands in the code of another package

  Scenario: No number stands for two events
    Then each event has a number of its own
