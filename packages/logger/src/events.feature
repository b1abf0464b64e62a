Feature: Log events have stable numbers and are documented

  Scenario: The documented event catalogue matches the code
    Then docs/EVENTS.md matches the generated event catalogue

  Scenario: Every event of the catalogue is used
    Then each event's name occurs in the code of another package

  Scenario: Event numbers are unique
    Then each event has a unique number
