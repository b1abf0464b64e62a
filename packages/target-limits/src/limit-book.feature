Feature: What a box knows of the limits that targets name

  Scenario: A limit holds until a later request is answered without one
    Given a target that named a limit of 2 a second at 1000 ms
    When a request that was sent at 900 ms is answered without a limit at 1200 ms
    Then the target takes 2 a second
    When a request that was sent at 1300 ms is answered without a limit at 1400 ms
    Then the target takes any number

  Scenario: A failure without a limit doesn't end it
    Given a target that named a limit of 2 a second at 1000 ms
    When a request that was sent at 1300 ms fails without a limit at 1400 ms
    Then the target takes 2 a second

  Scenario: A limit that can't be read changes nothing
    Given a target that named a limit of 2 a second at 1000 ms
    When a request that was sent at 1300 ms is answered with an unreadable limit at 1400 ms
    Then the target takes 2 a second

  Scenario: A limit ends with the life of its target
    Given a target that named a limit of 2 a second at 1000 ms
    When the target's life ends
    Then the target takes any number

  Scenario: A change is told once
    Given a target that named a limit of 2 a second at 1000 ms
    When a request that was sent at 1300 ms is answered with a limit of 2 at 1400 ms
    And a request that was sent at 1500 ms is answered with a limit of 0.5 at 1600 ms
    And a request that was sent at 1700 ms is answered without a limit at 1800 ms
    Then the changes told are "2 0.5 none"
