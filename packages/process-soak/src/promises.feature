Feature: Each check of the soak notices a planted fault, and is silent without one

  Scenario: A request that may not be repeated and ran twice
    Given a request "r1" that may not be repeated, answered whole with 200
    And "r1" began at "p1"
    Then the check of "at most once" is silent
    When "r1" began at "p2"
    Then the check of "at most once" finds "r1"

  Scenario: A refused request that ran
    Given a request "r1" that may be repeated, refused with 503
    Then the check of "not run is true" is silent
    When "r1" began at "p1"
    Then the check of "not run is true" finds "r1"

  Scenario: A target that gets a header that a caller forged
    Given "r1" began at "p1" with a header of "own"
    Then the check of "callers do not steer targets" is silent
    Given "r2" began at "p1" with a header of "forged"
    Then the check of "callers do not steer targets" finds "r2"

  Scenario Outline: A target that gets <what>
    Given a request "r1" of the account "a"
    And "r1" began at "p1" as a request of "a", with a header of "x"
    Then the check of "requests belong to accounts" is silent
    Given a request "r2" <whose>
    And "r2" began at "p1" as a request of "<told>", with a header of "<value>"
    Then the check of "requests belong to accounts" finds "r2"

    Examples:
      | what                                 | whose                        | told | value |
      | a request under another name         | of the account "a"           | b    | x     |
      | a key                                | of the account "a"           | a    | key   |
      | a request of a key that nobody holds | with a key that nobody holds | a    | x     |

  Scenario: Another's answer as whole
    Given a request "r1" that may be repeated, answered whole with 200
    Then the check of "whole and own answers" is silent
    Given a request "r2" that got another's answer as whole
    Then the check of "whole and own answers" finds "r2"

  Scenario: Two holders under one epoch
    Given an order of "b1" under epoch 4 at "e1"
    And an order of "b2" under epoch 5 at "e1"
    Then the check of "one order giver" is silent
    Given an order of "b3" under epoch 5 at "e2"
    Then the check of "one order giver" finds "epoch 5"

  Scenario: A configuration that reverts within one life
    Given a probe of "b1" in life 1 that knows version 3
    And a probe of "b1" in life 2 that does not know version 3
    Then the check of "a configuration does not revert" is silent
    Given a probe of "b1" in life 1 that does not know version 3
    Then the check of "a configuration does not revert" finds "version 3"

  Scenario: A leaving target that gets something new
    Given "r1" began at "p1"
    Then the check of "a leaving target gets nothing new" is silent
    When 10 ms later "r2" began at "p1"
    Then the check of "a leaving target gets nothing new" finds "r2"

  Scenario: A request that is not answered in calm
    Given a request "r1" that may be repeated, answered whole with 200
    Then the check of "every request is answered" is silent
    Given a request "r2" that may be repeated, refused with 503
    Then the check of "every request is answered" finds "r2"

  Scenario: Faults are the same for the same seed, overlap and end in time
    Then 100 drawn faults of one seed are alike, end within the time, and overlap

  Scenario: A link holds up, delays and resets
    Given a link to an echo
    Then bytes come back through it
    When the link is silent
    Then no bytes come back until it is open again
    When the link is resetting
    Then its connections are reset

  Scenario: A link leaves nothing open behind a caller that goes
    Given a link to an echo
    Then bytes come back through it
    When its caller ends the connection
    Then the connection to the echo ends as well

  Scenario: A link that refuses takes connections again, though another process took its port meanwhile
    A soak ended in its ninth seed: "listen EADDRINUSE" at the port of a link whose server had crashed and was back. While the link
    refused nobody listened there, and another soak on the machine had been given that port.
    Given a link to an echo
    When the link is refusing
    And another process listens at its port until after the link is open again
    Then connections through it are taken again
