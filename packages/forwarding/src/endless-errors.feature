Feature: Bodies that no caller may get are read up to a bound

  # Guards against rejections whose requests wait for the end of a body that nobody gets, up to their deadlines.
  Scenario Outline: A request goes on to another target though its rejection <what>
    Given a target that rejects requests with a body that <what>
    When an attempt is made there with a deadline of 3000 ms
    Then it ends as "not_run" within 500 ms
    And the target's connection was reset after at most 8000000 bytes

    Examples:
      | what                |
      | never comes         |
      | never ends          |
      | comes byte by byte  |

  # Guards against rejections that count as lost requests, which only repeatable ones may survive.
  Scenario: A request whose rejection is broken off has not run
    Given a target that rejects requests with a body that is broken off
    When an attempt is made there with a deadline of 3000 ms
    Then it ends as "not_run" within 500 ms

  # Guards against errors that are kept, or passed on as if they were sound, while they go on without end.
  Scenario Outline: A request is lost when the error that answers it <what>
    Given a target that fails with a body that <what>
    When an attempt is made there with a deadline of 6000 ms
    Then it ends as "lost" within 2500 ms
    And the target's connection was reset after at most 8000000 bytes

    Examples:
      | what                |
      | never comes         |
      | never ends          |
      | comes byte by byte  |

  # Guards against bounds that cut what is sound.
  Scenario: A sound error of 200000 bytes is passed on whole
    Given a target that fails with a body that has 200000 bytes
    When an attempt is made there with a deadline of 3000 ms
    Then it ends as "answered" within 900 ms
    And the body has 200000 bytes

  # Guards against a reset of each connection whose target rejects a request.
  Scenario: A sound rejection whose body comes late is read to its end
    Given a target that rejects requests with a body that comes 20 ms after its head
    When an attempt is made there with a deadline of 3000 ms
    Then it ends as "not_run" within 500 ms
    And the target's connection was closed in order
