Feature: A client takes no truncated response for a complete one

  Scenario Outline: The HTTP client tells complete responses from truncated ones, <framing>, <sent>, <end>
    Given a server that sends <sent> of its content framed by <framing>, then "<end>"
    When the HTTP client reads its response 20 times
    Then each response is <outcome>

    Examples:
      | framing | sent     | end                    | outcome   |
      | close   | all      | end                    | complete  |
      | close   | 4 bytes  | reset behind the bytes | truncated |
      | close   | all      | reset behind the bytes | truncated |
      | close   | 4 bytes  | later reset            | truncated |
      | length  | all      | end                    | complete  |
      | length  | 4 bytes  | end                    | truncated |
      | length  | 4 bytes  | reset behind the bytes | truncated |
      | chunked | all      | end                    | complete  |
      | chunked | 4 bytes  | end                    | truncated |
      | chunked | 4 bytes  | reset behind the bytes | truncated |
      | chunked | 4 bytes  | later reset            | truncated |

  # Guards against a server that sends bytes which Node's parser accepts without end, for as long as the call waits.
  Scenario Outline: A response with <bytes> without end is cut off
    Given a server that sends <bytes> without end
    When the HTTP client reads its response 2 times
    Then each response is truncated
    And the server has written at most 600000 bytes for each

    Examples:
      | bytes                       |
      | empty lines before the head |
      | informational responses     |
      | an extension of each chunk  |

  # Guards against bytes behind a response on a connection that is kept for the next one.
  Scenario: A response with bytes without end behind it is complete, and its connection is closed
    Given a server that sends bytes behind its response without end
    When the HTTP client reads its response 2 times
    Then each response is complete
    And the server has written at most 600000 bytes for each

  # Guards against a status that Node parses and throws on when it is written to a caller.
  Scenario Outline: A response with status <status> is none
    Given a server that answers with status "<status>"
    When the HTTP client reads its response 2 times
    Then each response is truncated

    Examples:
      | status |
      | 000    |
      | 099    |
      | 999    |

  # Guards against calls that never end: Node closes the connection of such a response without an error.
  Scenario: A response that switches the protocol is none
    Given a server that answers with the head "HTTP/1.1 101 S\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
    When the HTTP client reads its response 2 times
    Then each response is truncated

  # Guards against header lines that Node parses and throws on when they are written to a caller.
  Scenario: A response with a blank in a header name is none
    Given a server that answers with the head "HTTP/1.1 200 OK\r\nX A: a\r\nContent-Length: 11\r\n\r\n"
    When the HTTP client reads its response 2 times
    Then each response is truncated

  # Guards against a declared address or name that Node throws on: the exception would end the process.
  Scenario Outline: A request <what> fails as not sent
    Then a request to "<address>" with the path "<path>" and the header value "<value>" fails as not sent

    Examples:
      | what                             | address                 | path   | value  |
      | to a port beyond the last one    | 127.0.0.1:70000         | /      | a      |
      | to a port below the first one    | 127.0.0.1:-1            | /      | a      |
      | to a port with a fraction        | 127.0.0.1:80.5          | /      | a      |
      | to a port of many digits         | 127.0.0.1:99999999999999999999999 | / | a |
      | to a port that is no number      | 127.0.0.1:x             | /      | a      |
      | with a line end in its path      | 127.0.0.1:9             | /\\r\\n | a      |
      | with a line end in a header      | 127.0.0.1:9             | /      | \\r\\n |
