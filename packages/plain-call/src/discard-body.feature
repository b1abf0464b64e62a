Feature: A body that nobody gets is read up to a bound

  # Guards against calls that wait for the end of a rejection that has none.
  Scenario Outline: A call goes on though the body of its rejection <what>
    Given a server that says that it did not start a call, with a body that <what>
    When the body is discarded
    Then that takes at most 500 ms
    And the server's connection is closed after at most 8000000 bytes

    Examples:
      | what               |
      | never ends         |
      | never comes        |
      | comes byte by byte |

  # Guards against a new connection for each call that is rejected.
  Scenario: The connection of a rejection with a short body is used again
    Given a server that says that it did not start a call, with a body that is short
    When the body is discarded
    Then that takes at most 500 ms
    And the server's connection stays open
