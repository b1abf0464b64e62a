Feature: A request that crashes its targets is held back after a few crashes

  Boxes share which requests crash targets. Otherwise a caller that keeps resending one could crash every target.

  Scenario Outline: A <kind> that crashes its targets is resent to three boxes in turn
    Given an idle deployment
    And "crash" crashes each target that runs it
    When "dispatch" sends <what> with "crash" 15 times, at all boxes by turns
    Then at most 3 targets have crashed
    And the last request is rejected as not run with "held_back"

    Examples:
      | kind       | what                  |
      | completion | a completion          |
      | plain call | a call of the service |

  Scenario: Requests that crash targets stay held back when all boxes restart
    Heartbeats alone would lose the crash reports with the last box that holds them.
    Given an idle deployment
    And "crash" crashes each target that runs it
    When "dispatch" sends a completion with "crash" 9 times, at all boxes by turns
    And all boxes are replaced at once
    And "dispatch" sends a completion with "crash" 9 times, at all boxes by turns
    Then at most 3 targets have crashed

  # Guards against completions of which no two are alike, but whose prompts begin with what crashes engines.
  Scenario: Completions whose prompts share a beginning that crashes targets are held back
    Given an idle deployment
    And 300 times "x" crashes each target that runs a prompt which begins with it
    When "dispatch" sends 15 completions whose prompts begin with 300 times "x", no two alike, at all boxes by turns
    Then at most 5 targets have crashed
    And the last request is rejected as not run with "held_back"
    When "dispatch" sends a completion with "another prompt" 3 times, at all boxes by turns
    Then the last request is answered
