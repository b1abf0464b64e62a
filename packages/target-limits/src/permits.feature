Feature: Permits at a target that has named a limit

  Scenario: Permits come one after the other, at the target's rate
    Given a target that takes 2 a second, and nothing handed out yet
    When 3 requests ask for a permit within 1200 ms
    Then they get permits after "500 1000 none" ms

  Scenario: Those who get no permit are told to come back one after the other
    Given a target that takes 2 a second, and nothing handed out yet
    When 3 requests ask for a permit within 0 ms
    Then they are told to come back after "500 1000 1500" ms

  Scenario: A permit that nobody took is there at once, but few are saved up
    Given a target that takes 2 a second, and nothing handed out yet
    When 60 s go by at the target
    And 3 requests ask for a permit within 0 ms
    Then they get permits after "0 none none" ms

  Scenario: The less urgent leave the later permits to those that may wait longer
    Given a target that takes 2 a second, and nothing handed out yet
    When 4 requests ask for a permit within 1000 ms
    And 1 request asks for a permit within 2000 ms
    Then it gets a permit after "1500" ms

  Scenario: A target that takes nothing is still tried now and then
    Given a target that takes 0 a second, and nothing handed out yet
    When 30 s go by at the target
    And 2 requests ask for a permit within 0 ms
    Then they get permits after "0 none" ms

  Scenario: A permit that was taken before the box slept is not used after it
    Given a box that hands out its own permits, and a target that named a limit of 2 a second
    When the box sleeps for 5 s while a request waits for its permit
    Then the request has no permit

  Scenario: A box hears of a limit from another one, and of its end
    Given two boxes
    When the first box hears that a target takes 3 a second
    And the boxes tell each other what they know
    Then the second box knows that the target takes 3 a second
    When 500 ms go by and the second box hears that it takes any number
    And the boxes tell each other what they know
    Then the first box knows that the target takes any number

  Scenario: A word that is older than the own one changes nothing
    Given two boxes
    When the first box hears that a target takes 3 a second
    And 500 ms go by and the second box hears that it takes 1 a second
    And the boxes tell each other what they know
    Then the first box knows that the target takes 1 a second

  Scenario: What another life of the target named is not taken
    Given two boxes, of which the second knows a later life of the target
    When the first box hears that a target takes 3 a second
    And the boxes tell each other what they know
    Then the second box knows that the target takes any number

  Scenario: A limited target is tried now and then although others are there
    Given a box that hands out its own permits, and a target that named a limit of 2 a second
    Then the target is not due for a trial
    When 60 s go by at the box
    Then the target is due for a trial
