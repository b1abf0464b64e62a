Feature: A request that ends the targets that run it costs few of them

  A caller sent the same prompt again and again, and each engine that ran it ended. Every return was a new request to the boxes, at
  whichever of them it came, with all its attempts; what was remembered of a failure was the engine's, not the request's.

  Scenario Outline: A <kind> that ends what runs it, returning at three boxes by turns
    Given a deployment at rest
    And "crash" ends each target that runs it
    When "dispatch" sends <what> with "crash" 15 times, at all boxes by turns
    Then no more than 3 targets have ended
    And the last one is told "held_back" and that it did not run

    Examples:
      | kind       | what                  |
      | completion | a completion          |
      | plain call | a call of the service |

  Scenario: What ends targets is still known to boxes with a log of their own when all are started anew
    What is held back travels with heartbeats alone here, so that it ends with the last box that knows it.
    Given a deployment at rest
    And "crash" ends each target that runs it
    When "dispatch" sends a completion with "crash" 9 times, at all boxes by turns
    And all boxes are replaced at once
    And "dispatch" sends a completion with "crash" 9 times, at all boxes by turns
    Then no more than 3 targets have ended
