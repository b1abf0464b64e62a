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

  # Guards against header sections that Node's parser ends too early, so that a part of the head counts as body.
  Scenario Outline: A response whose header section ends with a lone carriage return is none, <which>
    Given a server that answers with the head "<head>"
    When the HTTP client reads its response 2 times
    Then each response is truncated

    Examples:
      | which                | head                                                                                              |
      | the final one        | HTTP/1.1 200 OK\\r\\nContent-Length: 10\\r\\n\\r                                                    |
      | an informational one | HTTP/1.1 103 E\\r\\n\\rLink: a\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nContent-Length: 11\\r\\n\\r\\n |

  # Guards against a body whose end only the coding tells, and which is passed on without the name of the coding.
  Scenario: A response with a part of a transfer coding is none
    Given a server that answers with the head "HTTP/1.1 200 OK\r\nTransfer-Encoding: chun\r\n\r\n"
    When the HTTP client reads its response 2 times
    Then each response is truncated

  # Guards against what is left of a connection's earlier response counting for the next one.
  Scenario Outline: The second response of a kept connection is none if <second>
    Given a server that answers twice on a connection, where <second>
    When the HTTP client reads two responses
    Then the first response is complete and the second is none

    Examples:
      | second                                                          |
      | it ends inside its head                                         |
      | it is reset inside its head                                     |
      | it ends behind an informational head                            |
      | a whole earlier answer comes together with it                   |
      | a whole earlier answer comes with the beginning of it           |
      | an earlier answer in chunks comes with the beginning of it      |
      | an earlier answer without a body comes with the beginning of it |

  # Guards against an earlier answer of a kept connection counting for the request that is written next.
  Scenario Outline: An answer that <when> is not taken for the next one
    Given a server that answers twice on a connection, and sends a whole earlier answer which <when>
    When the HTTP client reads two responses
    Then both responses are complete, and the second has a connection of its own

    Examples:
      | when                                             |
      | arrives between two requests                     |
      | is not read yet when the next request is written |

  # Guards against an answer that is taken for the next one because its head came in pieces, one of them behind the answer before.
  Scenario: A connection on which an answer begins behind another one is not kept
    Given a server that answers twice on a connection, where it is the rest of an answer that began behind the first
    When the HTTP client reads two responses
    Then both responses are complete, and the second has a connection of its own

  # Guards against trailers that Node's parser ends at a carriage return and any byte, which may be the first one of an answer.
  Scenario Outline: A connection whose answer ends at a lone carriage return in <part> is not kept
    Given a server that answers twice on a connection, with <part> that end at a lone CR
    When the HTTP client reads two responses
    Then both responses are complete, and the second has a connection of its own

    Examples:
      | part        |
      | trailers    |
      | no trailers |

  # Guards against a connection that is taken for out of step because of how its answers are framed.
  Scenario Outline: A connection is kept behind an answer <framing>
    Given a server that answers twice on a connection, <framing>
    When the HTTP client reads two responses
    Then both responses are complete on one connection

    Examples:
      | framing                           |
      | with a length                     |
      | in chunks                         |
      | in chunks with a trailer          |
      | in chunks that end with line ends |
      | behind an informational one       |
      | in several packets                |
      | with status 204                   |

  # Guards against an order that is written after the permission to send it has ended.
  Scenario Outline: A request is not written <connection> if it is no longer permitted once connected
    Given a server that counts requests
    When the HTTP client sends a request <connection> that is no longer permitted once connected
    Then the request fails as not sent, and the server has received none
    And a request that is permitted gets its response

    Examples:
      | connection           |
      | on a new connection  |
      | on a kept connection |

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
